"""The rule book: routing rules in numbered versions that all gateways hold, their edits, undo and trials.

`book` decides what an edit makes of the book, `holder` what this gateway holds of it, `guard` when a trial is ended;
`spread`, `checks` and `trials` put that on mail, board and timers; `service`, with `requests`, `queries` and `waiting`,
answers on the control port, and sees the book through `ports`; `part` is the whole.
Design: docs/design/rules.md. Use: docs/operators/rules.md.
"""
