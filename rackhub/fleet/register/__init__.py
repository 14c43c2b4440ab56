"""A replicated register (CASPaxos): one value at three or five acceptors, changed by compare-and-set, without a log.

`messages` are the types on the network; `acceptor` and `round` are the protocol without I/O; `acceptor_shell` and
`proposer` connect them to messages, timers and the disk. Design and proof: docs/design/rules.md.
"""
