"""What one coordinator holds, sends and spends for control at the target."""

from rackhub.trials.scale.page_data import PageData, Status
from rackhub.trials.scale.role_row import (
    KILOBYTES_A_MEGABYTE,
    LIST_IN_SCOPE,
    LIST_TODAY,
    MEMBERS_BY_ZONE,
    MEMBERS_TODAY,
    MILLISECONDS,
    PERCENT,
    RECORDS_COUNT_MS,
    RELAYS,
    RULES_TODAY,
    Row,
    per_change,
    snapshot_bytes,
    watch_bytes_a_second,
    watch_messages_a_second,
)


def membership_rows(data: PageData, members: float, who: str, mechanism: str, status: Status) -> list[Row]:
    target = data.target
    return [
        Row(
            figure=f"membership of {who}, idle: sent",
            value=data.near("members.idle_bytes", members),
            unit="bytes a second",
            budget=target["control_bytes"],
            source="members.idle_bytes",
            mechanism=mechanism,
            status=status,
        ),
        Row(
            figure=f"membership of {who}, a record a second each: sent",
            value=data.bounded("members.records_bytes", members),
            unit="bytes a second",
            budget=target["control_bytes"],
            source="members.records_bytes",
            mechanism=mechanism,
            status=status,
        ),
        Row(
            figure=f"membership of {who}, a record a second each: age of records, 99%",
            value=data.near("members.record_age_p99", members) / MILLISECONDS,
            unit="s",
            budget=RECORDS_COUNT_MS / MILLISECONDS,
            source="members.record_age_p99",
            mechanism=mechanism,
            status=status,
        ),
        Row(
            figure=f"membership of {who}, idle: CPU",
            value=data.near("members.idle_cpu", members) * PERCENT / MILLISECONDS,
            unit="% of a core",
            budget=target["control_cpu"],
            source="members.idle_cpu",
            mechanism=mechanism,
            status=status,
        ),
        Row(
            figure=f"membership of {who}: memory",
            value=data.near("members.memory", members) / KILOBYTES_A_MEGABYTE,
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
            value=data.near("engines.memory", engines) / KILOBYTES_A_MEGABYTE,
            unit="MB",
            budget=target["control_memory"],
            source="engines.memory",
            mechanism=mechanism,
            status=status,
        ),
        Row(
            figure=f"engines' list, {who}: CPU of its changes",
            value=data.near("engines.change_cpu", engines) * changes * PERCENT / MILLISECONDS,
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
            value=data.near("engines.list_bytes", target["engines"]) / data.poll_seconds,
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
            figure="configuration, today's way: messages",
            value=per_change(data, "rules.receiver_messages"),
            unit="messages a second",
            source="rules.receiver_messages",
            mechanism=RULES_TODAY,
            status=Status.MISSING,
        ),
        Row(
            figure="configuration through a relay: state in its scope",
            value=snapshot_bytes(data) / 1_000_000,
            unit="MB",
            budget=target["control_memory"],
            source="messages.update_bytes, assumptions",
            mechanism=RELAYS,
            status=data.distribution,
        ),
        Row(
            figure="configuration through a relay: messages in and out",
            value=watch_messages_a_second(data),
            unit="messages a second",
            source="bounds of the watch",
            mechanism=RELAYS,
            status=data.distribution,
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
