"""Configuration distributed from the register's voters through relays to coordinators, as a watch of keys by revision.

`messages` has what goes over the link, `events` what goes in and out of the pure cores, `state` keys, revisions and the
log of changes, `server` the serving side of a watch (`session`, `admission`), `watcher` the receiving side (`receiver`,
`assembly`, `delivery`, `upstream`, `selection`), `relay` both of them, `source` a voter's side, `summary` and `reports`
what is acknowledged upward, `checks` the check before an edit, `decisions` the register's value.

Shells put these cores on the link, a disk and timers: `core_runner` runs any of them, `coordinator`, `relay_shell` and
`voter` are the roles, `store` is what is held on disk, `rules` and `applying` are the rule book as keys and its parts.
A voter has `editor`, `editing` and `history` for edits, `learning`, `replication`, `voting` and `catching_up` for what
the voters have chosen. `part` is built by the daemon; `service`, `queries` and `waiting` answer `rackhub rules`.

Nothing here is imported unless `[fleet] role` is set. Design: docs/design/distribution.md.
"""
