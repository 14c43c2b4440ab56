"""The parameters of calls for rules on the control port; one type for all calls, in fleets with and without relays."""

from collections.abc import Mapping
from typing import Any

import msgspec

MAX_WAIT_MS = 60_000  # wait until all gateways have applied a version
MIN_TRIAL_MS = 1_000
MAX_TRIAL_MS = 3_600_000


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """The JSON object of a call. Unknown keys are ignored, times are in milliseconds.

    `base_version`: the version that a change is based on; -1: the newest version that this gateway knows. `changes`:
    the new contents of sections by name; None removes a section. In a fleet with relays, versions are revisions.
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
    """Decode a call. Raises `ValueError` or `msgspec.ValidationError` with the name of the invalid key."""
    request = msgspec.convert({key: value for key, value in call.items() if key != "call"}, Request)
    if not 0 <= request.wait_ms <= MAX_WAIT_MS:
        raise ValueError(f"wait_ms: {request.wait_ms} is not from 0 to {MAX_WAIT_MS}")
    return request
