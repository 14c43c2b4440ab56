"""The serving side of a watch, at relays and voters: the sessions of watchers over one state.

A session is a position in the state's log. Messages are built from the log when they are sent. Changes to one key are
therefore merged for a slow watcher, and a slow watcher uses no additional memory.
"""

import random
from collections.abc import Callable

from rackhub.fleet.distribution.admission import Admission
from rackhub.fleet.distribution.events import Effect, IncrementCounter, Send
from rackhub.fleet.distribution.limits import MILLISECOND, Limits
from rackhub.fleet.distribution.messages import (
    Acknowledge,
    AnyMessage,
    Heartbeat,
    Name,
    SnapshotPart,
    Unavailable,
    Unwatch,
    Update,
    Watch,
)
from rackhub.fleet.distribution.schedule import Schedule
from rackhub.fleet.distribution.session import Session, SnapshotTransfer
from rackhub.fleet.distribution.state import Compacted, KeyValueState

BEHIND = "behind the watcher"
TOO_MANY_WATCHERS = "too many watchers"
TOO_MANY_WATCHES = "too many newcomers"
TOO_MANY_SNAPSHOTS = "too many snapshots"
NO_LOG = "holds no log yet"
OTHER_LOG = "another log"
NO_SESSION = "no such session"


class WatchServer:
    """Serves a state to watchers.

    Its owner changes the state and then calls `publish`. `age` returns for how many microseconds, at a given time, the
    state has not been confirmed as the newest.
    """

    def __init__(
        self,
        state: KeyValueState,
        limits: Limits,
        zone: str,
        rng: random.Random,
        now: int,
        age: Callable[[int], int],
    ) -> None:
        """`zone` is that of the server; watchers of other zones are foreign. If it is empty, no watcher is foreign."""
        self.sessions: dict[Name, Session] = {}
        self.progress = 0  # increases whenever a session begins, ends or makes progress
        self._state, self._limits, self._age = state, limits, age
        self._admission = Admission(limits, zone, rng, now)
        self._foreign_watchers = 0
        self._due_times = Schedule()
        self._effects: list[Effect] = []

    # ---- calls of the owner; each returns the effects to perform

    def receive(self, now: int, sender: Name, message: AnyMessage) -> list[Effect]:
        """Handle a watcher's message."""
        if isinstance(message, Watch):
            self._watch(now, sender, message)
        elif isinstance(message, Acknowledge):
            self._on_acknowledge(now, sender, message)
        elif isinstance(message, Unwatch):
            self._unwatch(sender, message)
        return self._take_effects()

    def publish(self, now: int) -> list[Effect]:
        """Send the changed state to the watchers that have credit."""
        for session in list(self.sessions.values()):
            self._send_pending(now, session)
        return self._take_effects()

    def tick(self, now: int) -> list[Effect]:
        """Send heartbeats and unacknowledged messages, and end expired sessions, where due."""
        for name in self._due_times.take(now):
            session = self.sessions.get(name)
            if session is not None:
                self._service_session(now, session)
        return self._take_effects()

    def due(self) -> int:
        """Return when `tick` is next needed, in microseconds."""
        return self._due_times.due()

    # ---- sessions

    def _watch(self, now: int, sender: Name, watch: Watch) -> None:
        known = self.sessions.get(sender)
        if known is not None and watch.session <= known.number:
            return self._count("distribution_late_watches", sender)
        if known is not None:
            self._end_session(known)
        if self._rejects(now, sender, watch):
            return
        session = Session(sender, watch, self._limits.max_credit, now)
        self.sessions[sender] = session
        self.progress += 1
        self._foreign_watchers += self._admission.is_foreign(session.zone)
        self._send_pending(now, session)
        if sender in self.sessions and not session.awaits_acknowledge:
            self._heartbeat(now, session)

    def _rejects(self, now: int, sender: Name, watch: Watch) -> bool:
        """Return whether this watch can't be served. If so, the watcher gets the reason."""
        state = self._state
        if not state.log:
            return self._reject(sender, watch.session, NO_LOG, self._limits.min_retry_delay // MILLISECOND)
        if watch.log not in ("", state.log):
            self._count("distribution_other_logs", sender)
            return self._reject(sender, watch.session, OTHER_LOG, self._limits.upstream_timeout // MILLISECOND)
        if watch.log and watch.revision > state.revision:
            return self._reject(sender, watch.session, BEHIND, self._limits.min_retry_delay // MILLISECOND)
        wait = self._admission.capacity_delay(len(self.sessions), self._foreign_watchers, watch.zone)
        if wait:
            return self._reject(sender, watch.session, TOO_MANY_WATCHERS, wait)
        wait = self._admission.watch_delay(now)
        return bool(wait) and self._reject(sender, watch.session, TOO_MANY_WATCHES, wait)

    def _reject(self, name: Name, session: int, reason: str, retry_after: int) -> bool:
        self._send(name, Unavailable(session, self._state.revision, retry_after, reason, self._state.log))
        return True

    def _unwatch(self, sender: Name, message: Unwatch) -> None:
        session = self.sessions.get(sender)
        if session is not None and message.session >= session.number:
            self._end_session(session)

    def _end_session(self, session: Session) -> None:
        del self.sessions[session.name]
        self.progress += 1
        self._foreign_watchers -= self._admission.is_foreign(session.zone)
        self._due_times.remove(session.name)

    def _on_acknowledge(self, now: int, sender: Name, message: Acknowledge) -> None:
        session = self.sessions.get(sender)
        if session is None:
            self._count("distribution_unknown_sessions", sender)
            self._reject(sender, message.session, NO_SESSION, 0)
            return
        if message.session != session.number:
            return self._count("distribution_late_acknowledgements", sender)
        session.last_received_at = now
        acknowledged = min(message.revision, self._state.revision)
        if acknowledged > session.acknowledged or message.faults != session.faults:
            self.progress += 1
        session.faults = message.faults
        if message.parts:
            session.confirm_parts(message.snapshot, message.parts, now)
        session.acknowledge(acknowledged, now)
        self._send_pending(now, session)

    # ---- sending

    def _service_session(self, now: int, session: Session) -> None:
        if now >= session.last_received_at + self._limits.session_timeout:
            self._count("distribution_sessions_expired", session.name)
            return self._end_session(session)
        if session.awaits_acknowledge and now >= session.awaiting_since + self._limits.acknowledge_timeout:
            self._count("distribution_resent")
            heartbeat_at = session.heartbeat_at
            session.rewind(now)
            self._send_pending(now, session)
            session.heartbeat_at = heartbeat_at  # a repeated message does not replace a heartbeat
        if now >= session.heartbeat_at and session.name in self.sessions:
            self._heartbeat(now, session)
        self._schedule(session)

    def _schedule(self, session: Session) -> None:
        if session.name in self.sessions:
            self._due_times.set(session.name, session.due(self._limits))

    def _heartbeat(self, now: int, session: Session) -> None:
        """Send a heartbeat.

        During a snapshot transfer it names only acknowledged revisions, because the watcher may not have the snapshot
        yet.
        """
        whole = session.transfer is None
        previous = session.last_update_revision if whole else session.acknowledged
        revision = session.position if whole else session.acknowledged
        age = self._age(now)
        # Report the age of a watcher without progress, so that it does not pass for fresh.
        if revision < self._state.revision:
            age = max(age, now - session.progress_at)
        self._send(session.name, Heartbeat(session.number, self._state.log, previous, revision, age // MILLISECOND))
        session.heartbeat_at = now + self._limits.heartbeat_interval
        self._schedule(session)

    def _send_pending(self, now: int, session: Session) -> None:
        """Send what is pending, as far as the credit allows."""
        awaited_before = session.awaits_acknowledge
        if session.transfer is None:
            self._send_updates(now, session)
        if session.transfer is not None:
            self._send_parts(now, session, session.transfer)
        if session.awaits_acknowledge and not awaited_before:
            self._schedule(session)

    def _send_updates(self, now: int, session: Session) -> None:
        if session.needs_snapshot:
            return self._begin_transfer(now, session)
        newest = self._state.revision
        while session.position < newest and session.may_send:
            batch = self._state.changes_after(session.position, session.scope)
            if isinstance(batch, Compacted):
                return self._begin_transfer(now, session)
            if not batch.entries:
                session.position = batch.revision
                continue
            update = Update(
                session.number, self._state.log, session.last_update_revision, batch.revision, batch.entries
            )
            self._send(session.name, update)
            session.sent_update(batch.revision, now)
            session.heartbeat_at = now + self._limits.heartbeat_interval

    def _begin_transfer(self, now: int, session: Session) -> None:
        wait = self._admission.snapshot_delay(now)
        if wait:
            self._end_session(session)
            self._reject(session.name, session.number, TOO_MANY_SNAPSHOTS, wait)
            return
        session.begin_transfer(self._state.snapshot(session.scope), now)

    def _send_parts(self, now: int, session: Session, transfer: SnapshotTransfer) -> None:
        parts = transfer.snapshot.parts
        while not transfer.all_sent and session.may_send:
            part = transfer.next_part
            message = SnapshotPart(
                session.number, self._state.log, transfer.snapshot.revision, part, len(parts), parts[part]
            )
            self._send(session.name, message)
            transfer.next_part += 1
            session.heartbeat_at = now + self._limits.heartbeat_interval

    # ---- effects

    def _send(self, to: Name, message: AnyMessage) -> None:
        self._effects.append(Send(to, message))

    def _count(self, name: str, sender: Name = "") -> None:
        self._effects.append(IncrementCounter(name, sender))

    def _take_effects(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
