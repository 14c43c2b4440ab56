"""The parameters of a call on the control port: one type for all calls on rules, with and without relays."""

from collections.abc import Mapping
from typing import Any

import msgspec

MAX_WAIT_MS = 60_000  # for all gateways to apply a version
MIN_TRIAL_MS = 1_000
MAX_TRIAL_MS = 3_600_000


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """The call's JSON object; each field has its key's name, and unknown keys are ignored.

    `on`: the version that a change builds on; -1: the newest one that this gateway knows. `parts`: sections by name.
    `first`: how many gateways a trial has. In a fleet with relays a version is a revision. Times are milliseconds.
    """

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
    """Decode a call. Raises `ValueError` or `msgspec.ValidationError` that names the key at fault."""
    request = msgspec.convert({key: value for key, value in call.items() if key != "call"}, Request)
    if not 0 <= request.wait_ms <= MAX_WAIT_MS:
        raise ValueError(f"wait_ms: {request.wait_ms} is not from 0 to {MAX_WAIT_MS}")
    return request
