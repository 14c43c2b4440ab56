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
        self.confirmed = 0  # the watcher has the first `confirmed` parts; lower after `rewind`

    @property
    def in_flight(self) -> int:
        """The number of parts sent and not confirmed."""
        return self.next_part - self.confirmed

    @property
    def all_sent(self) -> bool:
        """True if no part is left to send. Parts confirmed after a rewind are not sent again."""
        return self.next_part == len(self.snapshot.parts)

    def confirm(self, parts: int) -> None:
        """Record that the watcher has this many parts from the first one on."""
        self.confirmed = max(self.confirmed, min(parts, len(self.snapshot.parts)))
        self.next_part = max(self.next_part, self.confirmed)

    def rewind(self) -> None:
        """Make the first unconfirmed part the next to send.

        If all are confirmed, count the last one as unconfirmed, so that it is sent again and the watcher answers.
        """
        self.next_part = min(self.confirmed, len(self.snapshot.parts) - 1)
        self.confirmed = min(self.confirmed, self.next_part)


class SentUpdate(msgspec.Struct, frozen=True):
    """The revision at which an update ended, and when it was sent."""

    revision: Revision
    sent_at: int


class Session:
    """A server's record of one watch: what was sent and what is acknowledged.

    The watcher has, or was sent, all updates in scope up to `position`. `last_update_revision` becomes `previous` of
    the next `Update`: it is the end of the last update sent, or the acknowledged revision if that is newer or the
    session was rewound. At first both are the watcher's revision. During a snapshot transfer only an acknowledgement
    advances them.

    `credit` is the number of messages that may be unacknowledged at most, and `window` how many may be now: 1 after an
    acknowledge timeout, and one more with each progress up to `credit`.
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
        self.progress_at = now  # the later of the last progress and the time when the watcher fell behind
        # Start of the acknowledge timeout: the first unacknowledged message, the last progress or a rewind.
        self.awaiting_since = now
        self.heartbeat_at = now  # time of the next heartbeat
        # When the oldest unacknowledged update was sent, or when a snapshot became necessary. A rewind does not change
        # it. NEVER if nothing that was sent is unacknowledged.
        self.behind_since = now if not watch.log else NEVER

    @property
    def awaits_acknowledge(self) -> bool:
        """True if an update or snapshot is not acknowledged."""
        return bool(self.in_flight) or self.transfer is not None

    @property
    def may_send(self) -> bool:
        """True if one more update or snapshot part may be sent: fewer than `window` are unacknowledged."""
        in_flight = len(self.in_flight) if self.transfer is None else self.transfer.in_flight
        return in_flight < self.window

    def due(self, limits: Limits) -> int:
        """Return when the next heartbeat, repeated message or session timeout is due."""
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
        """Record that a snapshot is to be sent instead of updates."""
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
        """Have everything unacknowledged sent again, after an acknowledge timeout.

        Sending continues from the acknowledged revision or the first unconfirmed part. The window is one message and
        grows by one with each progress.
        """
        self.window, self.awaiting_since = 1, now
        if self.transfer is not None:
            self.transfer.rewind()
        else:
            self.in_flight.clear()
            self.position = self.last_update_revision = self.acknowledged

    def effective_revision(self, newest: Revision, now: int, limits: Limits) -> Revision:
        """Return the revision that a report gives as applied by the watcher.

        That is `newest`, the server's revision, if all changes in scope are sent and acknowledged and the watcher was
        heard from within the upstream timeout; else the acknowledged revision, at most `newest`.
        """
        complete = not self.awaits_acknowledge and self.position >= newest
        if complete and now - self.last_received_at <= limits.upstream_timeout:
            return newest
        return min(self.acknowledged, newest)
