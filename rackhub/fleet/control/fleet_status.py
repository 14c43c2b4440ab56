"""The command `fleet`: members, their states and reachability, the published records, and faults to look at."""

from collections.abc import Mapping
from typing import Any

from rackhub.fleet.members.part import Membership
from rackhub.fleet.ports import Answer, Control, Member, Record

COMMAND = "fleet"
MICROSECONDS_PER_MILLISECOND = 1_000


def register_command(control: Control, membership: Membership) -> None:
    """Register the command, which takes no arguments."""

    def handle(request: Mapping[str, Any], answer: Answer) -> None:
        """Answer one request."""
        arguments = sorted(set(request) - {"call"})
        if arguments:
            answer({"error": f"{COMMAND}: takes no {', '.join(arguments)}"})
        else:
            answer(describe_fleet(membership))

    control.on(COMMAND, handle)


def describe_fleet(membership: Membership) -> dict[str, Any]:
    """The response. Ages are milliseconds by this gateway's clock; in `hears`, None means not known."""
    members = membership.members
    now = membership.now()
    living = sorted(members.live())
    table = membership.core.table
    return {
        "me": members.local_name,
        "members": {name: _describe_member(member, now) for name, member in sorted(members.all().items())},
        "heard": sorted(members.reachable()),
        "hears": {
            one: {other: members.receives_from(one, other) for other in living if other != one} for one in living
        },
        "board": {
            kind: {record.owner: _describe_record(record) for record in records}
            for kind, records in _records_by_kind(membership).items()
        },
        "health": membership.core.probing.health.factor,
        "clashes": {name: sorted(places) for name, places in sorted(table.local_member.clashes.items())},
        "nonsense": dict(sorted(table.implausible_claims.items())),
        "figures": dict(membership.metrics()),
    }


def _describe_member(member: Member, now: int) -> Mapping[str, Any]:
    return {
        "state": member.state.value,
        "for_ms": (now - member.since) // MICROSECONDS_PER_MILLISECOND,
        "boot": member.generation,
        "incarnation": member.incarnation,
        "address": "{}:{}".format(*member.address),
        "site": member.site,
        "serves": "{}:{}".format(*member.client_address) if member.client_address else None,
    }


def _describe_record(record: Record) -> Mapping[str, Any]:
    return {
        "number": record.number,
        "age_ms": record.age // MICROSECONDS_PER_MILLISECOND,
        "bytes": len(record.body),
    }


def _records_by_kind(membership: Membership) -> dict[str, list[Record]]:
    """Sorted by kind, and by owner within each."""
    kinds: dict[str, list[Record]] = {}
    for record in membership.published_records():
        kinds.setdefault(record.kind, []).append(record)
    return {kind: sorted(kinds[kind]) for kind in sorted(kinds)}
