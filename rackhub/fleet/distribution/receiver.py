"""Checks the messages of one session at the watcher, puts them in order and hands them to the delivery.

An update is accepted only if everything before it has been received. Messages may overtake one another, so a gap may
last for `GAP_TIMEOUT`; after that the watcher starts a new watch from the revision that it has.
"""

from rackhub.fleet.distribution.assembly import ReorderBuffer, SnapshotAssembly
from rackhub.fleet.distribution.delivery import Delivery, Incoming
from rackhub.fleet.distribution.events import Effect, IncrementCounter
from rackhub.fleet.distribution.limits import MILLISECOND
from rackhub.fleet.distribution.messages import Entry, Heartbeat, LogId, Revision, SnapshotPart, Update
from rackhub.fleet.distribution.schedule import NEVER
from rackhub.fleet.distribution.state import in_scope

GAP_TIMEOUT = 300 * MILLISECOND  # longest wait for an update that a later message has overtaken

Content = Update | SnapshotPart | Heartbeat


class UnusableUpstream(Exception):
    """The upstream sends unusable data and must be left. `counter` is the counter of the reason."""

    def __init__(self, counter: str) -> None:
        super().__init__(counter)
        self.counter = counter


class Receiver:
    """Accepts the messages of an upstream.

    `acknowledge_due` says whether the last message has to be acknowledged, with `parts` parts of the snapshot at
    revision `snapshot`.
    """

    def __init__(self, delivery: Delivery, scope: tuple[str, ...], min_snapshot_revision: Revision) -> None:
        """Snapshots before `min_snapshot_revision` are rejected, even if nothing is stored any more."""
        self._delivery, self._scope, self._min_snapshot_revision = delivery, scope, min_snapshot_revision
        self._assembly: SnapshotAssembly | None = None
        self._reorder_buffer = ReorderBuffer()
        self._announced_revision: Revision = 0  # newest revision that a heartbeat says was sent
        self.gap_deadline = NEVER
        self.acknowledge_due = False
        self.snapshot: Revision = 0
        self.parts = 0

    def begin_session(self) -> None:
        """Forget what was received in earlier sessions."""
        self._assembly = None
        self._reorder_buffer.clear()
        self._announced_revision = 0
        self.gap_deadline = NEVER
        self.snapshot, self.parts = 0, 0

    def take(self, now: int, message: Content) -> list[Effect]:
        """Check a message and deliver its entries. Raises `UnusableUpstream`."""
        self.acknowledge_due, self.snapshot, self.parts = False, 0, 0
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
        """Check that a message belongs to the stored log. Raises `UnusableUpstream` if it does not."""
        if not log or self._delivery.log and log != self._delivery.log:
            raise UnusableUpstream("distribution_other_logs")

    def _take_update(self, update: Update) -> list[Effect]:
        if update.previous >= update.revision or any(entry.revision > update.revision for entry in update.entries):
            return [IncrementCounter("distribution_damaged")]
        if not self._delivery.log:
            raise UnusableUpstream("distribution_damaged")  # a watcher without state must get a snapshot first
        if update.revision <= self._delivery.newest:
            self.acknowledge_due = True  # sent again, since the last acknowledgement may be lost
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
        if self._is_behind(part):
            return self._reject_snapshot(part)
        assembly = self._assembly
        if assembly is None or part.revision > assembly.revision:
            assembly = self._assembly = SnapshotAssembly(part)
        if not assembly.matches(part):
            return [IncrementCounter("distribution_damaged")]
        assembly.add(part)
        self._confirm_parts(part.revision, assembly.contiguous)
        if not assembly.is_complete:
            return []
        self._assembly = None
        return self._deliver(part.log, part.revision, assembly.entries(), snapshot=True)

    def _confirm_parts(self, snapshot: Revision, parts: int) -> None:
        self.acknowledge_due, self.snapshot, self.parts = True, snapshot, parts

    def _is_behind(self, part: SnapshotPart) -> bool:
        """Return whether a snapshot is older than the limit, or not newer than what is stored or being written."""
        return (
            part.revision < self._min_snapshot_revision
            or bool(self._delivery.log)
            and part.revision <= self._delivery.newest
        )

    def _reject_snapshot(self, part: SnapshotPart) -> list[Effect]:
        if part.revision < self._min_snapshot_revision:
            raise UnusableUpstream("distribution_snapshots_refused")
        self._confirm_parts(part.revision, part.parts)  # acknowledge all parts, so that no more are sent
        return [IncrementCounter("distribution_snapshots_refused")] if part.revision < self._delivery.newest else []

    def _take_heartbeat(self, heartbeat: Heartbeat) -> list[Effect]:
        self.acknowledge_due = True
        if heartbeat.previous > heartbeat.revision:
            return [IncrementCounter("distribution_damaged")]
        if heartbeat.previous > self._delivery.newest:
            self._announced_revision = max(self._announced_revision, heartbeat.previous)
            return []
        if heartbeat.revision > self._delivery.newest and self._delivery.log:
            return self._deliver(heartbeat.log, heartbeat.revision, ())
        return []

    def _deliver(
        self, log: LogId, revision: Revision, entries: tuple[Entry, ...], snapshot: bool = False
    ) -> list[Effect]:
        effects: list[Effect] = []
        entries_in_scope = tuple(in_scope(entries, self._scope))
        if len(entries_in_scope) < len(entries):
            effects.append(IncrementCounter("distribution_out_of_scope"))
        if not snapshot:
            entries_in_scope = tuple(entry for entry in entries_in_scope if entry.revision > self._delivery.newest)
        delivered = self._delivery.take(Incoming(log, revision, entries_in_scope, snapshot))
        if delivered is None:
            return [*effects, IncrementCounter("distribution_deferred")]
        return [*effects, *delivered]

    def _update_gap_deadline(self, now: int) -> None:
        if not self._reorder_buffer and self._announced_revision <= self._delivery.newest:
            self.gap_deadline = NEVER
        elif self.gap_deadline == NEVER:
            self.gap_deadline = now + GAP_TIMEOUT
