"""The control port, which the command line talks to: JSON objects, one a line in each direction.

`commands` dispatches requests without I/O, `port` is the server's socket, `client` the command line's side,
`fleet_status` the command `fleet`.
"""
