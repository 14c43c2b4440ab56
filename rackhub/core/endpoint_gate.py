"""Which engines may be sent to while the endpoint list's lease is not confirmed, and what waits for it."""

from collections.abc import Callable
from dataclasses import replace

from rackhub import interface, logs
from rackhub.core.decision_driver import DecisionDriver
from rackhub.core.lease import LeaseStatus
from rackhub.core.request import Attempt
from rackhub.core.state import CoordinatorState

log = logs.logger(__name__)


class EndpointGate:
    """Holds attempts back until the endpoint list is confirmed or expired, and excludes engines one by one."""

    def __init__(self, state: CoordinatorState, decisions: DecisionDriver, resume: Callable[[Attempt], None]) -> None:
        """`resume` begins an attempt anew that `defer` has queued."""
        self._state = state
        self._decisions = decisions
        self._resume = resume
        self._waiting: list[Attempt] = []
        self._ineligible: frozenset[str] = frozenset()
        self._allocation = interface.FleetAllocation()  # as the fleet gave it, without the ineligible engines

    def lease_status(self) -> LeaseStatus:
        """Whether the endpoint list is in force now."""
        lease = self._state.lease
        if lease is None:
            return LeaseStatus.CONFIRMED
        return lease.status(self._state.clock.now())

    def defer(self, attempt: Attempt) -> None:
        """Keep an attempt until the list is confirmed, or until it expires."""
        self._waiting.append(attempt)

    def resume_if_settled(self) -> None:
        """Resume what waits unless the list is still to be confirmed."""
        if self._waiting and self.lease_status() is not LeaseStatus.UNCONFIRMED:
            self._resume_all()

    def poll_started(self) -> int:
        """Note that the resolver is polled; the time of that."""
        now = self._state.clock.now()
        if self._state.lease is not None:
            self._state.lease.poll_started(now)
        return now

    def poll_confirmed(self, started_at: int) -> None:
        """Renew the lease: the list in force is that of the resolver, as of `started_at`."""
        if self._state.lease is not None:
            self._state.lease.poll_confirmed(started_at)
            self.update_ineligible(self._state.clock.now())
        self._resume_all()

    def update_ineligible(self, now: int) -> None:
        """Notify the policy if the engines that may not be sent to have changed."""
        lease = self._state.lease
        ineligible = lease.ineligible(self._state.engine_kinds, now) if lease is not None else frozenset()
        if ineligible != self._ineligible:
            log.info("engines_ineligible", engines=sorted(ineligible), reason="the endpoint list is not confirmed")
            self._ineligible = ineligible
            self.apply_allocation(self._allocation)

    def apply_allocation(self, allocation: interface.FleetAllocation) -> None:
        """Hand the fleet's allocation to the policy, with the ineligible engines reserved; it holds until the next."""
        self._allocation = allocation
        reserved = allocation.reserved_engines | self._ineligible
        self._decisions.dispatch(replace(allocation, reserved_engines=reserved))

    def _resume_all(self) -> None:
        waiting = self._waiting
        self._waiting = []
        for attempt in waiting:
            self._resume(attempt)
