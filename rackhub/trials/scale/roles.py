"""What each role holds, sends and spends at the target, worked out from the slopes."""

from collections.abc import Callable, Sequence

import msgspec

from rackhub.fleet.distribution.limits import SECOND
from rackhub.fleet.distribution.limits import Limits as DistributionLimits
from rackhub.fleet.rules.words import BOOK as RULE_BOOK_BYTES
from rackhub.limits import Limits
from rackhub.trials.processes.resolver import MOST as ANSWER_BYTES
from rackhub.trials.scale import markdown
from rackhub.trials.scale.page_data import PageData, Status

KILOBYTES_A_MEGABYTE = 1_024
PERCENT = 100
MILLISECONDS = 1_000
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
    return data.at("messages.heartbeat_bytes", 0) * SECOND / DistributionLimits().heartbeat


def watch_bytes_a_second(data: PageData) -> float:
    """Of one watcher: heartbeats, and each change with its acknowledgement."""
    return heartbeat_bytes_a_second(data) + data.target.changes_a_second * update_bytes(data)


def snapshot_bytes(data: PageData) -> float:
    """Of all that one coordinator holds."""
    return (
        data.target["configuration_keys"]
        * data.slope("messages.update_bytes").slope
        * (
            data.target["value_bytes"] + 60  # its key and the heads of its fields
        )
    )


# ---- coordinator


def membership_rows(data: PageData, members: float, who: str, mechanism: str, status: Status) -> list[Row]:
    target = data.target
    return [
        Row(
            figure=f"membership of {who}, idle: sent",
            value=data.at("members.idle_bytes", members),
            unit="bytes a second",
            budget=target["control_bytes"],
            source="members.idle_bytes",
            mechanism=mechanism,
            status=status,
        ),
        Row(
            figure=f"membership of {who}, a record a second each: sent",
            value=data.at("members.records_bytes", members),
            unit="bytes a second",
            budget=target["control_bytes"],
            source="members.records_bytes",
            mechanism=mechanism,
            status=status,
        ),
        Row(
            figure=f"membership of {who}, idle: CPU",
            value=data.at("members.idle_cpu", members) * PERCENT / MILLISECONDS,
            unit="% of a core",
            budget=target["control_cpu"],
            source="members.idle_cpu",
            mechanism=mechanism,
            status=status,
        ),
        Row(
            figure=f"membership of {who}: memory",
            value=data.at("members.memory", members) / KILOBYTES_A_MEGABYTE,
            unit="MB",
            budget=target["control_memory"],
            source="members.memory",
            mechanism=mechanism,
            status=status,
        ),
    ]


def list_rows(data: PageData, engines: float, who: str, mechanism: str, status: Status) -> list[Row]:
    """State and CPU of a list of so many engines, whose changes come at the pace of that many."""
    target = data.target
    changes = target.list_changes_a_second * engines / target["engines"]
    return [
        Row(
            figure=f"engines' list, {who}: memory",
            value=data.at("engines.memory", engines) / KILOBYTES_A_MEGABYTE,
            unit="MB",
            budget=target["control_memory"],
            source="engines.memory",
            mechanism=mechanism,
            status=status,
        ),
        Row(
            figure=f"engines' list, {who}: CPU of its changes",
            value=data.at("engines.change_cpu", engines) * changes * PERCENT / MILLISECONDS,
            unit="% of a core",
            budget=target["control_cpu"],
            source="engines.change_cpu",
            mechanism=mechanism,
            status=status,
        ),
    ]


def coordinator(data: PageData) -> list[Row]:
    target = data.target
    everyone, zone = f"all {target['coordinators']:,.0f}", f"one zone ({target.coordinators_a_zone:.0f})"
    run = data.largest_real_run
    measured_at = f"run {run.name} ({run.run.coordinators} coordinators)" if run else "no run yet"
    cost = run.run.cost if run else None
    return [
        *list_rows(data, target["engines"], "whole", LIST_TODAY, Status.MISSING),
        Row(
            figure="engines' list, whole: in",
            value=data.at("engines.list_bytes", target["engines"]) / data.poll_seconds,
            unit="bytes a second",
            budget=target["control_bytes"],
            source="engines.list_bytes",
            mechanism=f"{LIST_TODAY}, every {data.poll_seconds:g} s",
            status=Status.MISSING,
        ),
        *list_rows(
            data, target.engines_a_zone, f"one zone ({target.engines_a_zone:,.0f})", LIST_IN_SCOPE, Status.MISSING
        ),
        *membership_rows(data, target["coordinators"], everyone, MEMBERS_TODAY, Status.MISSING),
        *membership_rows(data, target.coordinators_a_zone, zone, MEMBERS_BY_ZONE, Status.PARTLY),
        Row(
            figure="configuration, today's way: in and out",
            value=per_change(data, "rules.receiver_bytes"),
            unit="bytes a second",
            budget=target["control_bytes"],
            source="rules.receiver_bytes",
            mechanism=RULES_TODAY,
            status=Status.MISSING,
        ),
        Row(
            figure="configuration through a relay: in and out",
            value=watch_bytes_a_second(data),
            unit="bytes a second",
            budget=target["control_bytes"],
            source="messages.update_bytes, messages.heartbeat_bytes",
            mechanism=RELAYS,
            status=data.distribution,
        ),
        Row(
            figure="configuration through a relay: bytes measured",
            value=cost.bytes_a_second if cost else None,
            unit="bytes a second",
            budget=target["control_bytes"],
            source=measured_at,
            mechanism=RELAYS,
            status=data.distribution,
        ),
        Row(
            figure="configuration through a relay: CPU measured",
            value=cost.cpu_percent if cost else None,
            unit="% of a core",
            budget=target["control_cpu"],
            source=measured_at,
            mechanism=RELAYS,
            status=data.distribution,
        ),
        Row(
            figure="configuration through a relay: memory measured",
            value=cost.memory_megabytes if cost else None,
            unit="MB",
            budget=target["control_memory"],
            source=measured_at,
            mechanism=RELAYS,
            status=data.distribution,
        ),
    ]


# ---- the others


def relay(data: PageData) -> list[Row]:
    target, status = data.target, data.distribution
    watchers = target.coordinators_a_relay
    run = data.largest_real_run
    measured_at = f"run {run.name}" if run else "no run yet"
    return [
        Row(
            figure="watchers",
            value=watchers,
            unit="coordinators",
            source="target",
            mechanism="rendezvous hashing over the relays of a zone",
            status=status,
        ),
        Row(
            figure="state of one zone's scope",
            value=snapshot_bytes(data) / 1_000_000,
            unit="MB",
            source="messages.update_bytes, assumptions",
            mechanism=RELAYS,
            status=status,
        ),
        Row(
            figure="to its watchers: heartbeats, changes, answers",
            value=watchers * watch_bytes_a_second(data),
            unit="bytes a second",
            source="messages.update_bytes, messages.heartbeat_bytes",
            mechanism=RELAYS,
            status=status,
        ),
        Row(
            figure="messages to its watchers",
            value=watchers * (SECOND / DistributionLimits().heartbeat + target.changes_a_second),
            unit="messages a second",
            source="limits of the watch",
            mechanism=RELAYS,
            status=status,
        ),
        Row(
            figure="from its voter, and reports to all voters",
            value=watch_bytes_a_second(data) + target["voters"] * data.at("messages.report_bytes", 0),
            unit="bytes a second",
            source="messages.update_bytes, messages.report_bytes",
            mechanism=RELAYS,
            status=status,
        ),
        Row(
            figure="CPU measured",
            value=run.run.relay_cpu_percent if run else None,
            unit="% of a core",
            source=measured_at,
            mechanism=RELAYS,
            status=status,
        ),
        Row(
            figure="out, measured",
            value=run.run.relay_bytes_out if run else None,
            unit="bytes a second",
            source=measured_at,
            mechanism=RELAYS,
            status=status,
        ),
    ]


def voter(data: PageData) -> list[Row]:
    target, status = data.target, data.distribution
    return [
        Row(
            figure="rule book, most",
            value=RULE_BOOK_BYTES / 1_000,
            unit="KB",
            source="limit of the book",
            mechanism="register at one, three or five voters",
            status=Status.BUILT,
        ),
        Row(
            figure="today's way: in and out",
            value=per_change(data, "rules.voter_bytes"),
            unit="bytes a second",
            source="rules.voter_bytes",
            mechanism=RULES_TODAY,
            status=Status.MISSING,
        ),
        Row(
            figure="today's way: messages",
            value=per_change(data, "rules.voter_messages"),
            unit="messages a second",
            source="rules.voter_messages",
            mechanism=RULES_TODAY,
            status=Status.MISSING,
        ),
        Row(
            figure="to all relays, if all of them watch this one",
            value=target.relays * watch_bytes_a_second(data),
            unit="bytes a second",
            source="messages.update_bytes, messages.heartbeat_bytes",
            mechanism=RELAYS,
            status=status,
        ),
        Row(
            figure="reports of all relays: in",
            value=target.relays * data.at("messages.report_bytes", 0) * SECOND / DistributionLimits().report,
            unit="bytes a second",
            source="messages.report_bytes",
            mechanism="sums of acknowledgements",
            status=status,
        ),
    ]


def list_teller(data: PageData) -> list[Row]:
    target = data.target
    answer_bytes = data.at("engines.list_bytes", target["engines"])
    zone_bytes = data.at("engines.list_bytes", target.engines_a_zone)
    return [
        Row(
            figure="one answer with the whole list",
            value=answer_bytes,
            unit="bytes",
            budget=ANSWER_BYTES,
            source="engines.list_bytes",
            mechanism=LIST_TODAY,
            status=Status.MISSING,
        ),
        Row(
            figure="one answer with one zone's list",
            value=zone_bytes,
            unit="bytes",
            budget=ANSWER_BYTES,
            source="engines.list_bytes",
            mechanism=LIST_TODAY,
            status=Status.MISSING,
        ),
        Row(
            figure="questions of all coordinators",
            value=target["coordinators"] / data.poll_seconds,
            unit="a second",
            budget=float(Limits().fleet_polls),
            source="limit of the program",
            mechanism="longer polls in larger fleets, to half a second",
            status=Status.MISSING,
        ),
        Row(
            figure="answers with the whole list to all",
            value=target["coordinators"] / data.poll_seconds * answer_bytes / 1_000_000,
            unit="MB a second",
            source="engines.list_bytes",
            mechanism=LIST_TODAY,
            status=Status.MISSING,
        ),
    ]


def engine(data: PageData) -> list[Row]:
    target, limits = data.target, Limits()
    return [
        Row(
            figure="statements",
            value=target["statements"] / target["engines"],
            unit="a second",
            source="target",
            mechanism="decision module",
            status=Status.BUILT,
        ),
        Row(
            figure="connections, if every coordinator holds its most to it",
            value=target["coordinators"] * limits.engine_connections,
            unit="connections",
            source="limit of the program",
            mechanism="a coordinator keeps to its part of the engines",
            status=Status.PARTLY,
        ),
        Row(
            figure="connections, if its own zone's coordinators do",
            value=target.coordinators_a_zone * limits.engine_connections,
            unit="connections",
            source="limit of the program",
            mechanism=LIST_IN_SCOPE,
            status=Status.MISSING,
        ),
    ]


def operator_edit(data: PageData) -> list[Row]:
    target, status = data.target, data.distribution
    coordinators = target["coordinators"]
    asked = target["zones"] + target["voters"]
    return [
        Row(
            figure="today's way: messages at the editor",
            value=data.at("rules.editor_messages", coordinators),
            unit="messages a change",
            source="rules.editor_messages",
            mechanism=RULES_TODAY,
            status=Status.MISSING,
        ),
        Row(
            figure="today's way: bytes at the editor",
            value=data.at("rules.editor_bytes", coordinators) / 1_000_000,
            unit="MB a change",
            source="rules.editor_bytes",
            mechanism=RULES_TODAY,
            status=Status.MISSING,
        ),
        Row(
            figure="today's way: bytes everywhere together",
            value=data.at("rules.receiver_bytes", coordinators) * coordinators / 2 / 1_000_000,
            unit="MB a change",
            source="rules.receiver_bytes, once for each two ends",
            mechanism=RULES_TODAY,
            status=Status.MISSING,
        ),
        Row(
            figure="by relays: who is asked before it",
            value=asked,
            unit="voters and coordinators",
            source="target, assumptions",
            mechanism="one coordinator of each zone looks at the change",
            status=status,
        ),
    ]


ROLES: dict[str, Callable[[PageData], Sequence[Row]]] = {
    "coordinator": coordinator,
    "relay": relay,
    "voter": voter,
    "engine-list": list_teller,
    "engine": engine,
    "operator-edit": operator_edit,
}


def role_table(rows: Sequence[Row]) -> str:
    return markdown.table(HEADS, [row.cells() for row in rows])
