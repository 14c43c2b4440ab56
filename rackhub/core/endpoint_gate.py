"""Defers requests and attempts and excludes engines while the lease of the endpoint list is not confirmed."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from rackhub import interface, logs
from rackhub.core.decision_driver import DecisionDriver
from rackhub.core.lease import LeaseStatus
from rackhub.core.request import Attempt, Query
from rackhub.core.state import CoordinatorState

log = logs.logger(__name__)


class EndpointGate:
    """Defers requests and attempts until the endpoint list is confirmed or expired, and excludes single engines."""

    def __init__(self, state: CoordinatorState, decisions: DecisionDriver, resume: Callable[[Attempt], None]) -> None:
        """`resume` begins a deferred attempt again."""
        self._resume = resume
        self._state = state
        self._decisions = decisions
        self._waiting: dict[Query | Attempt, Callable[[], None]] = {}  # in the order of their arrival
        self._ineligible: frozenset[str] = frozenset()
        self._allocation = interface.FleetAllocation()  # the fleet's last allocation, without the ineligible engines

    def lease_status(self) -> LeaseStatus:
        """Return the status of the endpoint list's lease now; valid if there is no lease."""
        lease = self._state.lease
        if lease is None:
            return LeaseStatus.VALID
        return lease.status(self._state.clock.now())

    def defer(self, attempt: Attempt) -> None:
        """Queue an attempt until the endpoint list is confirmed or has expired."""
        self.call_when_settled(attempt, partial(self._resume, attempt))

    def call_when_settled(self, waiting: Query | Attempt, resume: Callable[[], None]) -> None:
        """Call `resume` for a request or attempt once the endpoint list is confirmed or has expired."""
        self._waiting[waiting] = resume

    def discard(self, ended: Query | Attempt) -> None:
        """Forget a request or attempt that has ended; one that does not wait is ignored."""
        self._waiting.pop(ended, None)

    def resume_if_settled(self) -> None:
        """Resume what was deferred unless the endpoint list is still unconfirmed."""
        if self._waiting and self.lease_status() is not LeaseStatus.UNCONFIRMED:
            self._resume_all()

    def poll_started(self) -> int:
        """Record that the resolver is polled; return the current time."""
        now = self._state.clock.now()
        if self._state.lease is not None:
            self._state.lease.poll_started(now)
        return now

    def poll_confirmed(self, started_at: int) -> None:
        """Renew the lease: the active endpoint list is the resolver's as of `started_at`."""
        if self._state.lease is not None:
            self._state.lease.poll_confirmed(started_at)
            self.update_ineligible(self._state.clock.now())
        self._resume_all()

    def update_ineligible(self, now: int) -> None:
        """Notify the policy if the set of engines that must not get requests has changed."""
        lease = self._state.lease
        ineligible = lease.ineligible(self._state.engine_kinds, now) if lease is not None else frozenset()
        if ineligible != self._ineligible:
            log.info("engines_ineligible", engines=sorted(ineligible), reason="the endpoint list is not confirmed")
            self._ineligible = ineligible
            self.apply_allocation(self._allocation)

    def apply_allocation(self, allocation: interface.FleetAllocation) -> None:
        """Pass the fleet's allocation to the policy, with the ineligible engines marked as reserved."""
        self._allocation = allocation
        reserved = allocation.reserved_engines | self._ineligible
        self._decisions.dispatch(replace(allocation, reserved_engines=reserved))

    def _resume_all(self) -> None:
        waiting = self._waiting
        self._waiting = {}
        for resume in waiting.values():
            resume()
