"""The versioned rule set that all gateways of a fleet share: its edits, undo and trials.

Pure: `versions` applies a change to the rule set, `active_version` decides which version applies at this gateway,
`trial_guard` when a trial is ended early. `dissemination`, `checks`, `changes` and `trials` connect these to messages,
gossip, the register and timers. `service`, with `requests`, `queries` and `propagation`, answers on the control port
and sees the rules through `ports`. `versioned_rules` puts all of it together.
Design: docs/design/rules.md. Use: docs/operators/rules.md.
"""
