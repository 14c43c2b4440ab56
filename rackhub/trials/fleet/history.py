"""Checks a history of calls for linearizability: each change takes effect at call moment between its call and answer.

The search is that of Wing and Gong, with Lowe's cache of visited states: a call may be next if no other pending call
ended before it began. A call with unknown outcome may take effect at any later time, or never.
"""

from collections.abc import Sequence
from typing import Literal, NamedTuple

NEVER = 1 << 62


class Op(NamedTuple):
    """One call to the rule set. `on`: its base version; -1 for a read. `got`: the version that it created or found (the
    newest for a read). A conflict means that a version later than `on` exists; a failed call has no effect."""

    begin: int
    end: int
    id: str
    on: int
    kind: Literal["done", "conflict", "unknown", "failed"]
    got: int = 0


State = tuple[str, ...]  # ids of all versions, in order


def after(state: State, op: Op) -> State | None:
    """Return the state after the call takes effect, or None if that contradicts its answer."""
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
    """Return whether the history is linearizable, and the longest order found."""
    ops = sorted(
        (call if call.kind != "unknown" else call._replace(end=NEVER) for call in ops if call.kind != "failed"),
        key=lambda call: (call.begin, call.end),
    )
    required = sum(1 << i for i, call in enumerate(ops) if call.kind != "unknown")
    visited: set[tuple[int, State]] = set()
    best: State = ()
    stack: list[tuple[int, State]] = [(0, ())]
    while stack:
        done, state = stack.pop()
        if (done, state) in visited:
            continue
        visited.add((done, state))
        best = max(best, state, key=len)
        if done & required == required:
            return True, list(state)
        earliest_end = min(call.end for i, call in enumerate(ops) if not done >> i & 1)
        for i in range(len(ops) - 1, -1, -1):
            if not done >> i & 1 and ops[i].begin <= earliest_end:
                next_state = after(state, ops[i])
                if next_state is not None:
                    stack.append((done | 1 << i, next_state))
    return False, list(best)
