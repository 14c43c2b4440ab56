"""The call `fleet`: members, states, who hears whom, the board with ages, and what an operator should look at."""

from collections.abc import Mapping
from typing import Any

from rackhub.fleet.members.part import Membership
from rackhub.fleet.ports import Control, Member

CALL = "fleet"


def offer(control: Control, membership: Membership) -> None:
    control.on(
        CALL,
        lambda words, answer: (
            answer(told(membership))
            if set(words) <= {"call"}
            else answer({"error": f"{CALL}: takes no {', '.join(sorted(set(words) - {'call'}))}"})
        ),
    )


def told(membership: Membership) -> dict[str, Any]:
    """Ages in milliseconds by this gateway's clock; `hears` has True, False or None: not known."""
    members, now = membership.members, membership.now()
    living = sorted(members.living())
    table = membership.core.table
    return {
        "me": members.me,
        "members": {name: _member(member, now) for name, member in sorted(members.all().items())},
        "heard": sorted(members.heard()),
        "hears": {one: {other: members.hears(one, other) for other in living if other != one} for one in living},
        "board": {
            kind: {
                record.owner: {"number": record.number, "age_ms": record.age // 1_000, "bytes": len(record.body)}
                for record in owners
            }
            for kind, owners in _kinds(membership).items()
        },
        "health": membership.core.probing.health.factor,
        "clashes": {name: sorted(places) for name, places in sorted(table.own.clashes.items())},
        "nonsense": dict(sorted(table.nonsense.items())),
        "figures": dict(membership.figures()),
    }


def _member(member: Member, now: int) -> Mapping[str, Any]:
    return {
        "state": member.state.value,
        "for_ms": (now - member.since) // 1_000,
        "boot": member.boot,
        "incarnation": member.incarnation,
        "address": "{}:{}".format(*member.address),
        "site": member.site,
        "serves": "{}:{}".format(*member.serves) if member.serves else None,
    }


def _kinds(membership: Membership) -> dict[str, list[Any]]:
    kinds: dict[str, list[Any]] = {}
    for record in membership.records():
        kinds.setdefault(record.kind, []).append(record)
    return {kind: sorted(kinds[kind]) for kind in sorted(kinds)}
