"""The versioned rule set that all gateways of a fleet share: its edits, undo and trials.

Without I/O: `versions` applies a change to the rule set, `active_version` decides which version applies at this
gateway, and `trial_guard` decides when to end a trial early. `dissemination`, `checks`, `changes` and `trials` connect
these to messages, gossip, the register and timers. `service`, with `requests`, `queries` and `propagation`, answers
calls on the control port and accesses the rules through `ports`. `versioned_rules` combines all of them.
Design: docs/design/rules.md. Use: docs/operators/rules.md.
"""
