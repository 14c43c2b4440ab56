"""What breaks first as the fleet grows: the size at which each figure reaches its limit, against the target's."""

import math

import msgspec

from rackhub.fleet.link.limits import Limits as LinkLimits
from rackhub.limits import SECOND, Limits
from rackhub.trials.processes.resolver import MOST as ANSWER_BYTES
from rackhub.trials.scale import markdown
from rackhub.trials.scale.crossing import crossing
from rackhub.trials.scale.page_data import PageData, client_connections
from rackhub.trials.scale.role_row import RECORDS_COUNT_MS

CORE = 1_000  # milliseconds of CPU in a second
HEADS = ("", "what", "breaks at", "target", "short by", "by which figure", "slope", "how the size was found")
FIXED = "limit of the program"


class Item(msgspec.Struct, frozen=True, kw_only=True):
    """One figure that reaches its limit at a size."""

    what: str
    size: float
    size_unit: str
    target: float
    limit: str
    source: str
    basis: str

    @property
    def factor(self) -> float:
        """How many times the target is larger than what is borne; below 1: it is borne."""
        return self.target / self.size if self.size else math.inf

    def cells(self, rank: int) -> list[str]:
        return [
            str(rank),
            self.what,
            "not reached" if math.isinf(self.size) else f"{markdown.number(self.size)} {self.size_unit}",
            markdown.number(self.target),
            f"{markdown.number(self.factor)} times" if self.factor > 1 else "within",
            self.limit,
            self.source,
            self.basis,
        ]


class Limit(msgspec.Struct, frozen=True):
    """A measurement that must stay below `value`, in its own unit, and why."""

    what: str
    name: str
    value: float
    why: str


def measured_item(data: PageData, limit: Limit, target: float) -> Item:
    measurement = data.slope(limit.name)
    found = crossing(measurement, limit.value)
    return Item(
        what=limit.what,
        size=found.size,
        size_unit=measurement.size_unit,
        target=target,
        limit=limit.why,
        source=limit.name,
        basis=found.basis.value,
    )


def fixed_item(what: str, size: float, size_unit: str, target: float, why: str) -> Item:
    return Item(
        what=what, size=size, size_unit=size_unit, target=target, limit=why, source=FIXED, basis="set in the program"
    )


def by_coordinators(data: PageData) -> list[Item]:
    target = data.target
    bytes_budget, cpu_budget = target["control_bytes"], target["control_cpu"] * CORE / 100
    bytes_a_change = bytes_budget / target.changes_a_second
    bytes_why = f"{bytes_budget:,.0f} bytes a second"
    change_why = f"{bytes_why} at {target.changes_a_second:.3f} changes a second"
    cpu_why = f"{target['control_cpu']:g}% of a core"
    limits = [
        Limit("membership with a record a second each: bytes", "members.records_bytes", bytes_budget, bytes_why),
        Limit(
            "membership with a record a second each: age of records, 99%",
            "members.record_age_p99",
            RECORDS_COUNT_MS,
            f"{RECORDS_COUNT_MS / CORE:g} s, after which a record does not count",
        ),
        Limit("membership, idle: bytes", "members.idle_bytes", bytes_budget, bytes_why),
        Limit("membership with a record a second each: CPU", "members.records_cpu", cpu_budget, cpu_why),
        Limit("membership, idle: CPU", "members.idle_cpu", cpu_budget, cpu_why),
        Limit(
            "membership: memory",
            "members.memory",
            target["control_memory"] * 1_024,
            f"{target['control_memory']:.0f} MB",
        ),
        Limit(
            "a member's death known to all",
            "members.death_known",
            target["primary_change_time"],
            f"{target['primary_change_time']:.0f} s",
        ),
        Limit("configuration, today's way: bytes at a receiver", "rules.receiver_bytes", bytes_a_change, change_why),
        Limit(
            "configuration, today's way: bytes at an editor that makes all changes",
            "rules.editor_bytes",
            bytes_a_change,
            change_why,
        ),
        Limit(
            "configuration, today's way: time of one change at a receiver, at the budget's bytes",
            "rules.receiver_bytes",
            bytes_budget * target["configuration_time"],
            f"{target['configuration_time']:.0f} s at {bytes_why}",
        ),
        Limit(
            "configuration, today's way: time until in force",
            "rules.in_force",
            target["configuration_time"] * CORE,
            f"{target['configuration_time']:.0f} s, on a net that loses nothing and has no bound of bytes",
        ),
    ]
    limits_of_program = Limits()
    polls, longest_poll = limits_of_program.max_fleet_polls_per_s, limits_of_program.max_poll_retry_interval / SECOND
    return [
        *(measured_item(data, limit, target["coordinators"]) for limit in limits),
        fixed_item(
            "names of members kept",
            LinkLimits().max_members,
            "members",
            target["coordinators"],
            "names kept, also of the gone",
        ),
        fixed_item(
            "questions for the engines' list",
            polls * longest_poll,
            "coordinators",
            target["coordinators"],
            f"{polls} questions a second of all together, one each {longest_poll:g} s",
        ),
    ]


def by_engines(data: PageData) -> list[Item]:
    target = data.target
    processes = math.ceil(target.connections_a_coordinator / client_connections())
    list_bytes = target["control_bytes"] * data.poll_seconds
    change_ms = target["control_cpu"] * CORE / 100 / target.list_changes_a_second
    limits = [
        Limit("engines' list: one DNS answer", "engines.list_bytes", ANSWER_BYTES, f"{ANSWER_BYTES:,} bytes an answer"),
        Limit(
            "engines' list: bytes at a coordinator",
            "engines.list_bytes",
            list_bytes,
            f"{target['control_bytes']:,.0f} bytes a second, asked every {data.poll_seconds:g} s",
        ),
        Limit(
            "engines' list: memory",
            "engines.memory",
            target["control_memory"] * 1_024,
            f"{target['control_memory']:.0f} MB",
        ),
        Limit(
            "engines' list: CPU of its changes",
            "engines.change_cpu",
            change_ms,
            f"{target['control_cpu']:g}% of a core at {target.list_changes_a_second:.2f} changes a second",
        ),
        Limit(
            "decision on a statement: CPU",
            "engines.request_cpu",
            CORE * processes / target.statements_a_coordinator,
            f"a core in each of the {processes} processes that its connections need, "
            f"at {target.statements_a_coordinator:,.0f} statements a second",
        ),
    ]
    return [measured_item(data, limit, target["engines"]) for limit in limits]


def by_load(data: PageData) -> list[Item]:
    target, limits = data.target, Limits()
    connections = target.connections_a_coordinator
    return [
        measured_item(
            data,
            Limit("statements in one process: CPU", "data_path.statement_cpu", CORE, "one core"),
            target.statements_a_coordinator,
        ),
        measured_item(
            data,
            Limit(
                "busy connections in one process: descriptors",
                "data_path.busy_connection_descriptors",
                limits.file_descriptors,
                f"{limits.file_descriptors:,} descriptors, the default",
            ),
            connections,
        ),
        fixed_item(
            "client connections in one process",
            client_connections(),
            "connections",
            connections,
            f"connections taken with {limits.file_descriptors:,} descriptors, the default",
        ),
    ]


def ranked(data: PageData) -> list[Item]:
    """The one that falls short most comes first."""
    return sorted([*by_coordinators(data), *by_engines(data), *by_load(data)], key=lambda item: -item.factor)


def ranking_table(data: PageData) -> str:
    return markdown.table(HEADS, [item.cells(rank) for rank, item in enumerate(ranked(data), start=1)])


CONTENDERS = {
    "distribution of the engines' list": ("engines.list_bytes",),
    "membership": ("members.records_bytes", "members.records_cpu", "members.record_age_p99", "members.idle_bytes"),
    "distribution of configuration": ("rules.editor_bytes", "rules.receiver_bytes", "rules.in_force"),
}


def contenders_table(data: PageData) -> str:
    """The figures of the mechanisms that could be built next, beside one another."""
    items = ranked(data)
    rows = [
        [mechanism, item.what, *item.cells(rank)[2:6]]
        for mechanism, sources in CONTENDERS.items()
        for rank, item in enumerate(items, start=1)
        if item.source in sources
    ]
    return markdown.table(("mechanism", *HEADS[1:6]), rows)
