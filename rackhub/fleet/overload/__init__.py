"""Load shedding, quotas, retry budget, health checks and recovery for all gateways of a fleet together.

Pure modules, each with its own state only: `records` (what each gateway publishes), `shedding_threshold` (which
requests are shed), `participants` and `quota` (how many threads each gateway may use), `retry_budget`, `probing` and
`recovery_trials` (engines), `backoff` (the retry-after of rejected requests). `load_measurement` counts requests,
`load_controller` combines these modules, `component` connects them to the core and to the gossip board.
See docs/design/overload.md.
"""
