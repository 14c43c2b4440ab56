"""How `rackhub rules` prints what a process of a fleet with relays answers to status, edit and undo."""

from collections.abc import Mapping
from typing import Any

MILLISECONDS_A_SECOND = 1_000

Told = Mapping[str, Any]


def print_relayed(command: str, told: Told) -> None:
    """`told` has a revision in place of a version."""
    if command != "status":
        return _print_change(told)
    if told["role"] == "voter":
        _print_voter(told)
    elif told["role"] == "relay":
        _print_relay(told)
    else:
        _print_coordinator(told)
    if told.get("damage"):
        print(f"damage: {told['damage']}")
    for row in told["by_sender"]:
        print(f"  {row['counter']} of {row['sender']}: {row['count']}")


def in_force(told: Told) -> str:
    """Where a revision is in force, by the relays' reports."""
    line = f"revision {told['revision']} in force at {told['in_force']:,} of {told['expected']:,}"
    if told["lagging"]:
        line += f", {told['lagging']:,} lag, oldest {_seconds(told['oldest_ms'])}"
    return line


def _print_change(told: Told) -> None:
    print(f"{in_force(told)}, after {told['took_ms']} ms (id {told['id']})")
    if told["unasked"]:
        print(f"zones that did not answer the check: {', '.join(told['unasked'])}")
    _print_worst(told)
    _print_refused(told)


def _print_voter(told: Told) -> None:
    print(in_force(told))
    _print_worst(told)
    if told["refusing"]:
        print(f"{told['refusing']:,} can't take a key, and go on with the value before")
    _print_refused(told)
    vote = "votes" if told["votes"] else "does not vote yet: its disk is new"
    print(f"{told['name']}  voter, {vote}; a majority of the voters has revision {told['replicated']}")
    for row in told["voters"]:
        print(f"  {row['name']}  voter  revision {row['revision']}, heard {_seconds(row['age_ms'])} ago")


def _print_relay(told: Told) -> None:
    upstream = told["upstream"] or "no voter"
    print(
        f"{told['name']}  relay of zone {told['zone']}  holds revision {told['revision']} from {upstream}; "
        f"{told['watchers']} watch it, {told['members']} live in its zone"
    )


def _print_coordinator(told: Told) -> None:
    upstream = told["upstream"] or "no relay"
    print(
        f"{told['name']}  coordinator of zone {told['zone']}  revision {told['revision']} in force, "
        f"{told['held']} on its disk, from {upstream}"
    )
    _print_refused(told)


def _print_worst(told: Told) -> None:
    for row in told["worst"]:
        print(f"  {row['name']}  has revision {row['revision']}, {_seconds(row['behind_ms'])} behind")


def _print_refused(told: Told) -> None:
    for row in told["refused"]:
        print(f"  refused: {row['key']}: {row['reason']}")


def _seconds(milliseconds: int) -> str:
    return f"{milliseconds / MILLISECONDS_A_SECOND:.0f} s"
