"""The operators' interface: an address for commands and metrics, manual ejections, and process replacement.

The package is imported only if the operators' address is configured or the lock file of an earlier process exists.
"""
