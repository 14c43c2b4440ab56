"""What the core asks of the timings: terms for a request, for an attempt, and what is allowed after one has ended.

Pure: it takes events, the time and a random stream. Terms are fixed when a request comes; a reload holds for those
that come after it. Budgets and what was learned outlive a reload, as the engines do.
"""

import random
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from rackhub.core.request_policy import AttemptTerms, RetryDecision
from rackhub.timings.budget import SERVED, SHED, SPENT, Window
from rackhub.timings.routes import NEVER_RAN, Reason
from rackhub.timings.table import Table, Terms

if TYPE_CHECKING:
    from rackhub.timings.latency_quantiles import Quantiles

MS, SECOND = 1_000, 1_000_000
COPIES_OVER, COPIES_FLOOR = 10 * SECOND, 1
# how the core words the end of an attempt -> how the file does; what is not here is no reason to try again
WORDS: dict[str, Reason] = {"FULL": "full", "NOCONN": "noconn", "RST": "reset", "BAD": "error", "LATE": "late"}


class Life:
    """One request under its terms."""

    __slots__ = (
        "terms",
        "generation",
        "maybe",
        "copied",
        "full",
        "cls",
        "within",
        "sent",
        "max_attempts",
        "retry_window",
        "retries",
        "copies",
    )

    def __init__(
        self, terms: Terms, generation: int, cls: str, window: int, retries: Window | None, copies: Window | None
    ):
        """`window`: within which repeats of its key are dropped; 0: it is not keyed. `retries`, `copies`: what its
        further attempts and its copies are paid from; None: nothing is to be paid."""
        self.terms, self.generation, self.cls = terms, generation, cls
        self.max_attempts, self.retry_window = terms.attempts, terms.repeat_within
        self.within = terms.repeat_within or window
        self.maybe: dict[int, int] | None = None  # of a keyed one: attempts that may have run, when each went out
        self.retries, self.copies = retries, copies
        # an attempt has gone out; it has had its copy; an engine was full for it, which is no time for copies
        self.sent = self.copied = self.full = False

    def until(self) -> int:
        """When it may go out last, by what may have run of it; 0: at any time."""
        return min(self.maybe.values()) + self.within if self.maybe else 0


class RoutePolicy:
    """All routes in force, with what is counted and learned. Times in microseconds."""

    def __init__(
        self, table: Table, windows: Mapping[str, int], seed: int, count: Callable[[str], None] = lambda name: None
    ):
        """`windows`: of keyed classes, how long a repeat is dropped. `count` adds one to a counter."""
        self._table, self._windows, self.generation = table, windows, 1
        self._random, self._count = random.Random(seed), count
        self._retries: dict[tuple[str, str], Window] = {}
        self._copies: dict[tuple[str, str], Window] = {}
        self.open_requests: dict[int, int] = {1: 0}  # requests by the generation of their terms
        self._quantiles: Quantiles | None = None
        self._learns = False
        self._look()

    def _look(self) -> None:
        """Load the library that learns only where a route asks for it."""
        self._learns = any(
            route.attempt_timeout or route.second_copy and route.second_copy.after for route in self._table.routes
        )
        if self._learns and self._quantiles is None:
            from rackhub.timings import latency_quantiles

            self._quantiles = latency_quantiles.Quantiles()

    def reload(self, table: Table) -> None:
        """Other routes, for requests from now on."""
        self._table = table
        self.generation += 1
        self.open_requests[self.generation] = 0
        self.open_requests = {
            number: count for number, count in self.open_requests.items() if count or number == self.generation
        }
        self._look()

    # ---- the life of a request

    def begin_request(self, cls: str, tenant: str, estimate: int, now: int) -> Life:
        """A request was taken. While its budget is spent it gets one attempt, and the module knows: told only when it
        has called the first one off to place it elsewhere, it would have done that for nothing."""
        terms = self._table.find(cls, tenant, estimate)
        retries = self._window(self._retries, cls, tenant, terms.over) if terms.share is not None else None
        copies = self._window(self._copies, cls, tenant, COPIES_OVER) if terms.copies else None
        life = Life(terms, self.generation, cls, self._windows.get(cls, 0), retries, copies)
        self.open_requests[self.generation] += 1
        if retries is not None and not retries.may(now, terms.share or 0.0, terms.floor):
            life.max_attempts = 1
        return life

    def end_request(self, life: Life, now: int) -> None:
        """It has its answer, or its client is gone."""
        if not life.sent:  # turned away, as a rule
            for window in (life.retries, life.copies):
                if window is not None:
                    window.count(SHED, now)
        left = self.open_requests[life.generation] = self.open_requests[life.generation] - 1
        if not left and life.generation != self.generation:
            del self.open_requests[life.generation]

    @staticmethod
    def _window(windows: dict[tuple[str, str], Window], cls: str, tenant: str, over: int) -> Window:
        found = windows.get((cls, tenant))
        if found is None or found.over != over:
            found = windows[cls, tenant] = Window(over)
        return found

    def may_send(self, life: Life, tries: int, copy: bool, now: int) -> bool:
        """Whether a further attempt may go out at this moment; the first always may. Asked again when it goes, since
        it may have waited: its window may be over, and others may have spent the budget."""
        if not tries:
            return True
        until = life.until()
        if tries >= life.max_attempts or until and now >= until:
            self._count("retries_over_terms")
            return False
        if not copy and not self._budget(life, now):
            self._count("retries_over_budget")
            return False
        return True

    @staticmethod
    def _budget(life: Life, now: int) -> bool:
        terms = life.terms
        return life.retries is None or life.retries.may(now, terms.share or 0.0, terms.floor)

    def attempt_terms(self, life: Life, number: int, kind: str, copy: bool, now: int) -> AttemptTerms:
        """An attempt goes out; what holds for it. A further one is paid for here."""
        kinds = life.terms.kinds
        engine = kinds[kind] if kind in kinds else kinds[""]
        life.sent = True
        if not number and engine.fixed is not None and not life.within:  # most attempts
            return engine.fixed
        send_by = 0
        if life.within:
            send_by = life.until()
            life.maybe = {**(life.maybe or {}), number: now}
        if copy and life.copies is not None:
            life.copied = True
            life.copies.count(SPENT, now)
            self._count("copies")
        elif number and life.retries is not None:
            life.retries.count(SPENT, now)
        if engine.fixed is not None:
            return engine.fixed._replace(send_by=send_by)
        timeout, copy_after = engine.timeout, 0 if life.copied or life.full else engine.copy_after
        if self._quantiles is not None:
            if engine.learned is not None:
                limit = self._quantiles.limit(
                    life.cls, kind, engine.learned, engine.learned_least, engine.learned_most, now
                )
                timeout = int(limit * MS) if limit else 0
            if engine.copy_learned is not None and not life.copied and not life.full:
                limit = self._quantiles.limit(life.cls, kind, engine.copy_learned, 0.0, 0.0, now)
                copy_after = int(limit * MS) if limit else 0
        return AttemptTerms(timeout, send_by, copy_after, engine.priority)

    def may_hedge(self, life: Life, kind: str, tries: int, now: int) -> bool:
        """Whether a copy that is due may go, by its share and by the request's attempts. Where an engine was full for
        it none goes: that is pressure, which copies add to."""
        if life.copied or life.full or not self.may_send(life, tries, True, now):
            return False
        if life.copies is None or not life.copies.may(now, life.terms.on(kind).copy_share, COPIES_FLOOR):
            self._count("copies_over_share")
            return False
        return True

    def attempt_completed(
        self, life: Life, number: int, kind: str, engine: str, reason: str, elapsed: int, cut: bool, now: int
    ) -> None:
        """An attempt has ended; `cut` where the terms' own time-out ended it. What it took is learned."""
        if reason == "GOOD":
            if life.retries is not None:
                life.retries.count(SERVED, now)
            if life.copies is not None:
                life.copies.count(SERVED, now)
            if self._quantiles is None:
                return
        if WORDS.get(reason) in NEVER_RAN:
            if life.maybe:
                life.maybe.pop(number, None)
            life.full = life.full or reason == "FULL"
        if self._quantiles is not None and (reason == "GOOD" or cut):
            self._quantiles.saw(life.cls, kind, engine, elapsed, now, cut)

    def retry_decision(self, life: Life, reason: str, tries: int, now: int) -> RetryDecision:
        """What may come after an attempt that ended without an answer, when nothing else of the request is out."""
        word = WORDS.get(reason)
        if word is not None and word not in life.terms.retry_on:
            self._count("retries_not_on")
            return RetryDecision(False)
        until = life.until()
        if tries >= life.max_attempts or until and now >= until:
            return RetryDecision(False)
        if not self._budget(life, now):
            self._count("retries_over_budget")
            return RetryDecision(False, backoff=life.retries.room_in(now) if life.retries is not None else 0)
        return RetryDecision(True, self._wait(life, tries))

    def _wait(self, life: Life, tries: int) -> int:
        backoff = life.terms.backoff
        if backoff is None:
            return 0
        longest = backoff.longest(max(tries, 1)) * MS
        if backoff.jitter == "none":
            return int(longest)
        return int(longest * self._random.uniform(0.5 if backoff.jitter == "half" else 0.0, 1.0))
