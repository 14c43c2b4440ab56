"""The `[store]` table of the operator's file: the directory of the coordinator's store, and the store's own options."""

from typing import Any

import msgspec

from rackhub.store.options import Options

MAXIMUM_ENDPOINT_LIST_AGE_S = 31_536_000  # a year
MAXIMUM_COUNTERS_INTERVAL_S = 86_400  # a day


class StoreSettings(Options, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The options of the store and those of the coordinator's state.

    `path`: the directory; `engines_for_s`: how old, in seconds, a stored endpoint list may be to start with it;
    `counters_every_s`: the interval in seconds at which counters are written.
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
                raise ValueError(f"{name} is {value}: from 1 to {maximum} is needed")


def store_settings(table: dict[str, Any]) -> StoreSettings:
    """Check the table. Raises `msgspec.ValidationError`, which names the key at fault."""
    return msgspec.convert(table, StoreSettings)
