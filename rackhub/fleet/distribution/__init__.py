"""Distributes configuration from the register's voters through relays to coordinators, as a watch of keys by revision.

Pure cores: `messages` defines what goes over the link, and `events` the input and output of the cores. `state` keeps
keys, revisions and the log of changes. `server` (with `session`, `admission`, `schedule`) is the serving side of a
watch; `watcher` (with `receiver`, `assembly`, `delivery`, `upstream`, `selection`) is the receiving side. `relay`
combines both, and `source` is a voter's serving side. `relay_report` and `reports` summarize the watchers' progress,
`checks` runs the check before an edit, and `decisions` defines the register's value. Shells connect the cores to the
link, a disk and timers: `core_runner` runs any core; `coordinator`, `relay_shell` and `voter` are the roles. `store`
keeps a watcher's state on disk, and `rules` and `rule_keys` convert the rule set to keys and apply them. For edits a
voter uses `editor`, `editing` and `history`; to learn what the voters have chosen it uses `learner`, `replication`,
`voting` and `catch_up`. The daemon creates `part`; `service`, `queries` and `rollout` answer `rackhub rules`. Nothing
of this package is imported unless `[fleet] role` is set. Design: docs/design/distribution.md.
"""
