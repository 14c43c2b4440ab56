"""Ends trials: when their time is over, or early by the guard. Several gateways propose it; the register takes one."""

import random
from collections.abc import Callable

from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.rules.active_version import VersionTracker
from rackhub.fleet.rules.dissemination import gossiped_statuses
from rackhub.fleet.rules.messages import MAX_TEXT_LENGTH, EditRequest, Trial, Version
from rackhub.fleet.rules.trial_guard import GroupCounts, verdict

MIN_FALLBACK_DELAY = 300_000  # microseconds after the end, before others than the editor's gateway propose it
MAX_FALLBACK_DELAY = 2_000_000  # microseconds; also the minimum until the same gateway retries


class TrialMonitor:
    """`end_trial` proposes the request that it is given. `counts`: on trial, and at all others, as last compared."""

    def __init__(
        self,
        fleet: Fleet,
        tracker: VersionTracker,
        acceptors: tuple[Name, ...],
        end_trial: Callable[[EditRequest], None],
    ):
        self._fleet = fleet
        self._tracker = tracker
        self._acceptors = acceptors
        self._end_trial = end_trial
        self._random = random.Random(f"{fleet.seed} trials {fleet.members.local_name}")
        self._number = 0  # the version of the trial that is being watched; 0: none is
        self._deadline = 0
        self.counts = (GroupCounts(), GroupCounts())

    def check(self) -> None:
        """Propose the end of the open trial where it has come; called often."""
        version = self._tracker.open_trial()
        if version is None or version.trial is None:
            self._number = 0
            return
        if not self._may_end(version, version.trial):
            return
        now = self._fleet.clock.now()
        if self._number != version.number:
            self._number = version.number
            self._deadline = self._first_deadline(version, version.trial)
        reason = self._guard(version)
        if reason:
            self._propose(version, f"guard: {reason}")
        elif now >= self._deadline:
            self._propose(version, "its time is over, and nobody confirmed it")

    def _may_end(self, version: Version, trial: Trial) -> bool:
        local = self._fleet.members.local_name
        return local == version.gateway or local in self._acceptors or local in trial.gateways

    def _first_deadline(self, version: Version, trial: Trial) -> int:
        now = self._fleet.clock.now()
        remaining = trial.duration_ms * 1_000  # a trial of unknown age may have begun just now
        if self._tracker.trial_age(now) >= 0:
            remaining = self._tracker.trial_remaining(now)
        if self._fleet.members.local_name == version.gateway:
            return now + remaining
        return now + remaining + self._random.randint(MIN_FALLBACK_DELAY, MAX_FALLBACK_DELAY)

    def _guard(self, version: Version) -> str:
        on = GroupCounts()
        off = GroupCounts()
        for status in gossiped_statuses(self._fleet).values():
            if status.version != version.number:
                continue
            if status.on_trial:
                on = on.plus(status.counts)
            else:
                off = off.plus(status.counts)
        self.counts = (on, off)
        return verdict(on, off)

    def _propose(self, version: Version, reason: str) -> None:
        """Repeat until the trial has ended. All gateways use one id, so that the end is one version."""
        delay = self._random.randint(MAX_FALLBACK_DELAY, 2 * MAX_FALLBACK_DELAY)
        self._deadline = self._fleet.clock.now() + delay
        request = EditRequest(
            kind="lapse",
            base_version=version.number,
            author="rackhub",
            reason=reason[:MAX_TEXT_LENGTH],
            id=f"lapse-{version.number}-{version.id}"[:MAX_TEXT_LENGTH],
            created_at=0,
            gateway=self._fleet.members.local_name,
        )
        self._end_trial(request)
