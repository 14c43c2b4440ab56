"""What the other roles hold, send and spend at the target, and all roles by name."""

from collections.abc import Callable, Sequence

from rackhub.fleet.distribution.limits import SECOND
from rackhub.fleet.distribution.limits import Limits as DistributionLimits
from rackhub.fleet.rules.messages import MAX_RULE_SET_BYTES
from rackhub.limits import Limits
from rackhub.trials.processes.resolver import MOST as ANSWER_BYTES
from rackhub.trials.scale.coordinator_role import coordinator
from rackhub.trials.scale.page_data import PageData, Status
from rackhub.trials.scale.role_row import (
    LIST_IN_SCOPE,
    LIST_TODAY,
    RELAYS,
    RULES_TODAY,
    Row,
    per_change,
    snapshot_bytes,
    watch_bytes_a_second,
    watch_messages_a_second,
)


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
            figure="messages to and from its watchers",
            value=watchers * watch_messages_a_second(data),
            unit="messages a second",
            source="bounds of the watch",
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
            value=MAX_RULE_SET_BYTES / 1_000,
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
            figure="CPU and memory",
            value=None,
            unit="-",
            source="not measured",
            mechanism=RELAYS,
            status=status,
        ),
        Row(
            figure="reports of all relays: in",
            value=target.relays * data.at("messages.report_bytes", 0) * SECOND / DistributionLimits().report_interval,
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
            budget=float(Limits().max_fleet_polls_per_s),
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
            value=target["coordinators"] * limits.max_connections_per_engine,
            unit="connections",
            source="limit of the program",
            mechanism="a coordinator keeps to its part of the engines",
            status=Status.PARTLY,
        ),
        Row(
            figure="connections, if its own zone's coordinators do",
            value=target.coordinators_a_zone * limits.max_connections_per_engine,
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
