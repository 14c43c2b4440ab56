"""Ends trials when their time is over, or earlier if the guard requires it.

Several gateways may propose the end of the same trial; the register accepts one of the proposals.
"""

import random
from collections.abc import Callable

from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.rules.active_version import VersionTracker
from rackhub.fleet.rules.dissemination import gossiped_statuses
from rackhub.fleet.rules.messages import MAX_TEXT_LENGTH, EditRequest, Trial, Version
from rackhub.fleet.rules.trial_guard import GroupCounts, reason_to_end

# A gateway other than the editor's proposes the end of a trial between these microseconds after the trial's time is
# over. A gateway repeats its proposal after `MAX_FALLBACK_DELAY` to twice that.
MIN_FALLBACK_DELAY = 300_000
MAX_FALLBACK_DELAY = 2_000_000


class TrialMonitor:
    """Watches the open trial and proposes its end.

    `end_trial` proposes the request that it is called with. `counts` are the counts that the guard compared last: those
    of the trial's gateways, and those of all others.
    """

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
        self._watched_version = 0  # the version of the trial being watched; 0: none
        self._deadline = 0  # time of this gateway's next proposal to end the trial
        self.counts = (GroupCounts(), GroupCounts())

    def check(self) -> None:
        """Propose the end of the open trial if its time is over or the guard requires it. Called periodically."""
        version = self._tracker.open_trial()
        if version is None or version.trial is None:
            self._watched_version = 0
            return
        if not self._may_propose_end(version, version.trial):
            return
        now = self._fleet.clock.now()
        if self._watched_version != version.number:
            self._watched_version = version.number
            self._deadline = self._first_deadline(version, version.trial)
        reason = self._check_guard(version)
        if reason:
            self._propose(version, f"guard: {reason}")
        elif now >= self._deadline:
            self._propose(version, "its time is over, and nobody confirmed it")

    def _may_propose_end(self, version: Version, trial: Trial) -> bool:
        local = self._fleet.members.local_name
        return local == version.gateway or local in self._acceptors or local in trial.gateways

    def _first_deadline(self, version: Version, trial: Trial) -> int:
        now = self._fleet.clock.now()
        remaining = trial.duration_ms * 1_000  # a trial of unknown age may have just begun
        if self._tracker.trial_age(now) >= 0:
            remaining = self._tracker.trial_remaining(now)
        if self._fleet.members.local_name == version.gateway:
            return now + remaining
        return now + remaining + self._random.randint(MIN_FALLBACK_DELAY, MAX_FALLBACK_DELAY)

    def _check_guard(self, version: Version) -> str:
        trial = GroupCounts()
        others = GroupCounts()
        for status in gossiped_statuses(self._fleet).values():
            if status.version != version.number:
                continue
            if status.on_trial:
                trial = trial.plus(status.counts)
            else:
                others = others.plus(status.counts)
        self.counts = (trial, others)
        return reason_to_end(trial, others)

    def _propose(self, version: Version, reason: str) -> None:
        """Propose the trial's end, and set the time of the next proposal in case the trial stays open.

        All gateways use the same id, so that only one of the proposals makes a version.
        """
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
