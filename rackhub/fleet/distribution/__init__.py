"""Configuration distributed from the register's voters through relays to coordinators, as a watch of keys by revision.

`messages` has what goes over the link, `events` what goes in and out of the pure cores, `state` keys, revisions and the
log of changes, `server` the serving side of a watch (`session`, `admission`), `watcher` the receiving side (`receiver`,
`assembly`, `delivery`, `upstream`, `selection`), `relay` both of them, `source` a voter's side, `summary` and `reports`
what is acknowledged upward, `checks` the check before an edit, `decisions` the register's value. Shells put these cores
on the link, a disk and timers.

Nothing here is imported unless `[fleet] role` is set. Design: docs/design/distribution.md.
"""
