"""The one reader of an IPv4 address with its port, as operators and sites write it."""

import ipaddress


def parse_ipv4_address(text: str, key: str) -> tuple[str, int]:
    """Raises `ValueError` that names the key and the value."""
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        if not 0 < int(port) < 65_536:
            raise ValueError
    except ValueError:
        raise ValueError(f"{key}: {text!r} is not an address and port") from None
    return host, int(port)
