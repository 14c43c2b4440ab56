"""One call of the rule book on the control port, as it comes: the same type for all words, with and without roles."""

from collections.abc import Mapping
from typing import Any

import msgspec

MOST_WAIT = 60_000  # milliseconds that a caller may wait for all gateways
SHORTEST_TRIAL, LONGEST_TRIAL = 1_000, 3_600_000  # milliseconds


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """`on`: the version that a change builds on, -1: what this gateway holds. In a fleet with relays a version is a
    revision. Times are milliseconds. Unknown keys are ignored."""

    version: int = -1
    old: int = -1
    limit: int = 20
    on: int = -1
    to: int = -1
    author: str = ""
    reason: str = ""
    id: str = ""
    parts: dict[str, Any] = {}
    trial_ms: int = 0
    first: int = 0
    wait_ms: int = 0


def read(call: Mapping[str, Any]) -> Request:
    """Raises `ValueError` or `msgspec.ValidationError`, worded with the key."""
    request = msgspec.convert({key: value for key, value in call.items() if key != "call"}, Request)
    if not 0 <= request.wait_ms <= MOST_WAIT:
        raise ValueError(f"wait_ms: {request.wait_ms} is not from 0 to {MOST_WAIT}")
    return request
