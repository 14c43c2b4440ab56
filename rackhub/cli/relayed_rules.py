"""Prints replies to `rackhub rules` status, edit and undo from a fleet with relays."""

from collections.abc import Mapping
from typing import Any

MILLISECONDS_PER_SECOND = 1_000

Reply = Mapping[str, Any]


def print_relayed(command: str, reply: Reply) -> None:
    """Print a reply that has a revision in place of a version."""
    if command != "status":
        return _print_change(reply)
    if reply["role"] == "voter":
        _print_voter(reply)
    elif reply["role"] == "relay":
        _print_relay(reply)
    else:
        _print_coordinator(reply)
    if reply.get("damage"):
        print(f"damage: {reply['damage']}")
    for row in reply["by_sender"]:
        print(f"  {row['counter']} of {row['sender']}: {row['count']}")


def format_applied(reply: Reply) -> str:
    """Say at how many coordinators a revision is active, as the relays report it."""
    line = f"revision {reply['revision']} in force at {reply['in_force']:,} of {reply['expected']:,}"
    if reply["lagging"]:
        line += f", {reply['lagging']:,} lagging, the oldest by {_format_seconds(reply['oldest_ms'])}"
    return line


def _print_change(reply: Reply) -> None:
    print(f"{format_applied(reply)}, after {reply['took_ms']} ms (id {reply['id']})")
    if reply["unasked"]:
        print(f"zones that did not answer the validation request: {', '.join(reply['unasked'])}")
    _print_most_behind(reply)
    _print_rejected(reply)


def _print_voter(reply: Reply) -> None:
    print(format_applied(reply))
    _print_most_behind(reply)
    if reply["refusing"]:
        print(f"{reply['refusing']:,} cannot apply a key and keep its previous value")
    _print_rejected(reply)
    vote = "votes" if reply["votes"] else "does not vote yet because its disk is new"
    print(f"{reply['name']}  voter, {vote}; a majority of the voters has revision {reply['replicated']}")
    for row in reply["voters"]:
        print(f"  {row['name']}  voter  revision {row['revision']}, last seen {_format_seconds(row['age_ms'])} ago")


def _print_relay(reply: Reply) -> None:
    upstream = reply["upstream"] or "no voter"
    print(
        f"{reply['name']}  relay of zone {reply['zone']}  holds revision {reply['revision']} from {upstream}; "
        f"{reply['watchers']} watch it, {reply['members']} live in its zone"
    )


def _print_coordinator(reply: Reply) -> None:
    upstream = reply["upstream"] or "no relay"
    print(
        f"{reply['name']}  coordinator of zone {reply['zone']}  revision {reply['revision']} in force, "
        f"{reply['held']} on its disk, from {upstream}"
    )
    _print_rejected(reply)


def _print_most_behind(reply: Reply) -> None:
    for row in reply["worst"]:
        print(f"  {row['name']}  has revision {row['revision']}, behind by {_format_seconds(row['behind_ms'])}")


def _print_rejected(reply: Reply) -> None:
    for row in reply["refused"]:
        print(f"  rejected: {row['key']}: {row['reason']}")


def _format_seconds(milliseconds: int) -> str:
    return f"{milliseconds / MILLISECONDS_PER_SECOND:.0f} s"
