"""What a server knows of one watcher. Nothing is queued for it: a position in the log says what it still has to get."""

from collections import deque

import msgspec

from rackhub.fleet.distribution.agenda import NEVER
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import KeyFault, Name, Revision, Watch
from rackhub.fleet.distribution.state import Snapshot


class SnapshotTransfer:
    """A snapshot on its way to one watcher, some parts at a time."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.next_part = 0
        self.confirmed = 0  # parts from the first on that the watcher has in memory

    @property
    def in_flight(self) -> int:
        return self.next_part - self.confirmed

    @property
    def sent(self) -> bool:
        return self.next_part == len(self.snapshot.parts)

    def confirm(self, parts: int) -> None:
        self.confirmed = max(self.confirmed, min(parts, len(self.snapshot.parts)))
        self.next_part = max(self.next_part, self.confirmed)

    def rewind(self) -> None:
        """Send again from the first part that is missing; the last one where none is, to have the watcher answer."""
        self.next_part = min(self.confirmed, len(self.snapshot.parts) - 1)
        self.confirmed = min(self.confirmed, self.next_part)


class SentUpdate(msgspec.Struct, frozen=True):
    """Where an update ended, and when it was sent."""

    revision: Revision
    sent_at: int


class Session:
    """One watch. `position`: all in scope up to it was sent. `chain`: where the last update sent ended, or what the
    watcher has acknowledged since; the next one is marked as following on it."""

    def __init__(self, name: Name, watch: Watch, most_credit: int, now: int) -> None:
        self.name = name
        self.number = watch.session
        self.scope = watch.scope
        self.zone = watch.zone
        self.credit = self.window = min(watch.credit, most_credit)
        held = watch.revision if watch.log else 0
        self.acknowledged = self.position = self.chain = held
        self.in_flight: deque[SentUpdate] = deque()  # not acknowledged
        self.holds_nothing = not watch.log
        self.transfer: SnapshotTransfer | None = None
        self.faults: tuple[KeyFault, ...] = ()
        self.heard_at = now
        self.progress_at = now  # when the watcher last got on, or fell behind
        self.asked_at = now  # since when an acknowledgement is awaited
        self.heartbeat_at = now  # when the next heartbeat is to go out
        self.behind_since = now if not watch.log else NEVER  # since when something in scope lacks an acknowledgement

    @property
    def waits(self) -> bool:
        """Whether an acknowledgement is awaited."""
        return bool(self.in_flight) or self.transfer is not None

    @property
    def is_open(self) -> bool:
        """Whether there is credit for one more message."""
        in_flight = len(self.in_flight) if self.transfer is None else self.transfer.in_flight
        return in_flight < self.window

    def due(self, limits: Limits) -> int:
        """When this session is to be looked at next."""
        due = min(self.heartbeat_at, self.heard_at + limits.session_timeout)
        return min(due, self.asked_at + limits.acknowledge_timeout) if self.waits else due

    def sent_update(self, revision: Revision, now: int) -> None:
        if not self.waits:
            self.asked_at = now
        self._note_behind(now)
        self.in_flight.append(SentUpdate(revision, now))
        self.position = self.chain = revision

    def begin_transfer(self, snapshot: Snapshot, now: int) -> None:
        self.transfer = SnapshotTransfer(snapshot)
        self.in_flight.clear()
        self.asked_at = now
        self._note_behind(now)

    def acknowledge(self, revision: Revision, now: int) -> None:
        """The watcher has `revision` on its disk and in force."""
        if self.transfer is not None and revision >= self.transfer.snapshot.revision:
            self.transfer, self.holds_nothing, self.behind_since = None, False, NEVER
        if revision <= self.acknowledged:
            return
        self.acknowledged = revision
        self.position, self.chain = max(self.position, revision), max(self.chain, revision)
        while self.in_flight and self.in_flight[0].revision <= revision:
            self.in_flight.popleft()
        if self.transfer is None:
            self.behind_since = self.in_flight[0].sent_at if self.in_flight else NEVER
        self._progress(now)

    def confirm_parts(self, revision: Revision, parts: int, now: int) -> None:
        """The watcher has so many parts of the snapshot at `revision` in memory. It may be late, of an earlier one."""
        if self.transfer is not None and revision == self.transfer.snapshot.revision:
            before = self.transfer.confirmed
            self.transfer.confirm(parts)
            if self.transfer.confirmed > before:
                self._progress(now)

    def _note_behind(self, now: int) -> None:
        if self.behind_since == NEVER:
            self.behind_since = self.progress_at = now

    def _progress(self, now: int) -> None:
        self.progress_at = self.asked_at = now
        self.window = min(self.window + 1, self.credit)

    def rewind(self, now: int) -> None:
        """No acknowledgement came: go back to the last one, with one message at a time until the next one comes."""
        self.window, self.asked_at = 1, now
        if self.transfer is not None:
            self.transfer.rewind()
        else:
            self.in_flight.clear()
            self.position = self.chain = self.acknowledged

    def effective_revision(self, newest: Revision, now: int, limits: Limits) -> Revision:
        """What counts as in force: the newest where nothing in scope is pending and the watcher was heard lately."""
        complete = not self.waits and self.position >= newest
        if complete and now - self.heard_at <= limits.upstream_timeout:
            return newest
        return min(self.acknowledged, newest)
