"""Whether what the editors saw fits one order in which each change took effect at one moment of its call.

The search is that of Wing and Gong, with Lowe's memory of what was tried: a call may come next if no other had ended
before it began. A call of unknown outcome may take effect at any later time, or never.
"""

from collections.abc import Sequence
from typing import Literal, NamedTuple

NEVER = 1 << 62


class Op(NamedTuple):
    """One call at the rule book. `on`: the version it builds on; -1: a read. `got`: the version that it made or found
    (for a read, the newest); what it was refused for is a later version than `on`, or nothing at all (`failed`)."""

    begin: int
    end: int
    id: str
    on: int
    kind: Literal["done", "conflict", "unknown", "failed"]
    got: int = 0


State = tuple[str, ...]  # the ids of all versions, in order


def after(state: State, op: Op) -> State | None:
    """The state after it took effect there; None: it can't have, with the answer that it gave."""
    if op.on < 0:
        return state if op.got == len(state) else None
    if op.kind == "conflict":
        return state if op.id not in state and op.on != len(state) else None
    if op.id in state:
        return state if op.kind == "unknown" or state.index(op.id) + 1 == op.got else None
    if op.on != len(state) or op.kind == "done" and op.got != op.on + 1:
        return None
    return (*state, op.id)


def linearizable(ops: Sequence[Op]) -> tuple[bool, list[str]]:
    """Whether there is such an order, and the longest one found."""
    ops = sorted(
        (one if one.kind != "unknown" else one._replace(end=NEVER) for one in ops if one.kind != "failed"),
        key=lambda one: (one.begin, one.end),
    )
    must = sum(1 << i for i, one in enumerate(ops) if one.kind != "unknown")
    tried: set[tuple[int, State]] = set()
    best: State = ()
    stack: list[tuple[int, State]] = [(0, ())]
    while stack:
        done, state = stack.pop()
        if (done, state) in tried:
            continue
        tried.add((done, state))
        best = max(best, state, key=len)
        if done & must == must:
            return True, list(state)
        soonest = min(one.end for i, one in enumerate(ops) if not done >> i & 1)
        for i in range(len(ops) - 1, -1, -1):
            if not done >> i & 1 and ops[i].begin <= soonest:
                came = after(state, ops[i])
                if came is not None:
                    stack.append((done | 1 << i, came))
    return False, list(best)
