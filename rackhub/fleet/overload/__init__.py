"""Load shedding, quotas, retry budget, health checks and recovery for all gateways of a fleet together.

These modules are pure, each with its own state only: `records` (the published records), `shedding_threshold` (which
requests are shed), `participants` and `quota` (how many threads each gateway may use), `retry_budget`,
`health_check_schedule` and `recovery_trials` (engines), `backoff` (the retry-after of rejected requests).
`load_measurement` counts requests, `load_controller` combines the modules, and `component` connects them to the core
and to the gossip state. See docs/design/overload.md.
"""
