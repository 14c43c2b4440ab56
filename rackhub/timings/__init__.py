"""Time-outs, attempts, back-off, budgets and second copies by route, from the operator's file. No module here does I/O.

`routes` the file's types; `check` what is refused and what is unwise; `table` which route a request meets; `budget`
and `learned` what is counted and learned; `desk` what the core asks; `explain` the same in words. Loaded only where
the operator's file has a `[timings]` part. Design: docs/design/timings.md. Use: docs/operators/timings.md.
"""
