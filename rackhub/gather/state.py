"""One gather as a state machine: its parts' ends in, an answer or calls to make out. No I/O, no clock of its own.

Times are microseconds of the gathering gateway's clock. A part is one attempt at a time; what comes after its end, or
twice, changes nothing.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Literal, NamedTuple

from rackhub.core.gather import GatherStatus, Missing, SiteStatus
from rackhub.gather.rules import Rule

MS = 1_000


class Rows(NamedTuple):
    """All rows of one site, in pages, and how old they are: 0, fresh."""

    pages: Sequence[bytes]
    age: int = 0

    @property
    def size(self) -> int:
        return sum(map(len, self.pages))


# ---- effects


class SendPart(NamedTuple):
    """Ask the site, for the `number`th time from 0; its end is due by `until`."""

    site: str
    number: int
    until: int


class CallOff(NamedTuple):
    site: str
    number: int


class Wake(NamedTuple):
    at: int


class Answer(NamedTuple):
    """`how` is served, with rows in the sites' order and what stands beside them (None: whole), or refused."""

    how: Literal["served", "refused"]
    pages: Sequence[bytes] = ()
    told: GatherStatus | None = None
    backoff: int = 0
    why: str = ""


Effect = SendPart | CallOff | Wake | Answer


class Kept(NamedTuple):
    """What stands by for a site that is missing."""

    rows: Rows
    at: int  # when they were read


class Gather:
    """From the start to its answer. `learned(site)`: how long the site takes by the rule's quantile, 0: not known.
    `kept(site)`: its last whole answer to this request. `token()`: takes one further attempt from the fleet's budget.
    `weights`: of the sites."""

    def __init__(
        self,
        rule: Rule,
        weights: Mapping[str, float],
        began: int,
        deadline: int,
        most_bytes: int,
        learned: Callable[[str], int],
        kept: Callable[[str], Kept | None],
        token: Callable[[], bool],
        backoff: int,
        marks: bool = True,
    ):
        self.rule, self.weights, self.began, self.deadline = rule, weights, began, deadline
        self._most, self._learned, self._kept, self._token = most_bytes, learned, kept, token
        self._partial = rule.partial and marks
        self.fresh: dict[str, Rows] = {}
        self.missing: dict[str, Missing] = {}
        self.out: dict[str, int] = {}  # sites that are asked, by the number of the try
        self.tries: dict[str, int] = dict.fromkeys(rule.sites, 0)
        self.over = False
        self._backoff, self._met_at = backoff, 0

    # ---- events

    def start(self, now: int, cut: Callable[[str], bool], over_level: bool) -> list[Effect]:
        """Admit it as a whole: what is cut off is not waited for; over the fleet's level parts are spared, as far as
        the need can still be met without."""
        for site in self.rule.sites:
            if cut(site):
                self.missing[site] = "cut"
        if over_level and self._partial:
            for site in self.rule.spare:
                if site not in self.missing and self._can(frozenset(self.missing) | {site}, now):
                    self.missing[site] = "spared"
        if not self._can(frozenset(self.missing), now):
            return self._end(now)
        asked = [site for site in self.rule.sites if site not in self.missing]
        sends: list[Effect] = [self._send(site) for site in asked]
        return [*sends, Wake(self.deadline), *self._look(now)]

    def came(self, now: int, site: str, number: int, rows: Rows) -> list[Effect]:
        """The whole answer of a part. A later one, or one of a try that was given up, counts for nothing."""
        if self.over or self.out.get(site) != number:
            return []
        del self.out[site]
        self.fresh[site] = rows
        return self._look(now)

    def failed(
        self, now: int, site: str, number: int, why: Missing, backoff: int = 0, again: bool = False
    ) -> list[Effect]:
        """A part ended without an answer. `again`: another gateway of the site could be asked."""
        if self.over or self.out.get(site) != number:
            return []
        del self.out[site]
        self._backoff = max(self._backoff, backoff)
        if again and self.tries[site] < self.rule.tries and now < self.deadline and self._token():
            return [self._send(site)]
        self.missing[site] = why
        return self._look(now)

    def cut(self, now: int, site: str) -> list[Effect]:
        """Members say that the site can't be reached: its part is not waited for any more."""
        if self.over or site not in self.out:
            return []
        number = self.out.pop(site)
        self.missing[site] = "cut"
        return [CallOff(site, number), *self._look(now)]

    def woke(self, now: int) -> list[Effect]:
        if self.over:
            return []
        if now >= self.deadline:
            return self._end(now)
        return self._look(now)

    def left(self) -> list[Effect]:
        """The client is gone, or has had its answer from elsewhere."""
        self.over = True
        return self._call_off()

    # ---- what is decided

    def _send(self, site: str) -> SendPart:
        number = self.tries[site]
        self.tries[site] = number + 1
        self.out[site] = number
        return SendPart(site, number, self.deadline)

    def _look(self, now: int) -> list[Effect]:
        """After each end: answer if nothing is out, if the need can't be met any more, or if it is met and what is out
        is not worth its lateness."""
        if not self.out or not self._can(frozenset(self.missing), now):
            return self._end(now)
        if not self._partial or self.rule.wait == "budget" or not self._met(frozenset(self.fresh)):
            return []
        until = self._worth_until(now)
        return self._end(now) if now >= until else [Wake(until)]

    def _worth_until(self, now: int) -> int:
        """Until when the missing sites are waited for once the need is met."""
        self._met_at = self._met_at or now
        if self.rule.wait == "need":
            return self._met_at
        waits = [
            self.began + learned if (learned := self._learned(site)) else self._met_at + int(self.rule.patience_ms * MS)
            for site in self.out
        ]
        return min(max(waits, default=now), self.deadline)

    def _fills(self, site: str, now: int) -> Rows | None:
        kept = self._kept(site) if self._partial and self.rule.fill_ms else None
        if kept is None or now - kept.at > self.rule.fill_ms * MS:
            return None
        return Rows(kept.rows.pages, max(now - kept.at, 1))

    def _met(self, having: frozenset[str]) -> bool:
        """Whether these sites are enough."""
        if not self._partial:
            return having.issuperset(self.rule.sites)
        if self.rule.weight is not None:
            whole = sum(self.weights[site] for site in self.rule.sites)
            return sum(self.weights[site] for site in having) >= self.rule.weight * whole - 1e-9
        return having.issuperset(self.rule.sites if self.rule.needs == "all" else self.rule.needs)

    def _can(self, missing: frozenset[str], now: int) -> bool:
        """Whether it can still be met without these, at least one site fresh, by what stands by for them too."""
        having = {site for site in self.rule.sites if site not in missing}
        filled = {site for site in missing if self._fills(site, now) is not None}
        return bool(having) and self._met(frozenset(having | filled))

    def _end(self, now: int) -> list[Effect]:
        """The one answer, of what is here."""
        late: dict[str, Missing] = {**self.missing, **dict.fromkeys(self.out, "late")}
        rows = dict(self.fresh)
        for site in late:
            if (filled := self._fills(site, now)) is not None:
                rows[site] = filled
        if not self.fresh or not self._met(frozenset(rows)):
            self.over = True
            told = ", ".join(f"{site} {why}" for site, why in late.items())
            return [*self._call_off(), Answer("refused", backoff=self._backoff, why=told)]
        for site in reversed(self.rule.sites):  # what is over the most that a result may hold is left out from the end
            if (
                site in rows
                and sum(part.size for part in rows.values()) > self._most
                and self._partial
                and self._met(frozenset(rows) - {site})
                and set(rows) & set(self.fresh) - {site}
            ):
                del rows[site]
                late[site] = "failed"
        self.over = True
        if sum(part.size for part in rows.values()) > self._most:
            return [
                *self._call_off(),
                Answer("refused", backoff=self._backoff, why=f"the sites' rows are more than {self._most} bytes"),
            ]
        whole = set(rows) == set(self.rule.sites) and not any(part.age for part in rows.values())
        sites = [
            SiteStatus(site=site, age_ms=-(-rows[site].age // MS))
            if site in rows
            else SiteStatus(site=site, missing=late[site])
            for site in self.rule.sites
        ]
        pages = [page for site in self.rule.sites if site in rows for page in rows[site].pages]
        return [*self._call_off(), Answer("served", pages, GatherStatus(complete=whole, sites=sites))]

    def _call_off(self) -> list[Effect]:
        calls: list[Effect] = [CallOff(site, number) for site, number in self.out.items()]
        self.out.clear()
        return calls
