"""What the failures of a day add at the target, worked out from the slopes and the bounds of the watch."""

from collections.abc import Sequence

import msgspec

from rackhub.fleet.distribution.limits import Limits as DistributionLimits
from rackhub.trials.scale import markdown
from rackhub.trials.scale.page_data import PageData, Status
from rackhub.trials.scale.role_row import RELAYS, snapshot_bytes, update_bytes
from rackhub.trials.scale.target import SECONDS_A_DAY

HEADS = ("event", "how often", "adds", "worked out", "unit", "source", "mechanism", "status")


class Failure(msgspec.Struct, frozen=True, kw_only=True):
    """One thing that an event adds."""

    event: str
    often: str
    adds: str
    value: float
    unit: str
    source: str
    mechanism: str
    status: Status

    def cells(self) -> list[str]:
        return [
            self.event,
            self.often,
            self.adds,
            markdown.number(self.value),
            self.unit,
            self.source,
            self.mechanism,
            self.status.value,
        ]


def newcomer_seconds(data: PageData, coordinators: float, relays: float) -> float:
    """Until so many that come back at once all have a snapshot, by the bound of snapshots a second of each relay."""
    burst = DistributionLimits().max_snapshots_per_s
    return max(coordinators / relays - burst, 0.0) / burst


def one_machine(data: PageData) -> list[Failure]:
    target = data.target
    often = f"{target['machine_failures']:.0f} a day"
    return [
        Failure(
            event="a coordinator's machine fails",
            often=f"{target.share_of_coordinators(target['machine_failures']):.0f} a day of these",
            adds="its death is known in its zone after",
            value=data.near("members.death_known", target.coordinators_a_zone),
            unit="s",
            source="members.death_known",
            mechanism="members by zone",
            status=Status.PARTLY,
        ),
        Failure(
            event="an engine's machine fails",
            often=often,
            adds="a change of the whole list at every coordinator: CPU",
            value=data.near("engines.change_cpu", target["engines"]),
            unit="ms",
            source="engines.change_cpu",
            mechanism="whole list by the resolver",
            status=Status.MISSING,
        ),
    ]


def restarts(data: PageData) -> list[Failure]:
    target = data.target
    own = target.share_of_coordinators(target["restarts"])
    often = f"{own:,.0f} a day of {target['restarts']:,.0f}"
    return [
        Failure(
            event="coordinators restarted or replaced",
            often=often,
            adds="snapshots to newcomers with an empty disk, of all relays together",
            value=own * snapshot_bytes(data) / SECONDS_A_DAY,
            unit="bytes a second",
            source="messages.update_bytes, assumptions",
            mechanism=RELAYS,
            status=data.distribution,
        ),
        Failure(
            event="engines restarted or replaced",
            often=f"{target['restarts'] - own:,.0f} a day",
            adds="changes of the list",
            value=target.list_changes_a_second,
            unit="a second",
            source="target",
            mechanism="whole list by the resolver",
            status=Status.MISSING,
        ),
    ]


def groups(data: PageData) -> list[Failure]:
    """A rack, a zone, two regions."""
    target, status = data.target, data.distribution
    per_zone = target["relays_per_zone"]
    missed = target["region_cut"] * target.changes_a_second
    return [
        Failure(
            event="a rack's return at once",
            often="most days",
            adds=f"{target['rack_coordinators']:.0f} snapshots from a zone's relays: the last one waits",
            value=newcomer_seconds(data, target["rack_coordinators"], per_zone),
            unit="s",
            source="bounds of the watch",
            mechanism=RELAYS,
            status=status,
        ),
        Failure(
            event="a zone's return at once",
            often="every other month",
            adds=f"{target.coordinators_a_zone:.0f} snapshots from its relays: the last one waits",
            value=newcomer_seconds(data, target.coordinators_a_zone, per_zone),
            unit="s",
            source="bounds of the watch",
            mechanism=RELAYS,
            status=status,
        ),
        Failure(
            event="a zone's return at once",
            often="every other month",
            adds="its snapshots, all together",
            value=target.coordinators_a_zone * snapshot_bytes(data) / 1_000_000,
            unit="MB",
            source="messages.update_bytes, assumptions",
            mechanism=RELAYS,
            status=status,
        ),
        Failure(
            event=f"two regions apart for {target['region_cut']:.0f} s",
            often="several times a year",
            adds=f"changes missed (history keeps {DistributionLimits().max_log_steps:,}), each to be caught up",
            value=missed,
            unit="changes",
            source="target, assumptions",
            mechanism=RELAYS,
            status=status,
        ),
        Failure(
            event=f"two regions apart for {target['region_cut']:.0f} s",
            often="several times a year",
            adds="to each coordinator of the smaller side at the heal",
            value=missed * update_bytes(data),
            unit="bytes",
            source="messages.update_bytes",
            mechanism=RELAYS,
            status=status,
        ),
    ]


def failures(data: PageData) -> Sequence[Failure]:
    return [*one_machine(data), *restarts(data), *groups(data)]


def failures_table(data: PageData) -> str:
    return markdown.table(HEADS, [failure.cells() for failure in failures(data)])
