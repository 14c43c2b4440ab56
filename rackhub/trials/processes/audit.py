"""What must never be seen by a client, and what was seen: each kind of fault by name, with its first cases."""

import msgspec

KEPT = 5  # cases of each kind that are told; all are counted

# a fault of safety: none of these may ever be there
SAFETY = (
    "lost",
    "answered_twice",
    "wrong_rows",
    "never_ran",
    "bad_served",
    "unreadable",
    "stray_answer",
    "two_attempts",
    "effects_twice",
    "after_told",
    "partial_as_whole",
    "crashed",
    "cold_fell",
    "acknowledged_lost",
    "two_contents",
    "order_broken",
    "version_back",
    "open_changed",
    "over_bound",
)


class Found(msgspec.Struct):
    """Faults by kind. `late` answers came after the budget: a matter of pace, told and not a fault of safety."""

    counts: dict[str, int] = {}
    cases: dict[str, list[str]] = {}

    def add(self, kind: str, case: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1
        if self.counts[kind] <= KEPT:
            self.cases.setdefault(kind, []).append(case)

    def faults(self) -> dict[str, int]:
        return {kind: count for kind, count in self.counts.items() if kind in SAFETY}


class Totals(msgspec.Struct):
    """Of a whole run. `carried_on`: refusals that a client took to the next gateway; `unreached`: tries that found
    nobody; `cut`: tries whose gateway was killed or paused by the rig, which are excused."""

    requests: int = 0
    tries: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    gave_up: int = 0
    carried_on: int = 0
    unreached: int = 0
    cut: int = 0
    late: int = 0
    refusals: int = 0
    bad: int = 0
    worth_asked: float = 0.0
    worth_served: float = 0.0
    errors: dict[str, int] = {}

    def share(self) -> float:
        return self.worth_served / self.worth_asked if self.worth_asked else 1.0
