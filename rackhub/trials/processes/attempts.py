"""All that engines were sent, attempt by attempt, and what must never be among it.

One log serves all engines of a rig, in one process and on one clock, so that what came before what is known. Times are
microseconds.
"""

from collections import Counter, defaultdict
from collections.abc import Callable

import msgspec


class Sent(msgspec.Struct):
    """One attempt as its engine saw it. `over` 0: it is still out."""

    at: int
    gateway: str
    engine: str
    id: str
    cls: str
    sign: str  # of the statement
    key: str
    work: int
    over: int = 0
    how: str = ""


class Attempts:
    """`later` runs a call after everything that has come by now is seen: a give-up on another connection may be read
    after the attempt that follows it, and is no fault."""

    def __init__(self, later: Callable[[Callable[[], None]], None]):
        self._later = later
        self.all: list[Sent] = []
        self.out: dict[str, list[Sent]] = defaultdict(list)  # by request id
        self.ran: dict[str, set[str]] = defaultdict(set)  # by request id: the engines that ran it to its end
        self.signs: dict[str, set[str]] = defaultdict(set)  # by statement: the engines that ran it to its end
        self.effects: Counter[str] = Counter()  # by key: how often a load was done
        self.doubled: list[tuple[Sent, Sent]] = []
        self.after_told: list[Sent] = []

    def began(self, sent: Sent, told: int | None, grace: int = 1_300_000) -> Sent:
        """`told` is when its gateway was told that the engine drains or is gone."""
        self.all.append(sent)
        if told is not None and sent.at > told + grace:
            self.after_told.append(sent)
        out = self.out[sent.id]
        if out:
            others = [other for other in out if not other.over]
            self._later(lambda: self._judge(sent, others))
        out.append(sent)
        return sent

    def _judge(self, sent: Sent, others: list[Sent]) -> None:
        self.doubled += [(other, sent) for other in others if not other.over]

    def ended(self, sent: Sent, now: int, how: str) -> None:
        if sent.over:
            return
        sent.over, sent.how = now, how
        out = self.out[sent.id]
        out.remove(sent)
        if not out:
            del self.out[sent.id]
        if how == "served":
            self.ran[sent.id].add(sent.engine)
            self.signs[sent.sign].add(sent.engine)

    def by_gateway(self, since: int = 0, until: int | None = None) -> dict[str, int]:
        return dict(Counter(sent.gateway for sent in self.all if since <= sent.at and (not until or sent.at < until)))

    def requests(self, since: int = 0, until: int | None = None) -> tuple[int, int]:
        """Requests by their ids, and attempts, sent in that time."""
        here = [sent.id for sent in self.all if since <= sent.at and (not until or sent.at < until)]
        return len(set(here)), len(here)
