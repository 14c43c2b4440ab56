"""A server's state for one watcher. Nothing is queued: the position in the log determines what has to be sent."""

from collections import deque

import msgspec

from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import KeyFault, Name, Revision, Watch
from rackhub.fleet.distribution.schedule import NEVER
from rackhub.fleet.distribution.state import Snapshot


class SnapshotTransfer:
    """A snapshot that is being sent to one watcher, a few parts at a time."""

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.next_part = 0
        self.confirmed = 0  # number of parts from the first one on that the watcher has in memory

    @property
    def in_flight(self) -> int:
        """The number of parts sent and not confirmed."""
        return self.next_part - self.confirmed

    @property
    def all_sent(self) -> bool:
        """True if no part is left to send."""
        return self.next_part == len(self.snapshot.parts)

    def confirm(self, parts: int) -> None:
        """Record that the watcher has this many parts from the first one on."""
        self.confirmed = max(self.confirmed, min(parts, len(self.snapshot.parts)))
        self.next_part = max(self.next_part, self.confirmed)

    def rewind(self) -> None:
        """Send again from the first missing part, or the last part if none is missing, so that the watcher answers."""
        self.next_part = min(self.confirmed, len(self.snapshot.parts) - 1)
        self.confirmed = min(self.confirmed, self.next_part)


class SentUpdate(msgspec.Struct, frozen=True):
    """The revision at which an update ended, and when it was sent."""

    revision: Revision
    sent_at: int


class Session:
    """One watch.

    Everything in scope up to `position` was sent. `last_update_revision` is where the last sent update ended, or a
    later revision that the watcher has acknowledged since; the next update names it as the one before.
    """

    def __init__(self, name: Name, watch: Watch, max_credit: int, now: int) -> None:
        self.name = name
        self.number = watch.session
        self.scope = watch.scope
        self.zone = watch.zone
        self.credit = self.window = min(watch.credit, max_credit)
        initial = watch.revision if watch.log else 0
        self.acknowledged = self.position = self.last_update_revision = initial
        self.in_flight: deque[SentUpdate] = deque()  # sent and not acknowledged
        self.needs_snapshot = not watch.log
        self.transfer: SnapshotTransfer | None = None
        self.faults: tuple[KeyFault, ...] = ()
        self.last_received_at = now
        self.progress_at = now  # time of the watcher's last progress, or when it fell behind
        self.awaiting_since = now  # start of the wait for the next acknowledgement
        self.heartbeat_at = now  # time of the next heartbeat
        # Since when a change in scope is not acknowledged; NEVER if there is none.
        self.behind_since = now if not watch.log else NEVER

    @property
    def awaits_acknowledge(self) -> bool:
        """True if an update or snapshot is not acknowledged."""
        return bool(self.in_flight) or self.transfer is not None

    @property
    def has_credit(self) -> bool:
        """True if there is credit for one more message."""
        in_flight = len(self.in_flight) if self.transfer is None else self.transfer.in_flight
        return in_flight < self.window

    def due(self, limits: Limits) -> int:
        """Return when this session next needs attention."""
        due = min(self.heartbeat_at, self.last_received_at + limits.session_timeout)
        return min(due, self.awaiting_since + limits.acknowledge_timeout) if self.awaits_acknowledge else due

    def sent_update(self, revision: Revision, now: int) -> None:
        """Record a sent update that ends at `revision`."""
        if not self.awaits_acknowledge:
            self.awaiting_since = now
        self._mark_behind(now)
        self.in_flight.append(SentUpdate(revision, now))
        self.position = self.last_update_revision = revision

    def begin_transfer(self, snapshot: Snapshot, now: int) -> None:
        """Start to send a snapshot instead of updates."""
        self.transfer = SnapshotTransfer(snapshot)
        self.in_flight.clear()
        self.awaiting_since = now
        self._mark_behind(now)

    def acknowledge(self, revision: Revision, now: int) -> None:
        """Record that the watcher has stored and applied `revision`."""
        if self.transfer is not None and revision >= self.transfer.snapshot.revision:
            self.transfer, self.needs_snapshot, self.behind_since = None, False, NEVER
        if revision <= self.acknowledged:
            return
        self.acknowledged = revision
        self.position, self.last_update_revision = (
            max(self.position, revision),
            max(self.last_update_revision, revision),
        )
        while self.in_flight and self.in_flight[0].revision <= revision:
            self.in_flight.popleft()
        if self.transfer is None:
            self.behind_since = self.in_flight[0].sent_at if self.in_flight else NEVER
        self._mark_progress(now)

    def confirm_parts(self, revision: Revision, parts: int, now: int) -> None:
        """Record that the watcher has this many parts of the snapshot at `revision` in memory.

        A late message about an earlier snapshot is ignored.
        """
        if self.transfer is not None and revision == self.transfer.snapshot.revision:
            before = self.transfer.confirmed
            self.transfer.confirm(parts)
            if self.transfer.confirmed > before:
                self._mark_progress(now)

    def _mark_behind(self, now: int) -> None:
        if self.behind_since == NEVER:
            self.behind_since = self.progress_at = now

    def _mark_progress(self, now: int) -> None:
        self.progress_at = self.awaiting_since = now
        self.window = min(self.window + 1, self.credit)

    def rewind(self, now: int) -> None:
        """Go back to the last acknowledged revision after an acknowledge timeout.

        One message at a time is sent until the next acknowledgement arrives.
        """
        self.window, self.awaiting_since = 1, now
        if self.transfer is not None:
            self.transfer.rewind()
        else:
            self.in_flight.clear()
            self.position = self.last_update_revision = self.acknowledged

    def effective_revision(self, newest: Revision, now: int, limits: Limits) -> Revision:
        """Return the revision that counts as applied.

        That is the newest one if nothing in scope is pending and the watcher was heard from within the upstream
        timeout; else the acknowledged one.
        """
        complete = not self.awaits_acknowledge and self.position >= newest
        if complete and now - self.last_received_at <= limits.upstream_timeout:
            return newest
        return min(self.acknowledged, newest)
