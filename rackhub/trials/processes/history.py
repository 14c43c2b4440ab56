"""Checks what editors were told of the rule book against what gateways hold of it. Pure; times are microseconds."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec


class Op(msgspec.Struct):
    """One edit or undo, said once or more under one id. `number` 0: refused; None: never known."""

    id: str
    kind: str
    gateway: str
    begin: int
    end: int = 0
    number: int | None = None
    why: str = ""


class Held(msgspec.Struct, frozen=True):
    """What one gateway said of itself at one time. `disk`: how often its disk has been taken away; a gateway with an
    empty one begins anew, and is held only to what it said since."""

    at: int
    gateway: str
    version: int
    newest: int
    disk: int = 0


class Entry(msgspec.Struct, frozen=True):
    """One version in a gateway's history."""

    number: int
    id: str
    digest: str


def check(ops: Sequence[Op], held: Iterable[Held], histories: Mapping[str, Sequence[Entry]]) -> list[tuple[str, str]]:
    """All faults, each as its kind and its case. `histories` are those at the end, when all is healed."""
    found: list[tuple[str, str]] = []
    digests: dict[int, set[tuple[str, str]]] = defaultdict(set)
    for entries in histories.values():
        for entry in entries:
            digests[entry.number].add((entry.id, entry.digest))
    found += [
        ("two_contents", f"version {number}: {sorted(told)}")
        for number, told in sorted(digests.items())
        if len(told) > 1
    ]
    for op in ops:
        if op.number:
            for name, entries in histories.items():
                kept = {entry.number: entry.id for entry in entries}
                if kept and op.number >= min(kept) and kept.get(op.number) != op.id:
                    found.append(
                        (
                            "acknowledged_lost",
                            f"{op.kind} {op.id} as version {op.number}, at {name}: {kept.get(op.number, 'nothing')}",
                        )
                    )
    numbers = [op.number for op in ops if op.number]
    found += [
        ("two_contents", f"version {number} told to two editors")
        for number in sorted(set(numbers))
        if numbers.count(number) > 1
    ]
    done = sorted((op for op in ops if op.number), key=lambda op: op.end)
    for later in done:
        for earlier in done:
            if earlier.end >= later.begin:
                break
            if (earlier.number or 0) >= (later.number or 0):
                found.append(("order_broken", f"version {later.number} was asked for after {earlier.number} was told"))
    newest: dict[tuple[str, int], int] = {}
    for each in sorted(held, key=lambda each: each.at):
        key = each.gateway, each.disk
        if each.newest < newest.get(key, 0):
            found.append(("version_back", f"{each.gateway}: from {newest[key]} to {each.newest}"))
        newest[key] = max(newest.get(key, 0), each.newest)
    return found
