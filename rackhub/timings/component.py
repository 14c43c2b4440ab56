"""The operator's routes as a component of the daemon: gives their policy to the core, and reloads them."""

import logging
from collections.abc import Callable, Sequence

from rackhub.config import timings_table
from rackhub.core.component import Component, ComponentContext
from rackhub.operatorfile import Operator
from rackhub.timings.route_policy import RoutePolicy

log = logging.getLogger(__name__)


class TimingsComponent(Component):
    """Owns the route policy.

    `reload_override`, set by the fleet where it has a rule set, replaces the reload of the operator's file: the rules
    may define the routes instead. It raises `ValueError` for routes that can't be used.
    """

    def __init__(self, context: ComponentContext):
        super().__init__(context)
        settings = context.source.settings
        windows = {cls.name: cls.idempotency_window for cls in settings.classes if cls.idempotency == "dedup"}
        self.policy = RoutePolicy(
            timings_table(context.operator.timings or {}, settings), windows, context.config.seed, context.counters.add
        )
        context.core.request_policy = self.policy
        self.reload_override: Callable[[], None] | None = None

    def reload(self, operator: Operator) -> None:
        """Apply the file's routes to new requests; open requests keep their terms."""
        self.context.counters.add("timings_reloads")
        section = operator.timings if operator.timings is not None else {}
        try:
            if self.reload_override is not None:
                return self.reload_override()
            table = timings_table(section, self.context.source.settings)
            # The settings that a restart would read must allow the routes too.
            timings_table(section, self.context.read_config().settings)
        except ValueError as error:
            self.context.counters.add("timings_reloads_bad")
            return log.error("reload: bad timings, keeping the active ones: %s", error)
        self.policy.reload(table)
        log.info("reload: applied %d routes as generation %d", len(table.routes), self.policy.generation)

    def summary_lines(self) -> Sequence[str]:
        """One line with the open requests by the generation of their terms."""
        counts = " ".join(f"generation{number}={count}" for number, count in self.policy.open_requests.items())
        return [f"open under timings: {counts}"]


def create_component(context: ComponentContext) -> TimingsComponent:
    """Create the component."""
    return TimingsComponent(context)
