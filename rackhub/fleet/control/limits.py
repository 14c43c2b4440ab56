"""The limits of the control port."""

import msgspec


class Limits(msgspec.Struct, frozen=True, kw_only=True):
    """The sizes (in bytes), counts and times (in seconds) of the control port."""

    max_request_bytes: int = 1 << 20
    max_response_bytes: int = 4 << 20  # a longer response is replaced by an error
    max_connections: int = 16
    max_open_requests: int = 4  # maximum per connection; further ones are rejected
    idle_timeout: float = 60.0  # a connection without an open request is closed after this time
    max_commands: int = 64
