"""Decides which version applies at this gateway, without I/O. Versions only advance; a trial ends by the local clock.

A version on trial has two contents: its own where it is on trial, and its parent's elsewhere. It is on trial only at
the gateways that it names, and only while the trial's age is known and below its duration. A restarted gateway does not
know the age of any trial.
"""

from typing import Any, NamedTuple

import msgspec

from rackhub.fleet.rules.messages import UNKNOWN_AGE, RuleSet, Version
from rackhub.fleet.rules.versions import content_of, merge


class ActiveVersion(NamedTuple):
    """The version that applies to new requests, and its content at this gateway."""

    version: int
    on_trial: bool
    content: dict[str, Any]


class StoredRules(msgspec.Struct, frozen=True):
    """The record on disk. `version` is the newest version that this gateway has applied."""

    rule_set: RuleSet = msgspec.field(name="book")
    version: int


class LearnResult(NamedTuple):
    """The result of merging versions.

    `advanced`: the newest version is newer than before. `conflicts`: the numbers of versions whose local and received
    copies differ.
    """

    advanced: bool
    conflicts: list[int]


class VersionTracker:
    """The rule set that this gateway knows, and the open trial's end. Times are microseconds of the local clock."""

    def __init__(self, gateway: str, stored: StoredRules | None = None):
        self.gateway = gateway
        self.rule_set = stored.rule_set if stored is not None else RuleSet()
        # the newest version applied by this gateway, also before a restart
        self.applied_version = stored.version if stored is not None else 0
        self._timed_version = 0  # the version whose trial ends at `_trial_end`; 0: no trial's end is known
        self._trial_end = 0

    def learn(self, versions: tuple[Version, ...], trial_age: int, now: int) -> LearnResult:
        """Merge versions that a majority of the acceptors chose.

        `trial_age` is an upper bound of the age of the newest version's trial, or `UNKNOWN_AGE`.
        """
        before = self.rule_set.newest_number
        self.rule_set, conflicts = merge(self.rule_set, versions)
        newest = self.open_trial()
        if newest is not None and newest.trial is not None and newest.number > before and trial_age >= 0:
            self._timed_version = newest.number
            self._trial_end = now - trial_age + newest.trial.duration_ms * 1_000
        return LearnResult(self.rule_set.newest_number > before, conflicts)

    def target(self, now: int) -> ActiveVersion:
        """Return the version and the content that should apply at `now`."""
        newest = self.rule_set.newest
        if newest is None:
            return ActiveVersion(0, False, {})
        if newest.trial is None:
            return ActiveVersion(newest.number, False, newest.content)
        if self.gateway in newest.trial.gateways and self.trial_remaining(now) > 0:
            return ActiveVersion(newest.number, True, newest.content)
        return ActiveVersion(newest.number, False, content_of(self.rule_set, newest.parent))

    def trial_remaining(self, now: int) -> int:
        """Return the time until the newest version's trial ends.

        0 if the trial is over or its age is not known, or if the newest version is not on trial.
        """
        if not self._timed_version or self._timed_version != self.rule_set.newest_number:
            return 0
        return max(self._trial_end - now, 0)

    def trial_age(self, now: int) -> int:
        """Return the age of the newest version's trial, to be sent to other gateways, or `UNKNOWN_AGE`."""
        newest = self.open_trial()
        if newest is None or newest.trial is None or self._timed_version != newest.number:
            return UNKNOWN_AGE
        return now - (self._trial_end - newest.trial.duration_ms * 1_000)

    def open_trial(self) -> Version | None:
        """Return the newest version if it is on trial, else None."""
        newest = self.rule_set.newest
        return newest if newest is not None and newest.trial is not None else None
