"""The operator's terms by route as a part of the daemon: hands them to the core, and takes up a reload."""

import logging
from collections.abc import Callable, Sequence

from rackhub.config import timings_table
from rackhub.core.component import Component, ComponentContext
from rackhub.operatorfile import Operator
from rackhub.timings.route_policy import RoutePolicy

log = logging.getLogger(__name__)


class TimingsComponent(Component):
    def __init__(self, host: ComponentContext):
        super().__init__(host)
        settings = host.source.settings
        windows = {told.name: told.idempotency_window for told in settings.classes if told.idempotency == "dedup"}
        self.policy = RoutePolicy(
            timings_table(host.operator.timings or {}, settings), windows, host.config.seed, host.counters.add
        )
        host.core.request_policy = self.policy
        self.reload_override: Callable[[], None] | None = (
            None  # where a rule book is: it says what the file is still good for
        )

    def reload(self, operator: Operator) -> None:
        """Requests that are open go on under what they began with."""
        self.context.counters.add("timings_reloads")
        part = operator.timings if operator.timings is not None else {}
        try:
            if self.reload_override is not None:
                return self.reload_override()
            table = timings_table(part, self.context.source.settings)
            timings_table(
                part, self.context.read_config().settings
            )  # those that a restart would bring must allow it too
        except ValueError as bad:
            self.context.counters.add("timings_reloads_bad")
            return log.error("reload: bad timings, the old ones hold: %s", bad)
        self.policy.reload(table)
        log.info("reload: %d routes hold from now on, as generation %d", len(table.routes), self.policy.generation)

    def summary_lines(self) -> Sequence[str]:
        opened = " ".join(f"generation{number}={count}" for number, count in self.policy.open_requests.items())
        return [f"open under timings: {opened}"]


def create_component(host: ComponentContext) -> TimingsComponent:
    return TimingsComponent(host)
