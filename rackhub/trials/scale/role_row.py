"""One figure of a role at the target, and what the figures of several roles are worked out from."""

from collections.abc import Sequence

import msgspec

from rackhub.fleet.distribution.limits import SECOND
from rackhub.fleet.distribution.limits import Limits as DistributionLimits
from rackhub.trials.scale import markdown
from rackhub.trials.scale.page_data import PageData, Status

KILOBYTES_A_MEGABYTE = 1_024
PERCENT = 100
MILLISECONDS = 1_000
RECORDS_COUNT_MS = 3_000  # default of `[fleet] records_ms`: older records do not count
RULES_TODAY = "today's rule book: asks and tells every member"
MEMBERS_TODAY = "members: all know all"
MEMBERS_BY_ZONE = "members by zone, sums between zones"
RELAYS = "watch by revision through relays"
LIST_TODAY = "whole list in one DNS answer"
LIST_IN_SCOPE = "list of the own zone as keys of the watch"
HEADS = ("figure", "at the target", "unit", "budget", "of the budget", "worked out from", "mechanism", "status")


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One figure of a role. `budget` None: none is set."""

    figure: str
    value: float | None
    unit: str
    source: str
    mechanism: str
    status: Status
    budget: float | None = None

    def cells(self) -> list[str]:
        share = self.value / self.budget if self.budget and self.value is not None else None
        return [
            self.figure,
            markdown.number(self.value),
            self.unit,
            markdown.number(self.budget),
            f"{markdown.number(share)} times" if share is not None else markdown.MISSING_VALUE,
            self.source,
            self.mechanism,
            self.status.value,
        ]


def per_change(data: PageData, name: str) -> float:
    """A second's part of what a change costs at all coordinators."""
    return data.at(name, data.target["coordinators"]) * data.target.changes_a_second


def update_bytes(data: PageData) -> float:
    return data.at("messages.update_bytes", data.target["value_bytes"])


def heartbeat_bytes_a_second(data: PageData) -> float:
    return data.at("messages.heartbeat_bytes", 0) * SECOND / DistributionLimits().heartbeat_interval


def watch_bytes_a_second(data: PageData) -> float:
    """Of one watcher: heartbeats, and each change with its acknowledgement."""
    return heartbeat_bytes_a_second(data) + data.target.changes_a_second * update_bytes(data)


def watch_messages_a_second(data: PageData) -> float:
    """Of one watcher: heartbeats, and each change with its acknowledgement."""
    return SECOND / DistributionLimits().heartbeat_interval + 2 * data.target.changes_a_second


def snapshot_bytes(data: PageData) -> float:
    """Of all that one coordinator holds."""
    return (
        data.target["configuration_keys"]
        * data.slope("messages.update_bytes").slope
        * (
            data.target["value_bytes"] + 60  # its key and the heads of its fields
        )
    )


def role_table(rows: Sequence[Row]) -> str:
    return markdown.table(HEADS, [row.cells() for row in rows])
