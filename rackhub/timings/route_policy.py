"""Implements `core.request_policy.RequestPolicy` by the routes of the operator's file.

No I/O and no clock: the caller passes the time, and a seed for the jitter. A request keeps the terms with which it was
admitted; a reload applies to later requests. Learned latencies and budgets are kept across reloads, except a budget
whose span changes.
"""

import random
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from rackhub.core.request_policy import AttemptTerms, RetryDecision
from rackhub.timings.budget import SERVED, SHED, SPENT, SlidingBudget
from rackhub.timings.routes import NOT_EXECUTED_REASONS, Reason
from rackhub.timings.table import Table, Terms

if TYPE_CHECKING:
    from rackhub.timings.latency_quantiles import LatencyQuantiles

MS, SECOND = 1_000, 1_000_000  # microseconds
HEDGE_BUDGET_SPAN = 10 * SECOND
HEDGE_BUDGET_FLOOR = 1  # number of hedges that are always allowed within the span
# Maps an outcome of the core to its name in `retry_on`. Outcomes that are not listed may always be retried.
REASONS_BY_OUTCOME: dict[str, Reason] = {
    "FULL": "full",
    "NOCONN": "noconn",
    "RST": "reset",
    "BAD": "error",
    "LATE": "late",
}


class TrackedRequest:
    """One open request with its terms.

    `retry_window`: `repeat_within` of the terms, 0 if they set none; the core passes it to the decision module.
    `dedup_window`: how long engines drop repeats of the request's idempotency key, from its terms or else its class; 0
    if the class has no idempotency key. `possibly_executed`: the time at which each attempt that an engine may have
    executed was sent, by its number; only for requests with an idempotency key. `was_sent`: an attempt was sent.
    `hedged`: the hedge was sent. `engine_was_full`: an engine rejected an attempt as full. `retry_budget`: None if
    retries are not limited by a budget. `hedge_budget`: None if the terms have no hedges, so none is sent.
    """

    __slots__ = (
        "terms",
        "generation",
        "possibly_executed",
        "hedged",
        "engine_was_full",
        "cls",
        "dedup_window",
        "was_sent",
        "max_attempts",
        "retry_window",
        "retry_budget",
        "hedge_budget",
    )

    def __init__(
        self,
        terms: Terms,
        generation: int,
        cls: str,
        class_dedup_window: int,
        retry_budget: SlidingBudget | None,
        hedge_budget: SlidingBudget | None,
    ):
        self.terms, self.generation, self.cls = terms, generation, cls
        self.max_attempts, self.retry_window = terms.attempts, terms.repeat_within
        self.dedup_window = terms.repeat_within or class_dedup_window
        self.possibly_executed: dict[int, int] | None = None
        self.retry_budget, self.hedge_budget = retry_budget, hedge_budget
        self.was_sent = self.hedged = self.engine_was_full = False

    def send_by(self) -> int:
        """Return the time before which a retry must be sent so that engines still drop repeats; 0: at any time."""
        return min(self.possibly_executed.values()) + self.dedup_window if self.possibly_executed else 0


class RoutePolicy:
    """All active routes, with budgets and learned latencies. Times are microseconds.

    `dedup_windows`: how long engines drop repeats, by class, for classes with an idempotency key. `count` adds one to a
    counter. `generation`: the number of tables applied, from 1.
    """

    def __init__(
        self,
        table: Table,
        dedup_windows: Mapping[str, int],
        seed: int,
        count: Callable[[str], None] = lambda name: None,
    ):
        self._table, self._dedup_windows, self.generation = table, dedup_windows, 1
        self._random, self._count = random.Random(seed), count
        self._retry_budgets: dict[tuple[str, str], SlidingBudget] = {}
        self._hedge_budgets: dict[tuple[str, str], SlidingBudget] = {}
        self.open_requests: dict[int, int] = {1: 0}  # number of requests by the generation of their terms
        self._quantiles: LatencyQuantiles | None = None
        self._load_quantiles()

    def _load_quantiles(self) -> None:
        """Create the quantiles if a route has a learned limit; only then is the histogram library imported."""
        has_learned_limits = any(
            route.attempt_timeout or (route.second_copy and route.second_copy.after) for route in self._table.routes
        )
        if has_learned_limits and self._quantiles is None:
            from rackhub.timings import latency_quantiles

            self._quantiles = latency_quantiles.LatencyQuantiles()

    def reload(self, table: Table) -> None:
        """Apply other routes to requests from now on."""
        self._table = table
        self.generation += 1
        self.open_requests[self.generation] = 0
        self.open_requests = {
            generation: requests
            for generation, requests in self.open_requests.items()
            if requests or generation == self.generation
        }
        self._load_quantiles()

    # ---- core.request_policy.RequestPolicy

    def begin_request(self, cls: str, tenant: str, estimate: int, now: int) -> TrackedRequest:
        """Start to track an admitted request and return its terms.

        While its retry budget is spent, `max_attempts` is 1, which the core passes to the decision module. Otherwise
        the module might cancel the first attempt for another engine, and only then learn that no retry is allowed.
        """
        terms = self._table.find(cls, tenant, estimate)
        retry_budget = self._budget(self._retry_budgets, cls, tenant, terms.over) if terms.share is not None else None
        hedge_budget = self._budget(self._hedge_budgets, cls, tenant, HEDGE_BUDGET_SPAN) if terms.has_hedges else None
        request = TrackedRequest(
            terms, self.generation, cls, self._dedup_windows.get(cls, 0), retry_budget, hedge_budget
        )
        self.open_requests[self.generation] += 1
        if retry_budget is not None and not retry_budget.may_spend(now, terms.share or 0.0, terms.floor):
            request.max_attempts = 1
        return request

    def end_request(self, request: TrackedRequest, now: int) -> None:
        """Note that a request was answered or its client has disconnected."""
        if not request.was_sent:  # counts as shed, also in the rare case that the client has disconnected
            for budget in (request.retry_budget, request.hedge_budget):
                if budget is not None:
                    budget.count(SHED, now)
        left = self.open_requests[request.generation] = self.open_requests[request.generation] - 1
        if not left and request.generation != self.generation:
            del self.open_requests[request.generation]

    @staticmethod
    def _budget(budgets: dict[tuple[str, str], SlidingBudget], cls: str, tenant: str, span: int) -> SlidingBudget:
        """Return the budget of a class and tenant; a new, empty one if its span differs."""
        found = budgets.get((cls, tenant))
        if found is None or found.span != span:
            found = budgets[cls, tenant] = SlidingBudget(span)
        return found

    def may_send(self, request: TrackedRequest, attempts: int, is_hedge: bool, now: int) -> bool:
        """Return whether a retry or a hedge may be sent; the first attempt always may.

        Checks the number of attempts, the dedup window and, for a retry, the retry budget. The core calls it right
        before it sends: since `retry_decision` the window may have ended and other requests may have spent the budget.
        """
        if not attempts:
            return True
        send_by = request.send_by()
        if attempts >= request.max_attempts or send_by and now >= send_by:
            self._count("retries_over_terms")
            return False
        if not is_hedge and not self._retry_within_budget(request, now):
            self._count("retries_over_budget")
            return False
        return True

    @staticmethod
    def _retry_within_budget(request: TrackedRequest, now: int) -> bool:
        terms = request.terms
        return request.retry_budget is None or request.retry_budget.may_spend(now, terms.share or 0.0, terms.floor)

    def attempt_terms(self, request: TrackedRequest, number: int, kind: str, is_hedge: bool, now: int) -> AttemptTerms:
        """Return the terms of attempt `number` (from 0), which is sent now; charge a retry or hedge to its budget."""
        kinds = request.terms.kinds
        engine_terms = kinds[kind] if kind in kinds else kinds[""]
        request.was_sent = True
        if not number and engine_terms.fixed is not None and not request.dedup_window:  # usual
            return engine_terms.fixed
        send_by = 0
        if request.dedup_window:
            # Computed before this attempt is added, as it is not a repeat of itself.
            send_by = request.send_by()
            request.possibly_executed = {**(request.possibly_executed or {}), number: now}
        if is_hedge and request.hedge_budget is not None:
            request.hedged = True
            request.hedge_budget.count(SPENT, now)
            self._count("copies")
        elif number and request.retry_budget is not None:
            request.retry_budget.count(SPENT, now)
        if engine_terms.fixed is not None:
            return engine_terms.fixed._replace(send_by=send_by)
        timeout, hedge_after = (
            engine_terms.timeout,
            0 if request.hedged or request.engine_was_full else engine_terms.copy_after,
        )
        if self._quantiles is not None:
            if engine_terms.learned is not None:
                limit = self._quantiles.limit(
                    request.cls,
                    kind,
                    engine_terms.learned,
                    engine_terms.learned_least,
                    engine_terms.learned_most,
                    now,
                )
                timeout = int(limit * MS) if limit else 0
            if engine_terms.copy_learned is not None and not request.hedged and not request.engine_was_full:
                limit = self._quantiles.limit(request.cls, kind, engine_terms.copy_learned, 0.0, 0.0, now)
                hedge_after = int(limit * MS) if limit else 0
        return AttemptTerms(timeout, send_by, hedge_after, engine_terms.priority)

    def may_hedge(self, request: TrackedRequest, kind: str, attempts: int, now: int) -> bool:
        """Return whether a hedge that is due may be sent, by its budget and the request's attempts.

        No hedge is sent once an engine has rejected the request as full: it would add to the load.
        """
        if request.hedged or request.engine_was_full or not self.may_send(request, attempts, True, now):
            return False
        if request.hedge_budget is None or not request.hedge_budget.may_spend(
            now, request.terms.for_kind(kind).copy_share, HEDGE_BUDGET_FLOOR
        ):
            self._count("copies_over_share")
            return False
        return True

    def attempt_completed(
        self,
        request: TrackedRequest,
        number: int,
        kind: str,
        engine: str,
        outcome: str,
        elapsed: int,
        timed_out: bool,
        now: int,
    ) -> None:
        """Record the outcome of an attempt.

        `elapsed`: the time since it was sent. `timed_out`: the time-out of its terms ended it, not the deadline.
        """
        if outcome == "GOOD":
            if request.retry_budget is not None:
                request.retry_budget.count(SERVED, now)
            if request.hedge_budget is not None:
                request.hedge_budget.count(SERVED, now)
            if self._quantiles is None:
                return
        if REASONS_BY_OUTCOME.get(outcome) in NOT_EXECUTED_REASONS:
            if request.possibly_executed:
                request.possibly_executed.pop(number, None)
            request.engine_was_full = request.engine_was_full or outcome == "FULL"
        if self._quantiles is not None and (outcome == "GOOD" or timed_out):
            self._quantiles.record(request.cls, kind, engine, elapsed, now, timed_out)

    def retry_decision(self, request: TrackedRequest, outcome: str, attempts: int, now: int) -> RetryDecision:
        """Return whether to retry after a failed attempt, when no other attempt of the request is in flight.

        If no retry is allowed, the `backoff` of the result is the Retry-After of the rejection.
        """
        retry_reason = REASONS_BY_OUTCOME.get(outcome)
        if retry_reason is not None and retry_reason not in request.terms.retry_on:
            self._count("retries_not_on")
            return RetryDecision(False)
        send_by = request.send_by()
        if attempts >= request.max_attempts or send_by and now >= send_by:
            return RetryDecision(False)
        if not self._retry_within_budget(request, now):
            self._count("retries_over_budget")
            return RetryDecision(
                False, backoff=request.retry_budget.time_until_refill(now) if request.retry_budget is not None else 0
            )
        return RetryDecision(True, self._retry_delay(request, attempts))

    def _retry_delay(self, request: TrackedRequest, attempts: int) -> int:
        retry_backoff = request.terms.backoff
        if retry_backoff is None:
            return 0
        longest = retry_backoff.max_delay_ms(max(attempts, 1)) * MS
        if retry_backoff.jitter == "none":
            return int(longest)
        return int(longest * self._random.uniform(0.5 if retry_backoff.jitter == "half" else 0.0, 1.0))
