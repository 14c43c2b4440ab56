"""The parameters of a call on the control port: one type for all calls on rules, with and without relays."""

from collections.abc import Mapping
from typing import Any

import msgspec

MAX_WAIT_MS = 60_000  # for all gateways to apply a version
MIN_TRIAL_MS = 1_000
MAX_TRIAL_MS = 3_600_000


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """The call's JSON object; unknown keys are ignored.

    `base_version`: the version that a change builds on; -1: the newest one that this gateway knows. `changes`: sections
    by name, None removes one. In a fleet with relays a version is a revision. Times are milliseconds.
    """

    version: int = -1
    old_version: int = msgspec.field(name="old", default=-1)
    limit: int = 20
    base_version: int = msgspec.field(name="on", default=-1)
    target_version: int = msgspec.field(name="to", default=-1)
    author: str = ""
    reason: str = ""
    id: str = ""
    changes: dict[str, Any] = msgspec.field(name="parts", default_factory=dict)
    trial_ms: int = 0
    trial_gateways: int = msgspec.field(name="first", default=0)
    wait_ms: int = 0


def parse_request(call: Mapping[str, Any]) -> Request:
    """Decode a call. Raises `ValueError` or `msgspec.ValidationError` that names the key at fault."""
    request = msgspec.convert({key: value for key, value in call.items() if key != "call"}, Request)
    if not 0 <= request.wait_ms <= MAX_WAIT_MS:
        raise ValueError(f"wait_ms: {request.wait_ms} is not from 0 to {MAX_WAIT_MS}")
    return request
