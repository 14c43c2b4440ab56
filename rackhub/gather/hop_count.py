"""The number of hops of a subrequest, encoded in its request id, as the clients' protocol has no field for it.

A request id is 16 hexadecimal digits. That of a subrequest is 8 random digits, followed by the CRC-32 (IEEE 802.3) of
these digits and the number of hops. A client's own id matches a number of hops by chance once in 2**32.
"""

import random
import zlib

MAX_HOPS = 4


def _checksum(prefix: str, hops: int) -> str:
    return f"{zlib.crc32(f'gather {hops} {prefix}'.encode()):08x}"


def subrequest_id(generator: random.Random, hops: int) -> str:
    """Return a new id for a subrequest that has passed `hops` coordinators, from 1 to `MAX_HOPS`."""
    prefix = f"{generator.getrandbits(32):08x}"
    return prefix + _checksum(prefix, hops)


def hop_count_of(request_id: str) -> int:
    """Return the number of hops encoded in a request id; 0 for a client's own request."""
    prefix, checksum = request_id[:8], request_id[8:]
    return next((hops for hops in range(1, MAX_HOPS + 1) if checksum == _checksum(prefix, hops)), 0)
