"""The state machine of one gathered request: it takes events of subrequests and returns effects. No I/O, no clock.

Times are microseconds of the gathering coordinator's clock. A site has at most one subrequest in flight; late and
duplicate events are ignored.

Reasons for a missing site: "late" returned no rows in time, "cut" is unreachable, "refused" rejected the subrequest,
"failed" returned an error or rows that did not fit, and "spared" was left out because of an overload.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Literal, NamedTuple

from rackhub.core.gather import GatherStatus, MissingReason, SiteStatus
from rackhub.gather.rules import Rule

MS = 1_000  # microseconds
WEIGHT_TOLERANCE = 1e-9  # tolerance for the rounding of floating-point sums of weights


class Rows(NamedTuple):
    """All rows of one site, in pages, and their age in microseconds; 0 for fresh rows."""

    pages: Sequence[bytes]
    age: int = 0

    @property
    def size(self) -> int:
        """The size of all pages in bytes."""
        return sum(map(len, self.pages))


# ---- effects


class SendSubrequest(NamedTuple):
    """Send the request to a site, as attempt number `attempt` from 0; its result is needed before `deadline`."""

    site: str
    attempt: int
    deadline: int


class CancelSubrequest(NamedTuple):
    """Cancel the attempt that is in flight at a site."""

    site: str
    attempt: int


class StartTimer(NamedTuple):
    """Call `Gather.timer_fired` at this time."""

    at: int


class Answer(NamedTuple):
    """The final answer: served, with the rows in the order of the sites and their status, or refused.

    `backoff`: the Retry-After of a refusal in microseconds. `reason`: why it was refused; not sent to the client.
    """

    outcome: Literal["served", "refused"]
    pages: Sequence[bytes] = ()
    status: GatherStatus | None = None  # None if refused
    backoff: int = 0
    reason: str = ""


Effect = SendSubrequest | CancelSubrequest | StartTimer | Answer


class CachedResult(NamedTuple):
    """An earlier result of a site, which may replace a missing one, and the time at which it was read."""

    rows: Rows
    read_at: int


class Gather:
    """A gathered request from its start to its answer.

    `weights`: by site. `usual_latency(site)`: the latency at the rule's quantile, 0 if it is unknown.
    `cached_result(site)`: the last complete result for this request. `take_retry_token()`: takes one retry from the
    fleet's budget and returns False if none is left. `backoff`: the minimum Retry-After of a refusal.
    `partial_accepted`: the client's protocol can mark an answer as partial. Unless it can and the rule has `partial`,
    every site must return fresh rows.
    """

    def __init__(
        self,
        rule: Rule,
        weights: Mapping[str, float],
        started_at: int,
        deadline: int,
        max_bytes: int,
        usual_latency: Callable[[str], int],
        cached_result: Callable[[str], CachedResult | None],
        take_retry_token: Callable[[], bool],
        backoff: int,
        partial_accepted: bool = True,
    ):
        self.rule = rule
        self.weights = weights
        self.started_at = started_at
        self.deadline = deadline
        self.fresh: dict[str, Rows] = {}
        self.missing: dict[str, MissingReason] = {}
        self.in_flight: dict[str, int] = {}  # site -> number of the attempt
        self.attempts: dict[str, int] = dict.fromkeys(rule.sites, 0)
        self.done = False
        self._max_bytes = max_bytes
        self._usual_latency = usual_latency
        self._cached_result = cached_result
        self._take_retry_token = take_retry_token
        self._partial_allowed = rule.partial and partial_accepted
        self._backoff = backoff
        self._sufficient_at = 0  # the time at which the fresh rows became sufficient; 0: not yet

    # ---- events

    def start(self, now: int, is_unreachable: Callable[[str], bool], overloaded: bool) -> list[Effect]:
        """Send a subrequest to each reachable site, or refuse the request if the answer can't become sufficient.

        While the fleet is overloaded, the rule's `spare` sites are left out too, as long as the other sites can suffice
        and a partial answer is allowed.
        """
        for site in self.rule.sites:
            if is_unreachable(site):
                self.missing[site] = "cut"
        if overloaded and self._partial_allowed:
            self._leave_out_spare_sites(now)
        if not self._can_succeed(frozenset(self.missing), now):
            return self._finish(now)
        targets = [site for site in self.rule.sites if site not in self.missing]
        sends: list[Effect] = [self._send_subrequest(site) for site in targets]
        return [*sends, StartTimer(self.deadline), *self._evaluate(now)]

    def _leave_out_spare_sites(self, now: int) -> None:
        for site in self.rule.spare:
            if site not in self.missing and self._can_succeed(frozenset(self.missing) | {site}, now):
                self.missing[site] = "spared"

    def receive_rows(self, now: int, site: str, attempt: int, rows: Rows) -> list[Effect]:
        """A subrequest returned its complete rows. A second result, or one of an older attempt, is ignored."""
        if self.done or self.in_flight.get(site) != attempt:
            return []
        del self.in_flight[site]
        self.fresh[site] = rows
        return self._evaluate(now)

    def fail_site(
        self, now: int, site: str, attempt: int, reason: MissingReason, backoff: int = 0, may_retry: bool = False
    ) -> list[Effect]:
        """A subrequest ended without rows.

        `backoff`: the Retry-After that the site gave, in microseconds; a refusal has the longest one. `may_retry`:
        another coordinator of the site may be tried.
        """
        if self.done or self.in_flight.get(site) != attempt:
            return []
        del self.in_flight[site]
        self._backoff = max(self._backoff, backoff)
        if may_retry and self._retry_allowed(site, now):
            return [self._send_subrequest(site)]
        self.missing[site] = reason
        return self._evaluate(now)

    def _retry_allowed(self, site: str, now: int) -> bool:
        return self.attempts[site] < self.rule.max_attempts and now < self.deadline and self._take_retry_token()

    def mark_unreachable(self, now: int, site: str) -> list[Effect]:
        """Cancel the subrequest to a site that has become unreachable."""
        if self.done or site not in self.in_flight:
            return []
        attempt = self.in_flight.pop(site)
        self.missing[site] = "cut"
        return [CancelSubrequest(site, attempt), *self._evaluate(now)]

    def timer_fired(self, now: int) -> list[Effect]:
        """The timer of a `StartTimer` is due."""
        if self.done:
            return []
        if now >= self.deadline:
            return self._finish(now)
        return self._evaluate(now)

    def cancel(self) -> list[Effect]:
        """Cancel all subrequests: the client has disconnected, or the core has answered the request."""
        self.done = True
        return self._cancel_subrequests()

    # ---- decisions

    def _send_subrequest(self, site: str) -> SendSubrequest:
        attempt = self.attempts[site]
        self.attempts[site] = attempt + 1
        self.in_flight[site] = attempt
        return SendSubrequest(site, attempt, self.deadline)

    def _evaluate(self, now: int) -> list[Effect]:
        """Finish if no subrequest is in flight, if the answer can no longer suffice, or if the wait is over."""
        if not self.in_flight or not self._can_succeed(frozenset(self.missing), now):
            return self._finish(now)
        if not self._partial_allowed or self.rule.wait == "budget" or not self._is_sufficient(frozenset(self.fresh)):
            return []
        wait_limit = self._wait_limit(now)
        return self._finish(now) if now >= wait_limit else [StartTimer(wait_limit)]

    def _wait_limit(self, now: int) -> int:
        """Return until when to wait for sites in flight, now that the fresh rows are sufficient.

        With `wait` = "need" that is no time at all, with "learned" the latest limit of these sites.
        """
        self._sufficient_at = self._sufficient_at or now
        if self.rule.wait == "need":
            return self._sufficient_at
        limits = [self._wait_limit_of(site) for site in self.in_flight]
        return min(max(limits, default=now), self.deadline)

    def _wait_limit_of(self, site: str) -> int:
        """Return the usual latency of a site after the start, or its default after the rows became sufficient."""
        latency = self._usual_latency(site)
        if latency:
            return self.started_at + latency
        return self._sufficient_at + int(self.rule.default_wait_ms * MS)

    def _usable_cached_rows(self, site: str, now: int) -> Rows | None:
        """Return the cached rows of a site, if the rule allows them and they are recent enough."""
        cached = self._cached_result(site) if self._partial_allowed and self.rule.fill_ms else None
        if cached is None or now - cached.read_at > self.rule.fill_ms * MS:
            return None
        return Rows(cached.rows.pages, max(now - cached.read_at, 1))  # an age of 0 is for fresh rows

    def _is_sufficient(self, present: frozenset[str]) -> bool:
        """Return whether the rows of these sites suffice for an answer.

        Needed are all sites of the rule if no partial answer is allowed, else its `weight` if set, else its `needs`.
        """
        if not self._partial_allowed:
            return present.issuperset(self.rule.sites)
        if self.rule.weight is not None:
            total = sum(self.weights[site] for site in self.rule.sites)
            return sum(self.weights[site] for site in present) >= self.rule.weight * total - WEIGHT_TOLERANCE
        return present.issuperset(self.rule.sites if self.rule.needs == "all" else self.rule.needs)

    def _can_succeed(self, missing: frozenset[str], now: int) -> bool:
        """Return whether the answer can still suffice without fresh rows of the missing sites.

        Cached results may replace them, but at least one site must return fresh rows.
        """
        present = {site for site in self.rule.sites if site not in missing}
        replaceable = {site for site in missing if self._usable_cached_rows(site, now) is not None}
        return bool(present) and self._is_sufficient(frozenset(present | replaceable))

    # ---- the answer

    def _finish(self, now: int) -> list[Effect]:
        """Return the final answer from the available rows, after cancelling all subrequests."""
        absent: dict[str, MissingReason] = {**self.missing, **dict.fromkeys(self.in_flight, "late")}
        rows = dict(self.fresh)
        for site in absent:
            cached_rows = self._usable_cached_rows(site, now)
            if cached_rows is not None:
                rows[site] = cached_rows
        self.done = True
        if not self.fresh or not self._is_sufficient(frozenset(rows)):
            reasons = ", ".join(f"{site} {reason}" for site, reason in absent.items())
            return [*self._cancel_subrequests(), self._refusal(reasons)]
        self._drop_sites_until_size_fits(rows, absent)
        if self._total_size(rows) > self._max_bytes:
            return [
                *self._cancel_subrequests(),
                self._refusal(f"the rows of all sites are over the maximum of {self._max_bytes} bytes"),
            ]
        pages = [page for site in self.rule.sites if site in rows for page in rows[site].pages]
        return [*self._cancel_subrequests(), Answer("served", pages, self._status(rows, absent))]

    def _drop_sites_until_size_fits(self, rows: dict[str, Rows], absent: dict[str, MissingReason]) -> None:
        """Leave out sites, the rule's last one first, until the rows fit into the maximum size.

        A site is only left out if the remaining ones are sufficient and at least one of them is fresh.
        """
        for site in reversed(self.rule.sites):
            if (
                site in rows
                and self._total_size(rows) > self._max_bytes
                and self._partial_allowed
                and self._is_sufficient(frozenset(rows) - {site})
                and set(rows) & (set(self.fresh) - {site})
            ):
                del rows[site]
                absent[site] = "failed"

    def _refusal(self, reason: str) -> Answer:
        return Answer("refused", backoff=self._backoff, reason=reason)

    def _status(self, rows: Mapping[str, Rows], absent: Mapping[str, MissingReason]) -> GatherStatus:
        complete = set(rows) == set(self.rule.sites) and not any(result.age for result in rows.values())
        sites = [
            SiteStatus(site=site, age_ms=-(-rows[site].age // MS))
            if site in rows
            else SiteStatus(site=site, missing=absent[site])
            for site in self.rule.sites
        ]
        return GatherStatus(complete=complete, sites=sites)

    @staticmethod
    def _total_size(rows: Mapping[str, Rows]) -> int:
        return sum(result.size for result in rows.values())

    def _cancel_subrequests(self) -> list[Effect]:
        effects: list[Effect] = [CancelSubrequest(site, attempt) for site, attempt in self.in_flight.items()]
        self.in_flight.clear()
        return effects
