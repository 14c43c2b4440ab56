"""Every size, count and time of the control port."""

import msgspec


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """The control port's limits. Sizes are bytes, times are seconds."""

    max_request_bytes: int = 1 << 20
    max_response_bytes: int = 4 << 20  # a longer response is replaced by an error
    max_connections: int = 16
    max_open_requests: int = 4  # of one connection; further ones are rejected
    idle_timeout: float = 60.0  # of a connection without an open request
    max_commands: int = 64
