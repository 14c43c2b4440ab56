"""The receiving side of a watch: holds on to one upstream, and never goes back from what it holds.

At any time there is at most one stream, from which changes are taken, and one attempt at another upstream. An attempt
that is answered takes the stream's place, so what the watcher has goes on until something better is found.
"""

import random
from collections.abc import Sequence

from rackhub.fleet.distribution.delivery import Delivery, DiskDelivery
from rackhub.fleet.distribution.events import (
    Applied,
    Effect,
    Event,
    IncrementCounter,
    Persisted,
    Received,
    RunCheck,
    Send,
    StoredState,
)
from rackhub.fleet.distribution.limits import MILLISECOND, Limits
from rackhub.fleet.distribution.messages import (
    Acknowledge,
    AnyMessage,
    Check,
    Heartbeat,
    Name,
    Number,
    Revision,
    Unavailable,
    Unwatch,
    Watch,
)
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.receiver import Content, Receiver, UnusableUpstream
from rackhub.fleet.distribution.upstream import Attempt, Search, Stream


class Watcher:
    """Watches one of its upstreams. What `held` has is to be in force at the start, put there by the shell."""

    def __init__(
        self, identity: Identity, held: StoredState, limits: Limits, now: int, delivery: Delivery | None = None
    ) -> None:
        """`delivery`: where what is received goes instead of disk and shell."""
        self._identity, self._limits = identity, limits
        same_scope = held.scope == identity.scope
        disk = DiskDelivery(held if same_scope else StoredState(scope=identity.scope), identity.scope)
        self._disk = disk
        self._delivery: Delivery = delivery if delivery is not None else disk
        self._receiver = Receiver(self._delivery, identity.scope, 0 if same_scope else held.revision)
        self._known_log = held.log  # also where the scope has changed
        chance = random.Random(f"{identity.seed} watcher {identity.name}")
        self._search = Search(identity, limits, chance, now)
        self._session: Number = identity.generation
        self._stream: Stream | None = None
        self._attempt: Attempt | None = None
        self._effects: list[Effect] = []
        self._expected_at = now  # when the next step is due at the latest
        self.confirmed_at = now  # as of when what is held was known to be the newest

    # ---- what others see

    @property
    def held(self) -> StoredState:
        """What is on the disk. The entries are not a copy."""
        return self._disk.held

    @property
    def revision(self) -> Revision:
        """In force."""
        return self._delivery.revision

    @property
    def upstream(self) -> Name | None:
        return self._stream.name if self._stream is not None else None

    def due(self) -> int:
        return self._expected_at

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Take an event, and do what is due by now."""
        if now - self._expected_at > self._limits.heartbeat_interval:
            self.stood_still(now)
        if isinstance(event, Received):
            self._received(now, event.sender, event.message)
        elif isinstance(event, Persisted):
            self._effects += self._disk.persisted(event.revision)
        elif isinstance(event, Applied):
            self._applied(event)
        self._advance(now)
        self._expected_at = self._next_due(now)
        effects, self._effects = self._effects, []
        return effects

    def stood_still(self, now: int) -> None:
        """The process did not run for a while: what is queued from before says nothing of now. Watch anew."""
        self._count("distribution_stood_still")
        self._stream = self._attempt = None
        self._search.at_once(now)

    # ---- messages

    def _received(self, now: int, sender: Name, message: AnyMessage) -> None:
        stream, attempt = self._stream, self._attempt
        if isinstance(message, Check):
            self._check(sender, message)
        elif not isinstance(message, Content | Unavailable):
            self._count("distribution_unexpected", sender)
        elif stream is not None and (stream.name, stream.session) == (sender, message.session):
            self._from_stream(now, stream, message)
        elif attempt is not None and (attempt.name, attempt.session) == (sender, message.session):
            self._from_attempt(now, attempt, message)
        else:
            self._count("distribution_other_sessions", sender)

    def _check(self, sender: Name, check: Check) -> None:
        if sender == self.upstream:
            self._effects.append(RunCheck(sender, check.mark, check.entries))
        else:
            self._count("distribution_unexpected", sender)

    def _from_attempt(self, now: int, attempt: Attempt, message: Content | Unavailable) -> None:
        self._attempt = None
        if isinstance(message, Unavailable):
            return self._refused(now, attempt.name, message)
        if self._is_stale(message) and self._stream is not None:
            self._send(attempt.name, Unwatch(attempt.session))
            return self._search.failed(now, attempt.name, self._stream)
        if self._stream is not None:
            self._send(self._stream.name, Unwatch(self._stream.session))
        self._search.served(now, attempt.name)
        stream = self._stream = Stream(attempt.name, attempt.session, now, now)
        self._receiver.begin_session()
        self._from_stream(now, stream, message)

    def _from_stream(self, now: int, stream: Stream, message: Content | Unavailable) -> None:
        if isinstance(message, Unavailable):
            self._stream = None
            return self._refused(now, stream.name, message)
        stream.heard_at = now
        before = self._delivery.revision
        try:
            self._check_known_log(message)
            self._effects += self._receiver.take(now, message)
        except UnusableUpstream as unusable:
            self._count(unusable.counter, stream.name)
            return self._leave(now)
        self._confirm(now, stream, message)
        if self._receiver.acknowledge or self._delivery.revision > before:
            self._acknowledge(stream)

    def _check_known_log(self, message: Content) -> None:
        if self._known_log and message.log != self._known_log:
            raise UnusableUpstream("distribution_other_logs")
        self._known_log = message.log

    def _confirm(self, now: int, stream: Stream, message: Content) -> None:
        age = message.age * MILLISECOND if isinstance(message, Heartbeat) else 0
        if self._delivery.newest > self._delivery.revision:
            age = 0  # the upstream waits for the disk here: another one would do so, too
        stream.confirmed_at = now - age
        self.confirmed_at = max(self.confirmed_at, stream.confirmed_at)
        if not self._is_stale(message):
            self._search.fresh()

    def _is_stale(self, message: Content) -> bool:
        return isinstance(message, Heartbeat) and message.age * MILLISECOND > self._limits.max_staleness

    def _acknowledge(self, stream: Stream) -> None:
        delivery, receiver = self._delivery, self._receiver
        acknowledge = Acknowledge(stream.session, delivery.revision, delivery.faults, receiver.snapshot, receiver.parts)
        self._send(stream.name, acknowledge)

    def _applied(self, event: Applied) -> None:
        effects = self._disk.applied(event.revision, event.faults)
        if effects is None:
            return
        if event.faults:
            self._count("distribution_faults")
        self._effects += effects
        if self._stream is not None:
            self._acknowledge(self._stream)

    # ---- upstreams

    def _watch(self, now: int, name: Name) -> None:
        self._session += 1
        self._attempt = Attempt(name, self._session, now + self._limits.watch_timeout)
        log = self._delivery.log
        revision = self._delivery.revision
        credit, zone = self._limits.max_credit, self._identity.zone
        self._send(name, Watch(self._session, log, revision, self._identity.scope, credit, zone))

    def _refused(self, now: int, name: Name, message: Unavailable) -> None:
        if message.log and self._known_log and message.log != self._known_log:
            self._count("distribution_other_logs", name)
            return self._search.failed(now, name, self._stream)
        self._search.refused(now, name, message.retry_after * MILLISECOND, self._stream)

    def _leave(self, now: int) -> None:
        """End the stream and look for another one at once."""
        stream, self._stream = self._stream, None
        if stream is not None:
            self._send(stream.name, Unwatch(stream.session))
            self._search.left(now, stream.name)

    # ---- time

    def _advance(self, now: int) -> None:
        stream, attempt = self._stream, self._attempt
        if attempt is not None and now >= attempt.until:
            self._attempt = None
            self._count("distribution_unanswered", attempt.name)
            self._send(attempt.name, Unwatch(attempt.session))
            self._search.failed(now, attempt.name, stream)
        if stream is not None and now >= stream.heard_at + self._limits.upstream_timeout:
            self._count("distribution_silences", stream.name)
            self._leave(now)
        elif stream is not None and now >= self._receiver.gap_until:
            self._count("distribution_gaps", stream.name)
            self._receiver.begin_session()
            self._stream = None
            self._watch(now, stream.name)
        if self._attempt is None:
            name = self._search.next(now, self._stream)
            if name is not None:
                self._watch(now, name)

    def _next_due(self, now: int) -> int:
        """At least once each heartbeat, so that a process that stood still notices."""
        due = now + self._limits.heartbeat_interval
        if self._stream is not None:
            due = min(due, self._stream.heard_at + self._limits.upstream_timeout, self._receiver.gap_until)
        if self._attempt is not None:
            return min(due, self._attempt.until)
        return min(due, max(self._search.due(now, self._stream), now + MILLISECOND))

    # ---- effects

    def _send(self, to: Name, message: AnyMessage) -> None:
        self._effects.append(Send(to, message))

    def _count(self, name: str, sender: Name = "") -> None:
        self._effects.append(IncrementCounter(name, sender))
