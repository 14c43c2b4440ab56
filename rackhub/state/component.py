"""The daemon's store component: opens the store and attaches it to the coordinator as its request journal."""

from collections.abc import Sequence

from rackhub.config import store_settings
from rackhub.core.component import Component, ComponentContext, ComponentStartError
from rackhub.core.source import EndpointSnapshot


class StateComponent(Component):
    """Runs a `StateWriter` for the coordinator of this process."""

    def __init__(self, context: ComponentContext):
        """Open the store. Raises `ComponentStartError` if that fails or a required package is missing."""
        super().__init__(context)
        try:
            from rackhub.state.writer import StateWriter
            from rackhub.store import StoreError
        except ImportError as missing:
            raise ComponentStartError(
                f"[store]: {missing}: install the extra 'store' (requirements-store.txt)"
            ) from None
        try:
            self.writer = StateWriter(
                context.reactor,
                store_settings(context.operator.store or {}),
                context.source.settings.classes,
                context.clock,
                context.counters,
            )
        except (StoreError, OSError) as fault:
            raise ComponentStartError(f"[store]: {fault}") from None
        context.core.request_journal = self.writer

    def begin(self, snapshot: EndpointSnapshot) -> EndpointSnapshot:
        """Start writing. Returns the stored endpoint list if `snapshot` is empty, otherwise `snapshot`."""
        return self.writer.start(snapshot)

    def endpoints_changed(self, snapshot: EndpointSnapshot) -> None:
        """Store the new endpoint list."""
        self.writer.store_endpoints(snapshot)

    def stop(self) -> None:
        """Write the pending changes and close the store."""
        self.writer.close()

    def summary_lines(self) -> Sequence[str]:
        """Return one line with the counters over all runs."""
        totals = self.writer.totals()
        counts_text = " ".join(f"{name}={count}" for name, count in totals.counts.items())
        return [f"counters of {totals.starts} starts: {counts_text or 'nothing'}"]


def create_component(context: ComponentContext) -> StateComponent:
    """Create the component. Called by `rackhub.components`."""
    return StateComponent(context)
