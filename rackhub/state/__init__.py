"""What one coordinator keeps over its restarts: `ledger` decides, `keeper` writes to a store, `settings` turns it on.

Loaded only where the operator's file has a `[store]` part.
"""
