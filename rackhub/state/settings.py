"""The `[store]` part of the operator's file: where the coordinator's store is, and the store's own options."""

from typing import Any

import msgspec

from rackhub.store.options import Options


class StoreSettings(Options, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Besides the options of the store itself: `path` its directory; `engines_for_s` how old a kept list of engines
    may be to be served from; `counters_every_s` how often the counters are written."""

    path: str
    retain_revisions: int = 10_000
    engines_for_s: int = 86_400
    counters_every_s: int = 10

    def __post_init__(self) -> None:
        super().__post_init__()
        if not self.path:
            raise ValueError("path is empty")
        for name, most in (("engines_for_s", 31_536_000), ("counters_every_s", 86_400)):
            if not 1 <= getattr(self, name) <= most:
                raise ValueError(f"{name} is {getattr(self, name)}: from 1 to {most} is needed")


def store_settings(part: dict[str, Any]) -> StoreSettings:
    """The checked part; `msgspec.ValidationError` names the key at fault."""
    return msgspec.convert(part, StoreSettings)
