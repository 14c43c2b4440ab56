"""The store as a part of the daemon: opens it, and hands it to the core as its ledger."""

from collections.abc import Sequence

from rackhub.config import store_settings
from rackhub.core.component import Component, ComponentContext, ComponentStartError
from rackhub.core.source import EndpointSnapshot


class StorePart(Component):
    def __init__(self, host: ComponentContext):
        super().__init__(host)
        try:
            from rackhub.state.keeper import Keeper
            from rackhub.store import StoreError
        except ImportError as missing:
            raise ComponentStartError(
                f"[store]: {missing}: install the extra 'store' (requirements-store.txt)"
            ) from None
        try:
            self.keeper = Keeper(
                host.reactor,
                store_settings(host.operator.store or {}),
                host.source.settings.classes,
                host.clock,
                host.counters,
            )
        except (StoreError, OSError) as fault:
            raise ComponentStartError(f"[store]: {fault}") from None
        host.core.request_journal = self.keeper

    def begin(self, listing: EndpointSnapshot) -> EndpointSnapshot:
        return self.keeper.start(listing)

    def endpoints_changed(self, listing: EndpointSnapshot) -> None:
        self.keeper.listed(listing)

    def stop(self) -> None:
        self.keeper.end()

    def summary_lines(self) -> Sequence[str]:
        totals = self.keeper.totals()
        counted = " ".join(f"{name}={count}" for name, count in totals.counts.items())
        return [f"counters of {totals.starts} starts: {counted or 'nothing'}"]


def part(host: ComponentContext) -> StorePart:
    return StorePart(host)
