"""Checks the messages of a watcher's current session, puts them in order and passes them to the delivery.

Messages may arrive out of order. A gap is an update that is missing although a later update or a heartbeat shows that
it was sent. If there is a gap for `GAP_TIMEOUT`, the watcher starts a new watch from the revision that it has.
"""

from rackhub.fleet.distribution.assembly import ReorderBuffer, SnapshotAssembly
from rackhub.fleet.distribution.delivery import Delivery, Incoming
from rackhub.fleet.distribution.events import Effect, IncrementCounter
from rackhub.fleet.distribution.limits import MILLISECOND
from rackhub.fleet.distribution.messages import Entry, Heartbeat, LogId, Revision, SnapshotPart, Update
from rackhub.fleet.distribution.schedule import NEVER
from rackhub.fleet.distribution.state import in_scope

GAP_TIMEOUT = 300 * MILLISECOND  # longest time with any update missing

Content = Update | SnapshotPart | Heartbeat


class UnusableUpstream(Exception):
    """The upstream sends data that the watcher can't use, so the watcher must end the stream.

    `counter` names the counter to increment.
    """

    def __init__(self, counter: str) -> None:
        super().__init__(counter)
        self.counter = counter


class Receiver:
    """Accepts the messages of an upstream.

    After `take`, `acknowledge_now` says whether to send an `Acknowledge` at once, even if the applied revision has not
    changed. `snapshot` and `parts` are its fields of that name: the first `parts` parts of the snapshot at revision
    `snapshot` are in memory. Both are 0 unless the last message was a snapshot part.

    `gap_deadline` is the time at which the watcher must start a new watch; NEVER without a gap.
    """

    def __init__(self, delivery: Delivery, scope: tuple[str, ...], min_snapshot_revision: Revision) -> None:
        """Reject snapshots older than `min_snapshot_revision`.

        It is the revision of stored entries that were dropped because the scope changed, else 0. An upstream that
        sends an older snapshot is unusable, so that the watcher never goes back to an older revision.
        """
        self._delivery, self._scope, self._min_snapshot_revision = delivery, scope, min_snapshot_revision
        self._assembly: SnapshotAssembly | None = None
        self._reorder_buffer = ReorderBuffer()
        self._sent_revision: Revision = 0  # the newest `previous` of a heartbeat after a gap
        self.gap_deadline = NEVER
        self.acknowledge_now = False
        self.snapshot: Revision = 0
        self.parts = 0

    def begin_session(self) -> None:
        """Forget what was received in earlier sessions."""
        self._assembly = None
        self._reorder_buffer.clear()
        self._sent_revision = 0
        self.gap_deadline = NEVER
        self.snapshot, self.parts = 0, 0

    def take(self, now: int, message: Content) -> list[Effect]:
        """Check a message and deliver its entries. Raises `UnusableUpstream`."""
        self.acknowledge_now, self.snapshot, self.parts = False, 0, 0
        self.check_log(message.log)
        if isinstance(message, Update):
            effects = self._take_update(message)
        elif isinstance(message, SnapshotPart):
            effects = self._take_snapshot_part(message)
        else:
            effects = self._take_heartbeat(message)
        self._update_gap_deadline(now)
        return effects

    def check_log(self, log: LogId) -> None:
        """Check a message's log id: it must not be empty and, if there is a stored log, it must be equal to that.

        Raises `UnusableUpstream` if it is not.
        """
        if not log or self._delivery.log and log != self._delivery.log:
            raise UnusableUpstream("distribution_other_logs")

    def _take_update(self, update: Update) -> list[Effect]:
        if update.previous >= update.revision or any(entry.revision > update.revision for entry in update.entries):
            return [IncrementCounter("distribution_damaged")]
        if not self._delivery.log:
            raise UnusableUpstream("distribution_damaged")  # a watcher without state must get a snapshot first
        if update.revision <= self._delivery.newest:
            self.acknowledge_now = True  # a repeated update: acknowledge again, the earlier acknowledgement may be lost
            return []
        if update.previous > self._delivery.newest:
            self._reorder_buffer.add(update)
            return []
        effects: list[Effect] = []
        following: Update | None = update
        while following is not None:
            effects += self._deliver(following.log, following.revision, following.entries)
            following = self._reorder_buffer.take(self._delivery.newest)
        return effects

    def _take_snapshot_part(self, part: SnapshotPart) -> list[Effect]:
        if part.part >= part.parts or any(entry.revision > part.revision for entry in part.entries):
            return [IncrementCounter("distribution_damaged")]
        if self._is_unneeded(part):
            return self._skip_snapshot(part)
        assembly = self._assembly
        if assembly is None or part.revision > assembly.revision:
            assembly = self._assembly = SnapshotAssembly(part)
        if not assembly.matches(part):  # This may be a late part of an older snapshot.
            return [IncrementCounter("distribution_damaged")]
        assembly.add(part)
        self._confirm_parts(part.revision, assembly.contiguous)
        if not assembly.is_complete:
            return []
        self._assembly = None
        return self._deliver(part.log, part.revision, assembly.entries(), snapshot=True)

    def _confirm_parts(self, snapshot: Revision, parts: int) -> None:
        self.acknowledge_now, self.snapshot, self.parts = True, snapshot, parts

    def _is_unneeded(self, part: SnapshotPart) -> bool:
        """Return whether a snapshot is older than `min_snapshot_revision`, or not newer than what was accepted."""
        return (
            part.revision < self._min_snapshot_revision
            or bool(self._delivery.log)
            and part.revision <= self._delivery.newest
        )

    def _skip_snapshot(self, part: SnapshotPart) -> list[Effect]:
        """Handle a part of a snapshot that is not needed.

        All parts are confirmed. A snapshot at `newest` is a repeat and is not counted. Raises `UnusableUpstream` if the
        snapshot is older than `min_snapshot_revision`.
        """
        if part.revision < self._min_snapshot_revision:
            raise UnusableUpstream("distribution_snapshots_refused")
        self._confirm_parts(part.revision, part.parts)  # The upstream then sends no more parts.
        return [IncrementCounter("distribution_snapshots_refused")] if part.revision < self._delivery.newest else []

    def _take_heartbeat(self, heartbeat: Heartbeat) -> list[Effect]:
        self.acknowledge_now = True
        if heartbeat.previous > heartbeat.revision:
            return [IncrementCounter("distribution_damaged")]
        if heartbeat.previous > self._delivery.newest:
            self._sent_revision = max(self._sent_revision, heartbeat.previous)
            return []
        if heartbeat.revision > self._delivery.newest and self._delivery.log:
            return self._deliver(heartbeat.log, heartbeat.revision, ())  # Only the revision advances.
        return []

    def _deliver(
        self, log: LogId, revision: Revision, entries: tuple[Entry, ...], snapshot: bool = False
    ) -> list[Effect]:
        effects: list[Effect] = []
        entries_in_scope = tuple(in_scope(entries, self._scope))
        if len(entries_in_scope) < len(entries):
            effects.append(IncrementCounter("distribution_out_of_scope"))
        if not snapshot:  # an update may overlap with what was accepted
            entries_in_scope = tuple(entry for entry in entries_in_scope if entry.revision > self._delivery.newest)
        delivered = self._delivery.take(Incoming(log, revision, entries_in_scope, snapshot))
        if delivered is None:  # The queue is full. The upstream sends the entries again.
            return [*effects, IncrementCounter("distribution_deferred")]
        return [*effects, *delivered]

    def _update_gap_deadline(self, now: int) -> None:
        if not self._reorder_buffer and self._sent_revision <= self._delivery.newest:
            self.gap_deadline = NEVER
        elif self.gap_deadline == NEVER:
            self.gap_deadline = now + GAP_TIMEOUT
