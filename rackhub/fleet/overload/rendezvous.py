"""Rendezvous hashing: gateways with the same view of the membership compute the same ranking for a key.

When a member joins or leaves, only the keys for which it ranks first move.
"""

import zlib
from collections.abc import Iterable

from rackhub.fleet.ports import Name

# CRC-32 is linear in its input; two rounds with a product between them are not.
MULTIPLIER = 0x9E3779B1
FINAL_MULTIPLIER = 0x85EBCA6B
MASK = 0xFFFFFFFF


def weight(key: str, name: Name) -> int:
    """Return the weight of the member `name` for `key`, below 2**31."""
    first = zlib.crc32(key.encode()) * MULTIPLIER & MASK
    mixed = (zlib.crc32(name.encode(), first) ^ first >> 15) * MULTIPLIER & MASK
    return ((mixed ^ mixed >> 16) * FINAL_MULTIPLIER & MASK) >> 1


def ranked(key: str, names: Iterable[Name]) -> list[Name]:
    """Return the members by descending weight for `key`; equal weights are ordered by name."""
    return sorted(names, key=lambda name: (-weight(key, name), name))
