"""The operator's terms by route as a part of the daemon: hands them to the core, and takes up a reload."""

import logging
from collections.abc import Callable, Sequence

from rackhub.config import timings_table
from rackhub.core.component import Component, ComponentContext
from rackhub.operatorfile import Operator
from rackhub.timings.desk import Desk

log = logging.getLogger(__name__)


class TimingsPart(Component):
    def __init__(self, host: ComponentContext):
        super().__init__(host)
        settings = host.source.settings
        windows = {told.name: told.idempotency_window for told in settings.classes if told.idempotency == "dedup"}
        self.desk = Desk(
            timings_table(host.operator.timings or {}, settings), windows, host.config.seed, host.counters.add
        )
        host.core.request_policy = self.desk
        self.again: Callable[[], None] | None = None  # where a rule book is: it says what the file is still good for

    def reload(self, operator: Operator) -> None:
        """Requests that are open go on under what they began with."""
        self.context.counters.add("timings_reloads")
        part = operator.timings if operator.timings is not None else {}
        try:
            if self.again is not None:
                return self.again()
            table = timings_table(part, self.context.source.settings)
            timings_table(
                part, self.context.read_config().settings
            )  # those that a restart would bring must allow it too
        except ValueError as bad:
            self.context.counters.add("timings_reloads_bad")
            return log.error("reload: bad timings, the old ones hold: %s", bad)
        self.desk.reload(table)
        log.info("reload: %d routes hold from now on, as generation %d", len(table.routes), self.desk.generation)

    def summary_lines(self) -> Sequence[str]:
        opened = " ".join(f"generation{number}={count}" for number, count in self.desk.open.items())
        return [f"open under timings: {opened}"]


def part(host: ComponentContext) -> TimingsPart:
    return TimingsPart(host)
