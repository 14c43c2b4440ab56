"""The `[store]` table of the operator's file: directory and options of the coordinator's store."""

from typing import Any

import msgspec

from rackhub.store.options import Options

MAXIMUM_ENDPOINT_LIST_AGE_S = 31_536_000  # a year
MAXIMUM_COUNTERS_INTERVAL_S = 86_400  # a day


class StoreSettings(Options, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The options of the store and of the state that the coordinator keeps in it.

    `path` is the directory of the store. A stored endpoint list is used at a start if it is at most `engines_for_s`
    seconds old. Counters are written every `counters_every_s` seconds.
    """

    path: str
    retain_revisions: int = 10_000
    engines_for_s: int = 86_400
    counters_every_s: int = 10

    def __post_init__(self) -> None:
        super().__post_init__()
        if not self.path:
            raise ValueError("path is empty")
        maxima = {"engines_for_s": MAXIMUM_ENDPOINT_LIST_AGE_S, "counters_every_s": MAXIMUM_COUNTERS_INTERVAL_S}
        for name, maximum in maxima.items():
            value = getattr(self, name)
            if not 1 <= value <= maximum:
                raise ValueError(f"{name} is {value}: must be from 1 to {maximum}")


def store_settings(table: dict[str, Any]) -> StoreSettings:
    """Convert and check the table. Raises `msgspec.ValidationError`, which names the invalid key."""
    return msgspec.convert(table, StoreSettings)
