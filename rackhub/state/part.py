"""The store as a part of the daemon: opens it, and hands it to the core as its ledger."""

from collections.abc import Sequence

from rackhub.config import store_settings
from rackhub.core.part import Host, Part, PartUnusable
from rackhub.core.source import Listing


class StorePart(Part):
    def __init__(self, host: Host):
        super().__init__(host)
        try:
            from rackhub.state.keeper import Keeper
            from rackhub.store import StoreError
        except ImportError as missing:
            raise PartUnusable(f"[store]: {missing}: install the extra 'store' (requirements-store.txt)") from None
        try:
            self.keeper = Keeper(
                host.reactor,
                store_settings(host.operator.store or {}),
                host.source.settings.classes,
                host.clock,
                host.counters,
            )
        except (StoreError, OSError) as fault:
            raise PartUnusable(f"[store]: {fault}") from None
        host.core.ledger = self.keeper

    def begin(self, listing: Listing) -> Listing:
        return self.keeper.start(listing)

    def listed(self, listing: Listing) -> None:
        self.keeper.listed(listing)

    def stop(self) -> None:
        self.keeper.end()

    def tell(self) -> Sequence[str]:
        totals = self.keeper.totals()
        counted = " ".join(f"{name}={count}" for name, count in totals.counts.items())
        return [f"counters of {totals.starts} starts: {counted or 'nothing'}"]


def part(host: Host) -> StorePart:
    return StorePart(host)
