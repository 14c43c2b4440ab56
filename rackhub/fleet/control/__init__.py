"""The control port, which serves the command line: JSON objects, one per line in each direction.

`commands` dispatches requests without I/O, `port` is the server, `client` the command line's side, and `fleet_status`
implements the command `fleet`.
"""
