"""The only parser of an IPv4 address with a port, as operators and sites write it."""

import ipaddress


def parse_ipv4_address(text: str, key: str) -> tuple[str, int]:
    """Parse `HOST:PORT`. Raises `ValueError`, whose text names `key` and the value."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        if not 0 < int(port) < 65_536:
            raise ValueError
    except ValueError:
        raise ValueError(f"{key}: {text!r} is not an IPv4 address with a port from 1 to 65535") from None
    return host, int(port)
