"""The serving side of a watch, at relays and voters: sessions of watchers over one state.

A session is a position in the state's log. What is sent is made from the log at the time of sending, so changes of one
key merge for a watcher that is slow, and a slow watcher costs no memory.
"""

import random
from collections.abc import Callable

from rackhub.fleet.distribution.admission import Admission
from rackhub.fleet.distribution.agenda import Agenda
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
from rackhub.fleet.distribution.session import Session, SnapshotTransfer
from rackhub.fleet.distribution.state import Compacted, KeyValueState

BEHIND = "behind the watcher"
FULL = "too many watchers"
NEWCOMERS = "too many newcomers"
SNAPSHOTS = "too many snapshots"
NO_LOG = "holds no log yet"
OTHER_LOG = "another log"
NO_SESSION = "no such session"


class WatchServer:
    """Serves a state that its owner changes, and tells so by `publish`. `age`: microseconds at a given time since it
    was last known that the state is the newest."""

    def __init__(
        self,
        state: KeyValueState,
        limits: Limits,
        zone: str,
        chance: random.Random,
        now: int,
        age: Callable[[int], int],
    ) -> None:
        """`zone`: watchers of other zones are guests; empty: none are."""
        self.sessions: dict[Name, Session] = {}
        self.progress = 0  # grows with each session that begins, ends or gets on
        self._state, self._limits, self._age = state, limits, age
        self._admission = Admission(limits, zone, chance, now)
        self._guests = 0
        self._agenda = Agenda()
        self._effects: list[Effect] = []

    # ---- what the owner calls: each returns what is to be done

    def receive(self, now: int, sender: Name, message: AnyMessage) -> list[Effect]:
        """Take a message of a watcher."""
        if isinstance(message, Watch):
            self._watch(now, sender, message)
        elif isinstance(message, Acknowledge):
            self._acknowledged(now, sender, message)
        elif isinstance(message, Unwatch):
            self._unwatch(sender, message)
        return self._taken()

    def publish(self, now: int) -> list[Effect]:
        """The state has changed: send it to those who have credit."""
        for session in list(self.sessions.values()):
            self._pump(now, session)
        return self._taken()

    def tick(self, now: int) -> list[Effect]:
        """Heartbeats, messages to send again, sessions to end."""
        for name in self._agenda.take(now):
            session = self.sessions.get(name)
            if session is not None:
                self._look_after(now, session)
        return self._taken()

    def due(self) -> int:
        return self._agenda.due()

    # ---- sessions

    def _watch(self, now: int, sender: Name, watch: Watch) -> None:
        known = self.sessions.get(sender)
        if known is not None and watch.session <= known.number:
            return self._count("distribution_late_watches", sender)
        if known is not None:
            self._end(known)
        if self._refused(now, sender, watch):
            return
        session = Session(sender, watch, self._limits.max_credit, now)
        self.sessions[sender] = session
        self.progress += 1
        self._guests += self._admission.is_guest(session.zone)
        self._pump(now, session)
        if sender in self.sessions and not session.waits:
            self._heartbeat(now, session)

    def _refused(self, now: int, sender: Name, watch: Watch) -> bool:
        """Whether this watch can't be served; the watcher is told why."""
        state = self._state
        if not state.log:
            return self._refuse(sender, watch.session, NO_LOG, self._limits.min_retry_delay // MILLISECOND)
        if watch.log not in ("", state.log):
            self._count("distribution_other_logs", sender)
            return self._refuse(sender, watch.session, OTHER_LOG, self._limits.upstream_timeout // MILLISECOND)
        if watch.log and watch.revision > state.revision:
            return self._refuse(sender, watch.session, BEHIND, self._limits.min_retry_delay // MILLISECOND)
        wait = self._admission.room(len(self.sessions), self._guests, watch.zone)
        if wait:
            return self._refuse(sender, watch.session, FULL, wait)
        wait = self._admission.newcomer(now)
        return bool(wait) and self._refuse(sender, watch.session, NEWCOMERS, wait)

    def _refuse(self, name: Name, session: int, reason: str, retry_after: int) -> bool:
        self._send(name, Unavailable(session, self._state.revision, retry_after, reason, self._state.log))
        return True

    def _unwatch(self, sender: Name, message: Unwatch) -> None:
        session = self.sessions.get(sender)
        if session is not None and message.session >= session.number:
            self._end(session)

    def _end(self, session: Session) -> None:
        del self.sessions[session.name]
        self.progress += 1
        self._guests -= self._admission.is_guest(session.zone)
        self._agenda.remove(session.name)

    def _acknowledged(self, now: int, sender: Name, message: Acknowledge) -> None:
        session = self.sessions.get(sender)
        if session is None:
            self._count("distribution_unknown_sessions", sender)
            self._refuse(sender, message.session, NO_SESSION, 0)
            return
        if message.session != session.number:
            return self._count("distribution_late_acknowledgements", sender)
        session.heard_at = now
        acknowledged = min(message.revision, self._state.revision)
        if acknowledged > session.acknowledged or message.faults != session.faults:
            self.progress += 1
        session.faults = message.faults
        if message.parts:
            session.confirm_parts(message.snapshot, message.parts, now)
        session.acknowledge(acknowledged, now)
        self._pump(now, session)

    # ---- sending

    def _look_after(self, now: int, session: Session) -> None:
        if now >= session.heard_at + self._limits.session_timeout:
            self._count("distribution_sessions_expired", session.name)
            return self._end(session)
        if session.waits and now >= session.asked_at + self._limits.acknowledge_timeout:
            self._count("distribution_resent")
            heartbeat_at = session.heartbeat_at
            session.rewind(now)
            self._pump(now, session)
            session.heartbeat_at = heartbeat_at  # what is sent again does not stand for a heartbeat
        if now >= session.heartbeat_at and session.name in self.sessions:
            self._heartbeat(now, session)
        self._schedule(session)

    def _schedule(self, session: Session) -> None:
        if session.name in self.sessions:
            self._agenda.set(session.name, session.due(self._limits))

    def _heartbeat(self, now: int, session: Session) -> None:
        """While a snapshot is under way, one that moves nothing on: what it ends at is not known to have come."""
        whole = session.transfer is None
        previous = session.chain if whole else session.acknowledged
        revision = session.position if whole else session.acknowledged
        age = self._age(now)
        if revision < self._state.revision:  # the watcher lags: it is not to pass for fresh while it does not get on
            age = max(age, now - session.progress_at)
        self._send(session.name, Heartbeat(session.number, self._state.log, previous, revision, age // MILLISECOND))
        session.heartbeat_at = now + self._limits.heartbeat_interval
        self._schedule(session)

    def _pump(self, now: int, session: Session) -> None:
        """Send what there is, as far as the credit goes."""
        waited = session.waits
        if session.transfer is None:
            self._send_updates(now, session)
        if session.transfer is not None:
            self._send_parts(now, session, session.transfer)
        if session.waits and not waited:
            self._schedule(session)

    def _send_updates(self, now: int, session: Session) -> None:
        if session.holds_nothing:
            return self._begin_transfer(now, session)
        newest = self._state.revision
        while session.position < newest and session.is_open:
            batch = self._state.since(session.position, session.scope)
            if isinstance(batch, Compacted):
                return self._begin_transfer(now, session)
            if not batch.entries:
                session.position = batch.revision
                continue
            update = Update(session.number, self._state.log, session.chain, batch.revision, batch.entries)
            self._send(session.name, update)
            session.sent_update(batch.revision, now)
            session.heartbeat_at = now + self._limits.heartbeat_interval

    def _begin_transfer(self, now: int, session: Session) -> None:
        wait = self._admission.snapshot(now)
        if wait:
            self._end(session)
            self._refuse(session.name, session.number, SNAPSHOTS, wait)
            return
        session.begin_transfer(self._state.snapshot(session.scope), now)

    def _send_parts(self, now: int, session: Session, transfer: SnapshotTransfer) -> None:
        parts = transfer.snapshot.parts
        while not transfer.sent and session.is_open:
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

    def _taken(self) -> list[Effect]:
        effects, self._effects = self._effects, []
        return effects
