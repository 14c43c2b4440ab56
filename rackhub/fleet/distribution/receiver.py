"""The messages of one session at the watcher: checked, put in order, and handed to the delivery.

An update is taken only where all that it follows on is held. A gap is given a moment, since messages may overtake one
another; then the watcher watches anew from what it holds.
"""

from rackhub.fleet.distribution.agenda import NEVER
from rackhub.fleet.distribution.assembly import ReorderBuffer, SnapshotAssembly
from rackhub.fleet.distribution.delivery import Delivery, Incoming
from rackhub.fleet.distribution.events import Effect, IncrementCounter
from rackhub.fleet.distribution.limits import MILLISECOND
from rackhub.fleet.distribution.messages import Entry, Heartbeat, LogId, Revision, SnapshotPart, Update
from rackhub.fleet.distribution.state import in_scope

GAP_WAIT = 300 * MILLISECOND  # for an update that was overtaken

Content = Update | SnapshotPart | Heartbeat


class UnusableUpstream(Exception):
    """What the upstream sends can't be taken: it is to be left. `counter` says why."""

    def __init__(self, counter: str) -> None:
        super().__init__(counter)
        self.counter = counter


class Receiver:
    """Takes what an upstream sends. `acknowledge`: the last message is to be answered, with `parts` of `snapshot`."""

    def __init__(self, delivery: Delivery, scope: tuple[str, ...], floor: Revision) -> None:
        """`floor`: a snapshot below it is refused, also where nothing is held any more."""
        self._delivery, self._scope, self._floor = delivery, scope, floor
        self._assembly: SnapshotAssembly | None = None
        self._waiting = ReorderBuffer()
        self._follows: Revision = 0  # what a heartbeat said that was sent
        self.gap_until = NEVER
        self.acknowledge = False
        self.snapshot: Revision = 0
        self.parts = 0

    def begin_session(self) -> None:
        """Nothing that was sent before counts."""
        self._assembly = None
        self._waiting.clear()
        self._follows = 0
        self.gap_until = NEVER
        self.snapshot, self.parts = 0, 0

    def take(self, now: int, message: Content) -> list[Effect]:
        """Raises `UnusableUpstream`."""
        self.acknowledge, self.snapshot, self.parts = False, 0, 0
        self.check_log(message.log)
        if isinstance(message, Update):
            effects = self._take_update(message)
        elif isinstance(message, SnapshotPart):
            effects = self._take_part(message)
        else:
            effects = self._take_heartbeat(message)
        self._note_gap(now)
        return effects

    def check_log(self, log: LogId) -> None:
        """Raises `UnusableUpstream` for another log than that of what is held."""
        if not log or self._delivery.log and log != self._delivery.log:
            raise UnusableUpstream("distribution_other_logs")

    def _take_update(self, update: Update) -> list[Effect]:
        if update.previous >= update.revision or any(entry.revision > update.revision for entry in update.entries):
            return [IncrementCounter("distribution_damaged")]
        if not self._delivery.log:
            raise UnusableUpstream("distribution_damaged")  # who holds nothing is owed a snapshot
        if update.revision <= self._delivery.newest:
            self.acknowledge = True  # it was sent again: the last acknowledgement may be lost
            return []
        if update.previous > self._delivery.newest:
            self._waiting.add(update)
            return []
        effects: list[Effect] = []
        following: Update | None = update
        while following is not None:
            effects += self._deliver(following.log, following.revision, following.entries)
            following = self._waiting.take(self._delivery.newest)
        return effects

    def _take_part(self, part: SnapshotPart) -> list[Effect]:
        if part.part >= part.parts or any(entry.revision > part.revision for entry in part.entries):
            return [IncrementCounter("distribution_damaged")]
        if self._is_behind(part):
            return self._refuse_snapshot(part)
        assembly = self._assembly
        if assembly is None or part.revision > assembly.revision:
            assembly = self._assembly = SnapshotAssembly(part)
        if not assembly.fits(part):
            return [IncrementCounter("distribution_damaged")]
        assembly.add(part)
        self._confirm(part.revision, assembly.contiguous)
        if not assembly.is_complete:
            return []
        self._assembly = None
        return self._deliver(part.log, part.revision, assembly.entries(), snapshot=True)

    def _confirm(self, snapshot: Revision, parts: int) -> None:
        self.acknowledge, self.snapshot, self.parts = True, snapshot, parts

    def _is_behind(self, part: SnapshotPart) -> bool:
        """Whether a snapshot is no news for what is held or under way."""
        return part.revision < self._floor or bool(self._delivery.log) and part.revision <= self._delivery.newest

    def _refuse_snapshot(self, part: SnapshotPart) -> list[Effect]:
        if part.revision < self._floor:
            raise UnusableUpstream("distribution_snapshots_refused")
        self._confirm(part.revision, part.parts)  # no more of it is needed
        return [IncrementCounter("distribution_snapshots_refused")] if part.revision < self._delivery.newest else []

    def _take_heartbeat(self, heartbeat: Heartbeat) -> list[Effect]:
        self.acknowledge = True
        if heartbeat.previous > heartbeat.revision:
            return [IncrementCounter("distribution_damaged")]
        if heartbeat.previous > self._delivery.newest:
            self._follows = max(self._follows, heartbeat.previous)
            return []
        if heartbeat.revision > self._delivery.newest and self._delivery.log:
            return self._deliver(heartbeat.log, heartbeat.revision, ())
        return []

    def _deliver(
        self, log: LogId, revision: Revision, entries: tuple[Entry, ...], snapshot: bool = False
    ) -> list[Effect]:
        effects: list[Effect] = []
        wanted = tuple(in_scope(entries, self._scope))
        if len(wanted) < len(entries):
            effects.append(IncrementCounter("distribution_out_of_scope"))
        if not snapshot:
            wanted = tuple(entry for entry in wanted if entry.revision > self._delivery.newest)
        taken = self._delivery.take(Incoming(log, revision, wanted, snapshot))
        if taken is None:
            return [*effects, IncrementCounter("distribution_deferred")]
        return [*effects, *taken]

    def _note_gap(self, now: int) -> None:
        if not self._waiting and self._follows <= self._delivery.newest:
            self.gap_until = NEVER
        elif self.gap_until == NEVER:
            self.gap_until = now + GAP_WAIT
