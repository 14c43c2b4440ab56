"""Time-outs, attempts, back-off, budgets and second copies by route, from the operator's file. No module does I/O.

`routes` has the types of the file, `check` its faults and warnings, `table` the lookup of a request's terms, `budget`
and `latency_quantiles` the counts and latencies, `route_policy` the port of the core, and `explain` a description of
all terms. Loaded only where the operator's file has a `[timings]` table, or the fleet's rules have routes. Design:
docs/design/timings.md. Use: docs/operators/timings.md.
"""
