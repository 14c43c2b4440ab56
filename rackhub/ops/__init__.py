"""The operators' interface: a second address with commands and metrics, manual ejections, and process replacement.

The package is imported only where a second address is configured, or where a predecessor left its lock file.
"""
