"""The first request to an engine that was out goes out from one gateway; the rest hold it until that one's word.

Out is an engine that is newly listed, has come up anew, or fails: two connections refused or reset in a row at one
gateway, or a probe that found no one. Who tries goes by `rendezvous` over those whom this gateway hears. It sends one
attempt and holds the engine itself until that has ended. One that fails gives the turn to the next in line, a rest
later. No word within `BOUND`, and the rest go on, the next in line first; after `ROUNDS` that failed they go on too. So
one that lies, or is gone, holds an engine for a bounded time and no longer.
"""

from collections.abc import Iterable

from rackhub.fleet.overload.records import TRIALS, Trial, bounded, code
from rackhub.fleet.overload.rendezvous import ranked
from rackhub.fleet.ports import Name

MS, SECOND = 1_000, 1_000_000
BOUND = 3 * SECOND  # from the moment that a gateway holds an engine; after it, it does not hold it
APART, APARTS = 100 * MS, 10  # the second in line goes on so long before the third, and so on for so many
ROUNDS = 5  # trials that failed, after which no more are waited for
REST = 1 * SECOND  # after a trial that failed, before the next
ROWED = 2  # failures in a row that put an engine out
PART = 0.5  # of the engines that may be held at once: with more held there would be no place to send to
AGAIN = 10 * SECOND  # an engine is held no sooner after its bound ran out
TRYING, SOUND, BAD = 1, 2, 3


class Recovery:
    """One engine that was out, as this gateway holds it."""

    __slots__ = ("began", "since", "turn", "sent", "state", "at", "round")

    def __init__(self, now: int, since: int):
        self.began = now  # of the holding, or of the trial's present round
        self.since = since  # the word of an answer before then is of what was before
        self.turn: Name | None = None
        self.sent = False  # the own trial is out
        self.state, self.at, self.round = 0, now, 0


class RecoveryTrials:
    def __init__(self, me: Name, bound: int = BOUND):
        self.local_name, self._bound = me, bound
        self._started_at: dict[str, int] = {}  # each listed engine, and when it came up
        self._names: dict[int, str] = {}
        self._consecutive_failures: dict[str, int] = {}
        self._not_before: dict[str, int] = {}  # not held again before then
        self.recoveries: dict[str, Recovery] = {}
        self._reachable: frozenset[Name] = frozenset((me,))
        self.reserved: frozenset[str] = frozenset()

    def listed(self, now: int, engines: Iterable[tuple[str, int]]) -> None:
        """The list, with when each came up; all of the first list are taken as known, or nothing could be served."""
        before, self._started_at = self._started_at, dict(engines)
        self._names = {code(engine): engine for engine in self._started_at}
        for kept in (self.recoveries, self._consecutive_failures, self._not_before):
            for engine in [engine for engine in kept if engine not in self._started_at]:
                del kept[engine]
        for engine, up in self._started_at.items():
            if before and (engine not in before or up > before[engine]):
                self.mark_down(now, engine, anew=True)

    def mark_down(self, now: int, engine: str, anew: bool = False) -> None:
        """It is out: nothing goes there until its trial. `anew`: its process is another one than that before."""
        case = self.recoveries.get(engine)
        known = case is not None and case.state != SOUND or now < self._not_before.get(engine, 0)
        if engine not in self._started_at or known and not anew:
            return
        if len(self.recoveries) < self._maximum_reserved():
            self.recoveries[engine] = Recovery(now, now - self._bound * anew)  # others may have had the list sooner
            self._consecutive_failures.pop(engine, None)

    def update(self, now: int, heard: frozenset[Name]) -> frozenset[str]:
        """The engines that get nothing from this gateway for now."""
        self._reachable = heard
        held = set()
        for engine, case in list(self.recoveries.items()):
            line = ranked(f"trial {case.round} {engine}", heard)
            late = case.began + self._bound + min(line.index(self.local_name), APARTS) * APART
            out = case.sent and now - case.at < self._bound  # longer, and its end may have passed unseen
            if now >= late and not out or case.state == SOUND:
                if case.state != SOUND:
                    self._not_before[engine] = now + AGAIN
                elif now - case.at < self._bound:  # its word is still to be told
                    continue
                del self.recoveries[engine]
                continue
            case.turn = line[0]
            if case.state == BAD and now - case.at >= REST and not case.sent:
                case.state = 0
            if case.turn != self.local_name or case.sent or case.state == BAD:
                held.add(engine)
        if len(held) > self._maximum_reserved():  # the list has shrunk
            held = set(sorted(held, key=lambda engine: self.recoveries[engine].began)[: self._maximum_reserved()])
        self.reserved = frozenset(held)
        return self.reserved

    def _maximum_reserved(self) -> int:
        return max(int(len(self._started_at) * PART), 1) if len(self._started_at) > 1 else 0

    def attempt_sent(self, now: int, engine: str) -> bool:
        """An own attempt goes there; whether that changes what is held."""
        case = self.recoveries.get(engine)
        if case is None or case.state == SOUND or case.sent:
            return False
        case.sent, case.state, case.at = True, TRYING, now
        self.reserved |= {engine}
        return True

    def attempt_completed(self, now: int, engine: str, reason: str) -> bool:
        """An own attempt there has ended; whether that changes what is held."""
        failed = reason in ("NOCONN", "RST")
        case = self.recoveries.get(engine)
        if case is not None and case.sent and case.state == TRYING:
            case.sent, case.at = False, now
            if reason in ("GOOD", "BAD", "FULL"):  # it answers
                case.state = SOUND
            elif reason == "CXL":  # says nothing: another attempt may
                case.state = 0
            else:
                self._trial_failed(case, now)
            return True
        rowed = self._consecutive_failures[engine] = self._consecutive_failures.get(engine, 0) + 1 if failed else 0
        if rowed >= ROWED:
            self.mark_down(now, engine)
        return rowed == ROWED

    def records(self, now: int) -> tuple[Trial, ...]:
        """The own word on engines that it tries, or has tried."""
        return tuple(
            Trial(code(engine), case.state, bounded((now - case.at) // MS))
            for engine, case in sorted(self.recoveries.items())
            if case.state
        )[:TRIALS]

    def receive(self, now: int, owner: Name, age: int, told: Iterable[Trial]) -> None:
        """Another's word, in a record so old: one that answered is free from here, with no other way to hold it."""
        for one in told:
            engine, at = self._names.get(one.engine), now - age - one.age * MS
            case = self.recoveries.get(engine) if engine is not None else None
            if engine is None or now - at > self._bound:
                continue
            if one.state == SOUND and case is not None and at > case.since and case.state != SOUND and not case.sent:
                del self.recoveries[engine]
            elif one.state == BAD and case is not None and owner == case.turn and at > case.at + MS:
                self._trial_failed(case, at)

    def _trial_failed(self, case: Recovery, at: int) -> None:
        case.state, case.at, case.round = BAD, at, case.round + 1
        case.began = max(case.began, at) if case.round < ROUNDS else case.began
