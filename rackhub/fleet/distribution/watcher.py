"""The receiving side of a watch.

It follows one upstream and never goes back to an older revision. At any time there is at most one stream, from which
changes are accepted, and one attempt to watch another upstream. An answered attempt replaces the stream, unless the
answer is a rejection or a stale heartbeat. Until then the stream continues.
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
from rackhub.fleet.distribution.upstream import Attempt, Stream, UpstreamSearch


class Watcher:
    """Watches one of its upstreams.

    The caller applies the entries of `stored` before the first step.
    """

    def __init__(
        self, identity: Identity, stored: StoredState, limits: Limits, now: int, delivery: Delivery | None = None
    ) -> None:
        """`delivery` receives the changes; by default they are written to disk and applied by the caller."""
        self._identity, self._limits = identity, limits
        same_scope = stored.scope == identity.scope
        disk = DiskDelivery(stored if same_scope else StoredState(scope=identity.scope), identity.scope)
        self._disk = disk
        self._delivery: Delivery = delivery if delivery is not None else disk
        self._receiver = Receiver(self._delivery, identity.scope, 0 if same_scope else stored.revision)
        self._known_log = stored.log  # kept even if the scope has changed and the entries are dropped
        rng = random.Random(f"{identity.seed} watcher {identity.name}")
        self._search = UpstreamSearch(identity, limits, rng, now)
        self._session: Number = identity.generation
        self._stream: Stream | None = None
        self._attempt: Attempt | None = None
        self._effects: list[Effect] = []
        self._due_at = now  # latest time for the next step
        self.confirmed_at = now  # time at which the watcher's revision was last known to be the newest

    # ---- state for callers

    @property
    def stored(self) -> StoredState:
        """The state on the disk. The entries are shared, not copied."""
        return self._disk.stored

    @property
    def revision(self) -> Revision:
        """The revision that is applied."""
        return self._delivery.revision

    @property
    def upstream(self) -> Name | None:
        """The upstream of the current stream; None while there is none."""
        return self._stream.name if self._stream is not None else None

    def due(self) -> int:
        """Return when a `Tick` is next needed, in microseconds."""
        return self._due_at

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Handle an event and do what is due at `now`."""
        if now - self._due_at > self._limits.heartbeat_interval:
            self.on_process_stall(now)
        if isinstance(event, Received):
            self._received(now, event.sender, event.message)
        elif isinstance(event, Persisted):
            self._effects += self._disk.persisted(event.revision)
        elif isinstance(event, Applied):
            self._applied(event)
        self._advance(now)
        self._due_at = self._next_due(now)
        effects, self._effects = self._effects, []
        return effects

    def on_process_stall(self, now: int) -> None:
        """Start a new watch after the process was stalled: messages queued before the stall may be out of date."""
        self._count("distribution_stood_still")
        self._stream = self._attempt = None
        self._search.retry_now(now)

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
            self._effects.append(RunCheck(sender, check.check_id, check.entries))
        else:
            self._count("distribution_unexpected", sender)

    def _from_attempt(self, now: int, attempt: Attempt, message: Content | Unavailable) -> None:
        self._attempt = None
        if isinstance(message, Unavailable):
            return self._on_unavailable(now, attempt.name, message)
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
            return self._on_unavailable(now, stream.name, message)
        stream.last_received_at = now
        before = self._delivery.revision
        try:
            self._check_known_log(message)
            self._effects += self._receiver.take(now, message)
        except UnusableUpstream as unusable:
            self._count(unusable.counter, stream.name)
            return self._leave_upstream(now)
        self._confirm(now, stream, message)
        if self._receiver.acknowledge_now or self._delivery.revision > before:
            self._acknowledge(stream)

    def _check_known_log(self, message: Content) -> None:
        if self._known_log and message.log != self._known_log:
            raise UnusableUpstream("distribution_other_logs")
        self._known_log = message.log

    def _confirm(self, now: int, stream: Stream, message: Content) -> None:
        age = message.age * MILLISECOND if isinstance(message, Heartbeat) else 0
        if self._delivery.newest > self._delivery.revision:
            age = 0  # The upstream waits for this watcher's disk. Another upstream would have to wait, too.
        stream.confirmed_at = now - age
        self.confirmed_at = max(self.confirmed_at, stream.confirmed_at)
        if not self._is_stale(message):
            self._search.reset_backoff()

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

    def _on_unavailable(self, now: int, name: Name, message: Unavailable) -> None:
        if message.log and self._known_log and message.log != self._known_log:
            self._count("distribution_other_logs", name)
            return self._search.failed(now, name, self._stream)
        self._search.rejected(now, name, message.retry_after * MILLISECOND, self._stream)

    def _leave_upstream(self, now: int) -> None:
        """End the stream and search for another upstream without delay."""
        stream, self._stream = self._stream, None
        if stream is not None:
            self._send(stream.name, Unwatch(stream.session))
            self._search.stream_ended(now, stream.name)

    # ---- time

    def _advance(self, now: int) -> None:
        stream, attempt = self._stream, self._attempt
        if attempt is not None and now >= attempt.deadline:
            self._attempt = None
            self._count("distribution_unanswered", attempt.name)
            self._send(attempt.name, Unwatch(attempt.session))
            self._search.failed(now, attempt.name, stream)
        if stream is not None and now >= stream.last_received_at + self._limits.upstream_timeout:
            self._count("distribution_silences", stream.name)
            self._leave_upstream(now)
        elif stream is not None and now >= self._receiver.gap_deadline:
            self._count("distribution_gaps", stream.name)
            self._receiver.begin_session()
            self._stream = None
            self._watch(now, stream.name)
        if self._attempt is None:
            name = self._search.next_upstream(now, self._stream)
            if name is not None:
                self._watch(now, name)

    def _next_due(self, now: int) -> int:
        """Return the next due time, at most one heartbeat interval away so that a stalled process is noticed."""
        due = now + self._limits.heartbeat_interval
        if self._stream is not None:
            due = min(due, self._stream.last_received_at + self._limits.upstream_timeout, self._receiver.gap_deadline)
        if self._attempt is not None:
            return min(due, self._attempt.deadline)
        return min(due, max(self._search.due(now, self._stream), now + MILLISECOND))

    # ---- effects

    def _send(self, to: Name, message: AnyMessage) -> None:
        self._effects.append(Send(to, message))

    def _count(self, name: str, sender: Name = "") -> None:
        self._effects.append(IncrementCounter(name, sender))
