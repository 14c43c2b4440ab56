"""A replicated register (CASPaxos): one value at three or five acceptors, changed by compare-and-set, without a log.

`messages` defines the network messages. `acceptor` and `round` implement the protocol without I/O; `acceptor_shell` and
`proposer` connect it to the network, timers and the disk. `disk` stores the state of acceptors and gateways.
Design and proof: docs/design/rules.md.
"""
