"""Mail between processes that are not members of one another's zone, on the frames and pages of the link. Pure.

Peers of the directory are reached at their configured address, others at the one that they claim. The boot number that
pages must carry is learned from the receiver's own packets: who has mail for a process that it does not know yet greets
it, with its claim, and sends what waits once the answer is there. Nothing here judges who lives: silence is for the
caller to notice.
"""

import random
from collections import Counter
from collections.abc import Mapping
from typing import NamedTuple

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.admission import Admission
from rackhub.fleet.link.inbox import Inbox
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.outbox import Outbox
from rackhub.fleet.link.packing import Parcel
from rackhub.fleet.link.remotes import Remote, Remotes, WaitingMail
from rackhub.fleet.members.events import Came, Send, Tick
from rackhub.fleet.members.here import Mailed, Out
from rackhub.fleet.ports import MAX_MESSAGE_BYTES, Address, Name

GRAIN = 1_000  # microseconds between two ticks at the least
KIND_BYTES = 32  # most bytes of a kind of mail
UNKNOWN = ""  # whom a fault is counted under where no known process can be named


class Arrived(NamedTuple):
    """A datagram is here, from that address."""

    data: bytes
    source: Address


Event = Tick | Came | Arrived | Send
Effect = Out | Mailed


class Association:
    """`directory`: the peers with a configured address. `address`: where others reach this process. `counts` has what
    happened, `faults` what was dropped under the name of its sender."""

    def __init__(
        self,
        cluster: str,
        name: Name,
        boot: int,
        address: Address,
        directory: Mapping[Name, Address],
        limits: Limits,
        now: int,
        seed: int,
    ):
        self.name, self.boot = name, boot
        self.counts = Counter[str]()
        self.faults = Counter[tuple[str, Name]]()
        self._cluster, self._limits, self._now = cluster, limits, now
        self._claim = f.encode(f.Claim(name, *address, boot, 0, f.ALIVE))
        self._random = random.Random(f"{seed}/association/{name}")
        others = {peer: at for peer, at in directory.items() if peer != name}
        self._remotes = Remotes(others, limits, now, self._fault)
        self._outbox = Outbox(limits, self._count)
        self._admission = Admission(cluster, name, boot, self._remotes, limits, now, self._fault)
        self._born = now // 1_000
        self._greeting: set[Name] = set()  # those that mail waits for
        self._sweep_at = now + limits.sweep
        self._effects: list[Effect] = []

    def step(self, now: int, event: Event) -> list[Effect]:
        """Raises `ValueError` for mail that is too large, and has done nothing then."""
        self._now = max(self._now, now)
        match event:
            case Came(data):
                self._arrived(data, None)
            case Arrived(data, source):
                self._arrived(data, source)
            case Send(to, kind, body):
                self._send(to, kind, body)
        if isinstance(event, Tick) or now >= self.due():
            self._tick()
        effects, self._effects = self._effects, []
        return effects

    def due(self) -> int:
        """When a `Tick` is next of use; never at once, so that no fault can spin."""
        dues = [self._sweep_at]
        mail = self._outbox.due()
        if mail is not None:
            dues.append(mail)
        for name in self._greeting:
            remote = self._remotes.get(name)
            if remote is not None and remote.waiting:
                dues.append(min(remote.greet_at, remote.waiting[0].until))
        return max(self._now + GRAIN, min(dues))

    def knows(self, name: Name) -> bool:
        """Whether mail to that name goes out at once: its boot number is known."""
        remote = self._remotes.get(name)
        return remote is not None and remote.boot > 0

    # ---- what goes out

    def _send(self, to: Name, kind: str, body: bytes) -> None:
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"mail of {len(body)} bytes, more than {MAX_MESSAGE_BYTES}")
        if not 0 < len(kind.encode()) <= KIND_BYTES:
            raise ValueError(f"{kind!r} is not a kind of 1 to {KIND_BYTES} bytes")
        if to == self.name:
            self._effects.append(Mailed(to, kind, body))
            return
        remote = self._remotes.get(to)
        if remote is None:
            self._count("mail_to_nobody")
        elif remote.boot:
            self._mail(remote, kind, body)
        elif remote.wait(WaitingMail(kind, body, self._now + self._limits.mail_life), self._limits):
            self._greeting.add(to)
            if self._now >= remote.greet_at:
                self._greet(remote)
        else:
            self._count("mail_over")

    def _mail(self, remote: Remote, kind: str, body: bytes) -> None:
        for _, page in self._outbox.send(self._now, remote.name, remote.boot, kind, body):
            self._post(remote, page)

    def _greet(self, remote: Remote) -> None:
        """Ask for its boot number: its answer carries it."""
        wait = min(self._limits.greet << min(remote.greetings, 8), self._limits.greet_most)
        remote.greetings += 1
        remote.greet_at = self._now + self._random.randint(wait // 2, wait)
        self._count("greetings")
        self._post(remote, f.Hello())

    def _post(self, remote: Remote, frame: f.Any) -> None:
        """One datagram, with the own claim before it where the receiver may not know this process."""
        body = f.encode(frame)
        parcel = Parcel(self._cluster, self.name, remote.name)
        if not remote.knows_us or self._now - remote.heard_at >= self._limits.introduce:
            parcel.put(self._claim)
        if not parcel.put(body):
            self._close(remote, parcel)
            parcel = Parcel(self._cluster, self.name, remote.name)
            parcel.put(body)
        self._close(remote, parcel)

    def _close(self, remote: Remote, parcel: Parcel) -> None:
        held = (self._now - remote.stamp_at) // 1_000 if remote.stamp else 0
        stamp = max(1, self._now // 1_000)
        self._effects.append(Out(remote.address, parcel.close(self.boot, stamp, remote.stamp, held)))

    # ---- what comes in

    def _arrived(self, data: bytes, source: Address | None) -> None:
        admitted = self._admission.judge(self._now, data, source)
        if admitted is None:
            return
        if admitted.fresh:
            self._began(admitted.remote)
        self._take(admitted.remote, admitted.packet)

    def _began(self, remote: Remote) -> None:
        """Another process goes by that name now: what was under way to the one before is void, what waits goes out."""
        self._outbox.drop_to(remote.name)
        self._greeting.discard(remote.name)
        for mail in remote.take_waiting():
            if self._now < mail.until:
                self._mail(remote, mail.kind, mail.body)

    def _take(self, remote: Remote, packet: f.Packet) -> None:
        remote.heard_at, remote.greetings = self._now, 0
        remote.knows_us = packet.echo > 0 and packet.echo >= self._born
        if packet.stamp > remote.stamp or self._now - remote.stamp_at > self._limits.stamp_held:
            remote.stamp, remote.stamp_at = packet.stamp, self._now
        if not remote.knows_us:
            self._answer(remote)
        for raw in packet.frames:
            try:
                frame = f.frame(raw)
            except f.Damaged as bad:
                self._fault(str(bad), remote.name)
                continue
            self._dispatch(remote, frame)

    def _answer(self, remote: Remote) -> None:
        """Tell it that it is heard, and under which boot number this process goes; not at each of its packets."""
        if remote.answered_at is None or self._now - remote.answered_at >= self._limits.greet:
            remote.answered_at = self._now
            self._post(remote, f.Hello())

    def _dispatch(self, remote: Remote, frame: f.Any) -> None:
        match frame:
            case f.Page():
                self._page(remote, frame)
            case f.Got():
                for _, page in self._outbox.got(self._now, remote.name, frame):
                    self._post(remote, page)
            case f.Claim():
                if frame.name != remote.name or (frame.host, frame.port) != remote.address:
                    self._fault("address_clashes", remote.name)
            case f.Hello():
                pass
            case _:
                self._fault("unexpected_frames", remote.name)

    def _page(self, remote: Remote, page: f.Page) -> None:
        if page.boot != self.boot:
            self._count("old_pages")
            self._answer(remote)
            return
        if remote.inbox is None:
            remote.inbox = Inbox(self._limits, self._count)
        got, body = remote.inbox.page(page)
        if got is not None:
            self._post(remote, got)
        if body is not None:
            self._count("mail_in")
            self._effects.append(Mailed(remote.name, page.kind, body))

    # ---- time and counters

    def _tick(self) -> None:
        for name, page in self._outbox.tick(self._now):
            remote = self._remotes.get(name)
            if remote is not None:
                self._post(remote, page)
        for name in sorted(self._greeting):
            self._greet_again(name)
        if self._now >= self._sweep_at:
            self._sweep_at = self._now + self._limits.sweep
            for name in self._remotes.forget_idle(self._now):
                self._outbox.drop_to(name)

    def _greet_again(self, name: Name) -> None:
        remote = self._remotes.get(name)
        if remote is not None:
            self._count("mail_lost", remote.expire_waiting(self._now))
        if remote is None or not remote.waiting:
            self._greeting.discard(name)
        elif self._now >= remote.greet_at:
            self._greet(remote)

    def _count(self, name: str, by: int = 1) -> None:
        if by:
            self.counts[name] += by

    def _fault(self, name: str, sender: Name) -> None:
        """Counted under its sender where that is a process known here, so that strangers can't fill the memory."""
        self.counts[name] += 1
        self.faults[name, sender if self._remotes.get(sender) or sender == self.name else UNKNOWN] += 1
