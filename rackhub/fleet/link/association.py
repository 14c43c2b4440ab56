"""Messages between processes that are not members of one zone, on the link's frames and pages. Pure.

Peers of the directory are reached at their configured address, others at the address that they claim. A page carries
the generation of its receiver, which the receiver's packets reveal. While it is unknown, messages wait, and the sender
sends greetings (its claim and a `Hello`) until a packet answers. The association does not judge which processes are
alive; the caller has to notice missing answers.
"""

import random
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.admission import Admission
from rackhub.fleet.link.datagram_builder import DatagramBuilder
from rackhub.fleet.link.inbox import Inbox
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.outbox import Outbox
from rackhub.fleet.link.remotes import Remote, Remotes, WaitingMessage
from rackhub.fleet.members.context import MessageReceived, SendDatagram
from rackhub.fleet.members.events import DatagramReceived, SendMessage, Tick
from rackhub.fleet.ports import MAX_MESSAGE_BYTES, Address, Name

MINIMUM_TICK_INTERVAL = 1_000  # microseconds; keeps a fault from causing a busy loop
MAX_KIND_BYTES = 32  # largest size of a message kind in UTF-8
UNKNOWN_SENDER = ""  # key in `faults` for all senders that are not known processes


class DatagramReceivedFrom(NamedTuple):
    """A datagram was received from that address."""

    data: bytes
    source: Address


Event = Tick | DatagramReceived | DatagramReceivedFrom | SendMessage
Effect = SendDatagram | MessageReceived


class Association:
    """Exchanges messages with other processes: events go in, effects come out.

    `directory` holds the peers with a configured address; `address` is where other processes reach this one. `counts`
    has all counters, `faults` those of faulty datagrams and frames by counter and sender.
    """

    def __init__(
        self,
        cluster: str,
        name: Name,
        generation: int,
        address: Address,
        directory: Mapping[Name, Address],
        limits: Limits,
        now: int,
        seed: int,
    ):
        self.name, self.generation = name, generation
        self.counts = Counter[str]()
        self.faults = Counter[tuple[str, Name]]()
        self._cluster, self._limits, self._now = cluster, limits, now
        self._claim = f.encode(f.Claim(name, *address, generation, 0, f.ALIVE))
        self._random = random.Random(f"{seed}/association/{name}")
        others = {peer: at for peer, at in directory.items() if peer != name}
        self._remotes = Remotes(others, limits, now, self._count_fault)
        self._outbox = Outbox(limits, self._count)
        self._admission = Admission(cluster, name, generation, self._remotes, limits, now, self._count_fault)
        self._started_stamp = now // 1_000
        self._awaiting_answer: set[Name] = set()  # processes of unknown generation with waiting messages
        self._idle_check_at = now + limits.idle_check_interval
        self._effects: list[Effect] = []

    def step(self, now: int, event: Event) -> list[Effect]:
        """Handle an event and return its effects. Raises `ValueError`, changing nothing, for an invalid message."""
        self._now = max(self._now, now)
        match event:
            case DatagramReceived(data):
                self._handle_datagram(data, None)
            case DatagramReceivedFrom(data, source):
                self._handle_datagram(data, source)
            case SendMessage(to, kind, body):
                self._send_message(to, kind, body)
        # `due()` is always after `now`, so only a `Tick` handles the timers.
        if isinstance(event, Tick) or now >= self.due():
            self._tick()
        effects, self._effects = self._effects, []
        return effects

    def due(self) -> int:
        """The time at which a `Tick` is next needed, at least `MINIMUM_TICK_INTERVAL` from now."""
        dues = [self._idle_check_at]
        resend_due = self._outbox.due()
        if resend_due is not None:
            dues.append(resend_due)
        for name in self._awaiting_answer:
            remote = self._remotes.get(name)
            if remote is not None and remote.waiting:
                dues.append(min(remote.next_greeting_at, remote.waiting[0].expires_at))
        return max(self._now + MINIMUM_TICK_INTERVAL, min(dues))

    def knows_generation(self, name: Name) -> bool:
        """True if the generation of that process is known, so that messages are sent at once."""
        remote = self._remotes.get(name)
        return remote is not None and remote.generation > 0

    # ---- sending

    def _send_message(self, to: Name, kind: str, body: bytes) -> None:
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"message of {len(body)} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")
        if not 0 < len(kind.encode()) <= MAX_KIND_BYTES:
            raise ValueError(f"message kind {kind!r} has {len(kind.encode())} bytes, allowed are 1 to {MAX_KIND_BYTES}")
        if to == self.name:
            self._effects.append(MessageReceived(to, kind, body))
            return
        remote = self._remotes.get(to)
        if remote is None:
            self._count("mail_to_nobody")
        elif remote.generation:
            self._send_pages(remote, kind, body)
        elif remote.queue_message(WaitingMessage(kind, body, self._now + self._limits.message_lifetime), self._limits):
            self._awaiting_answer.add(to)
            if self._now >= remote.next_greeting_at:
                self._greet(remote)
        else:
            self._count("mail_over")

    def _send_pages(self, remote: Remote, kind: str, body: bytes) -> None:
        for _, page in self._outbox.send(self._now, remote.name, remote.generation, kind, body):
            self._send_frame(remote, page)

    def _greet(self, remote: Remote) -> None:
        """Send a greeting, whose answer carries the generation of the process."""
        wait = min(self._limits.greeting_interval << min(remote.greeting_count, 8), self._limits.max_greeting_interval)
        remote.greeting_count += 1
        remote.next_greeting_at = self._now + self._random.randint(wait // 2, wait)
        self._count("greetings")
        self._send_frame(remote, f.Hello())

    def _send_frame(self, remote: Remote, frame: f.AnyFrame) -> None:
        """Send one frame.

        The local claim goes before it, in a datagram of its own if need be, while the receiver has not echoed a stamp
        of this process or has sent no packet for `introduce_after`.
        """
        body = f.encode(frame)
        builder = DatagramBuilder(self._cluster, self.name, remote.name)
        if not remote.knows_local_process or self._now - remote.last_received >= self._limits.introduce_after:
            builder.add_frame(self._claim)
        if not builder.add_frame(body):
            self._emit(remote, builder)
            builder = DatagramBuilder(self._cluster, self.name, remote.name)
            builder.add_frame(body)
        self._emit(remote, builder)

    def _emit(self, remote: Remote, builder: DatagramBuilder) -> None:
        held = (self._now - remote.stamp_at) // 1_000 if remote.stamp else 0
        stamp = max(1, self._now // 1_000)
        self._effects.append(SendDatagram(remote.address, builder.build(self.generation, stamp, remote.stamp, held)))

    # ---- receiving

    def _handle_datagram(self, data: bytes, source: Address | None) -> None:
        admitted = self._admission.check(self._now, data, source)
        if admitted is None:
            return
        if admitted.is_new_process:
            self._handle_new_process(admitted.remote)
        self._handle_packet(admitted.remote, admitted.packet)

    def _handle_new_process(self, remote: Remote) -> None:
        """Handle the first packet of a process, or of one that was forgotten while idle.

        Messages in transit to the earlier one are lost. Waiting messages are sent, unless they have expired.
        """
        self._outbox.drop_recipient(remote.name)
        self._awaiting_answer.discard(remote.name)
        for message in remote.take_waiting():
            if self._now < message.expires_at:
                self._send_pages(remote, message.kind, message.body)

    def _handle_packet(self, remote: Remote, packet: f.Packet) -> None:
        remote.last_received, remote.greeting_count = self._now, 0
        remote.knows_local_process = packet.echo > 0 and packet.echo >= self._started_stamp
        if packet.stamp > remote.stamp or self._now - remote.stamp_at > self._limits.stamp_lifetime:
            remote.stamp, remote.stamp_at = packet.stamp, self._now
        if not remote.knows_local_process:
            self._answer_with_hello(remote)
        for encoded in packet.frames:
            try:
                frame = f.decode_frame(encoded)
            except f.FrameError as error:
                self._count_fault(str(error), remote.name)  # the text of a FrameError is the name of a counter
                continue
            self._dispatch(remote, frame)

    def _answer_with_hello(self, remote: Remote) -> None:
        """Tell the sender that its packets arrive, and the local generation. Rate limited."""
        if remote.answered_at is None or self._now - remote.answered_at >= self._limits.greeting_interval:
            remote.answered_at = self._now
            self._send_frame(remote, f.Hello())

    def _dispatch(self, remote: Remote, frame: f.AnyFrame) -> None:
        match frame:
            case f.Page():
                self._handle_page(remote, frame)
            case f.PageAck():
                for _, page in self._outbox.handle_page_ack(self._now, remote.name, frame):
                    self._send_frame(remote, page)
            case f.Claim():
                # A claim about another name is counted here, too.
                if frame.name != remote.name or (frame.host, frame.port) != remote.address:
                    self._count_fault("address_clashes", remote.name)
            case f.Hello():
                pass
            case _:
                self._count_fault("unexpected_frames", remote.name)

    def _handle_page(self, remote: Remote, page: f.Page) -> None:
        if page.generation != self.generation:
            self._count("old_pages")
            self._answer_with_hello(remote)
            return
        if remote.inbox is None:
            remote.inbox = Inbox(self._limits, self._count)
        page_ack, body = remote.inbox.handle_page(page)
        if page_ack is not None:
            self._send_frame(remote, page_ack)
        if body is not None:
            self._count("mail_in")
            self._effects.append(MessageReceived(remote.name, page.kind, body))

    # ---- timers and counters

    def _tick(self) -> None:
        for name, page in self._outbox.tick(self._now):
            remote = self._remotes.get(name)
            if remote is not None:
                self._send_frame(remote, page)
        for name in sorted(self._awaiting_answer):
            self._greet_again(name)
        if self._now >= self._idle_check_at:
            self._idle_check_at = self._now + self._limits.idle_check_interval
            for name in self._remotes.forget_idle(self._now):
                self._outbox.drop_recipient(name)

    def _greet_again(self, name: Name) -> None:
        """Drop expired waiting messages, counted as `mail_lost`.

        Greet the process if others still wait and it is time.
        """
        remote = self._remotes.get(name)
        if remote is not None:
            self._count("mail_lost", remote.expire_waiting(self._now))
        if remote is None or not remote.waiting:
            self._awaiting_answer.discard(name)
        elif self._now >= remote.next_greeting_at:
            self._greet(remote)

    def _count(self, name: str, amount: int = 1) -> None:
        if amount:
            self.counts[name] += amount

    def _count_fault(self, name: str, sender: Name) -> None:
        """Count a fault under its sender.

        It is counted under `UNKNOWN_SENDER` if that is not a known process, so that invented names can't fill the
        memory.
        """
        self.counts[name] += 1
        self.faults[name, sender if self._remotes.get(sender) or sender == self.name else UNKNOWN_SENDER] += 1
