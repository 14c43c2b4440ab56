"""Recovery trials: one gateway sends the first request to an engine that may be down; the others wait for its result.

An engine needs a trial when it is newly listed, has restarted, or fails: two attempts in a row at one gateway that
could not connect or were reset, or a health check that could not connect. Until the trial has succeeded, the engine is
reserved: this gateway sends it no requests, except for the trial.

Every gateway computes the same member for the trial, by rendezvous hashing over the reachable members. That member
sends one attempt. After a failed trial and a pause the next round begins: a new ranking is computed for it, and its
first member runs the trial. Each gateway releases the engine once `BOUND` has passed since the reservation, or since
the last failure that restarted the bound, the first in the ranking first. So a false report reserves an engine for a
bounded time only.
"""

from collections.abc import Iterable

from rackhub.fleet.overload.records import TRIALS, Trial, bounded, code
from rackhub.fleet.overload.rendezvous import ranked
from rackhub.fleet.ports import Name

MS = 1_000
SECOND = 1_000_000
BOUND = 3 * SECOND  # maximum time for which a gateway reserves an engine in one round
RELEASE_INTERVAL = 100 * MS  # time after which the next gateway in the ranking releases an engine past the bound
MAXIMUM_RELEASE_INTERVALS = 10  # maximum number of such intervals, for gateways far down in the ranking
MAXIMUM_ROUNDS = 5  # failed trials before this one restart the bound; later ones do not
PAUSE = 1 * SECOND  # minimum time between a failed trial and the next
FAILURE_THRESHOLD = 2  # number of failures in a row after which an engine counts as down
MAXIMUM_RESERVED_FRACTION = 0.5  # maximum fraction of the engines that are reserved, so that some remain in use
COOLDOWN = 10 * SECOND  # minimum time between the release of an engine past the bound and its next reservation

# states of a trial, as encoded in load records
PENDING = 0
RUNNING = 1
SUCCEEDED = 2
FAILED = 3


class Recovery:
    """The recovery of one engine as this gateway sees it."""

    __slots__ = ("round_began_at", "successes_since", "assigned_to", "in_flight", "state", "state_changed_at", "round")

    def __init__(self, now: int, since: int):
        self.round_began_at = now  # time of the reservation, or of the last failure that restarted the bound
        self.successes_since = since  # a success before this time is ignored, as it may be from before the failure
        self.assigned_to: Name | None = None  # the member that runs the trial
        self.in_flight = False  # set while the local trial is in flight
        self.state = PENDING
        self.state_changed_at = now  # time of the last change of state
        self.round = 0  # number of failed trials; part of the key of the ranking


class RecoveryTrials:
    """The recoveries that this gateway knows of, and the engines reserved for them."""

    def __init__(self, local_name: Name, bound: int = BOUND):
        self.local_name = local_name
        self._bound = bound
        self._started_at: dict[str, int] = {}  # start time of each listed engine
        self._names: dict[int, str] = {}
        self._consecutive_failures: dict[str, int] = {}
        self._not_before: dict[str, int] = {}  # earliest time of the next reservation, by engine
        self.recoveries: dict[str, Recovery] = {}
        self._reachable: frozenset[Name] = frozenset((local_name,))
        self.reserved: frozenset[str] = frozenset()

    def set_engines(self, now: int, engines: Iterable[tuple[str, int]]) -> None:
        """Apply a list of engines with their start times; engines of the first list need no trial."""
        before = self._started_at
        self._started_at = dict(engines)
        self._names = {code(engine): engine for engine in self._started_at}
        for by_engine in (self.recoveries, self._consecutive_failures, self._not_before):
            for engine in [engine for engine in by_engine if engine not in self._started_at]:
                del by_engine[engine]
        for engine, started_at in self._started_at.items():
            if before and (engine not in before or started_at > before[engine]):
                self.mark_down(now, engine, restarted=True)

    def mark_down(self, now: int, engine: str, restarted: bool = False) -> None:
        """Begin the recovery of a listed engine, which the next `update` reserves.

        Nothing happens if too many engines are in recovery. Unless the engine is `restarted` (or newly listed), nothing
        happens either while it is in recovery, or within `COOLDOWN` of its release.
        """
        recovery = self.recoveries.get(engine)
        in_recovery = recovery is not None and recovery.state != SUCCEEDED
        if engine not in self._started_at:
            return
        if not restarted and (in_recovery or now < self._not_before.get(engine, 0)):
            return
        if len(self.recoveries) < self._maximum_reserved():
            since = now - self._bound * restarted  # another member may have received the list and run its trial before
            self.recoveries[engine] = Recovery(now, since)
            self._consecutive_failures.pop(engine, None)

    def update(self, now: int, reachable: frozenset[Name]) -> frozenset[str]:
        """Advance all recoveries and assign their trials; return the engines that this gateway must not use now.

        `reachable` are the reachable members and this one.
        """
        self._reachable = reachable
        reserved = set()
        for engine, recovery in list(self.recoveries.items()):
            if self._update_recovery(now, engine, recovery):
                reserved.add(engine)
        if len(reserved) > self._maximum_reserved():  # the endpoint list has become shorter
            oldest = sorted(reserved, key=lambda engine: self.recoveries[engine].round_began_at)
            reserved = set(oldest[: self._maximum_reserved()])
        self.reserved = frozenset(reserved)
        return self.reserved

    def _update_recovery(self, now: int, engine: str, recovery: Recovery) -> bool:
        """Advance one recovery and drop it if it is over; return whether the engine is reserved."""
        ranking = ranked(f"trial {recovery.round} {engine}", self._reachable)
        position = min(ranking.index(self.local_name), MAXIMUM_RELEASE_INTERVALS)
        release_at = recovery.round_began_at + self._bound + position * RELEASE_INTERVAL
        # Past the bound a trial in flight counts as lost.
        awaits_result = recovery.in_flight and now - recovery.state_changed_at < self._bound
        if recovery.state == SUCCEEDED:
            if now - recovery.state_changed_at >= self._bound:  # the result is published until then
                del self.recoveries[engine]
            return False
        if now >= release_at and not awaits_result:
            self._not_before[engine] = now + COOLDOWN
            del self.recoveries[engine]
            return False
        recovery.assigned_to = ranking[0]
        if recovery.state == FAILED and now - recovery.state_changed_at >= PAUSE and not recovery.in_flight:
            recovery.state = PENDING
        return recovery.assigned_to != self.local_name or recovery.in_flight or recovery.state == FAILED

    def _maximum_reserved(self) -> int:
        engines = len(self._started_at)
        return max(int(engines * MAXIMUM_RESERVED_FRACTION), 1) if engines > 1 else 0

    def attempt_sent(self, now: int, engine: str) -> bool:
        """Count a local attempt; return whether it is a trial, which changes the reserved engines."""
        recovery = self.recoveries.get(engine)
        if recovery is None or recovery.state == SUCCEEDED or recovery.in_flight:
            return False
        recovery.in_flight = True
        recovery.state = RUNNING
        recovery.state_changed_at = now
        self.reserved |= {engine}
        return True

    def attempt_completed(self, now: int, engine: str, reason: str) -> bool:
        """Count the end of a local attempt; return whether the reserved engines may change."""
        recovery = self.recoveries.get(engine)
        if recovery is not None and recovery.in_flight and recovery.state == RUNNING:
            self._complete_trial(recovery, now, reason)
            return True
        failed = reason in ("NOCONN", "RST")
        failures = self._consecutive_failures.get(engine, 0) + 1 if failed else 0
        self._consecutive_failures[engine] = failures
        if failures >= FAILURE_THRESHOLD:
            self.mark_down(now, engine)
        return failures == FAILURE_THRESHOLD

    def _complete_trial(self, recovery: Recovery, now: int, reason: str) -> None:
        recovery.in_flight = False
        recovery.state_changed_at = now
        if reason in ("GOOD", "BAD", "FULL"):  # the engine answers, also with an error or a rejection
            recovery.state = SUCCEEDED
        elif reason == "CXL":  # the attempt was cancelled, so another one may be the trial
            recovery.state = PENDING
        else:
            self._trial_failed(recovery, now)

    def records(self, now: int) -> tuple[Trial, ...]:
        """Return the trials that run or have a known result, for the load record."""
        return tuple(
            Trial(code(engine), recovery.state, bounded((now - recovery.state_changed_at) // MS))
            for engine, recovery in sorted(self.recoveries.items())
            if recovery.state
        )[:TRIALS]

    def receive(self, now: int, owner: Name, age: int, trials: Iterable[Trial]) -> None:
        """Apply the trials in a record of another member, `age` microseconds old.

        An engine that answered is released. A failure counts only from the member that is assigned to the trial. Ages
        are rounded to milliseconds, so a report has to be later by more than that to be new.
        """
        for trial in trials:
            engine = self._names.get(trial.engine)
            at = now - age - trial.age * MS
            recovery = self.recoveries.get(engine) if engine is not None else None
            if engine is None or recovery is None or now - at > self._bound:
                continue
            if (
                trial.state == SUCCEEDED
                and at > recovery.successes_since
                and recovery.state != SUCCEEDED
                and not recovery.in_flight
            ):
                del self.recoveries[engine]
            elif trial.state == FAILED and owner == recovery.assigned_to and at > recovery.state_changed_at + MS:
                self._trial_failed(recovery, at)

    def _trial_failed(self, recovery: Recovery, at: int) -> None:
        recovery.state = FAILED
        recovery.state_changed_at = at
        recovery.round += 1
        if recovery.round < MAXIMUM_ROUNDS:
            recovery.round_began_at = max(recovery.round_began_at, at)
