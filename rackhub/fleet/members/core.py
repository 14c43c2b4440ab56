"""One gateway's members, board and mail as a state machine: an event goes in, effects come out. Pure.

`step(now, event)`: `now` is in microseconds of the own monotonic clock and never goes back. `due` says when a `Tick`
is next of use; one that comes much later than that shows that this process stood still.
"""

from rackhub.fleet.link import frames as f
from rackhub.fleet.link.limits import Limits
from rackhub.fleet.link.outbox import Outbox
from rackhub.fleet.members import reach
from rackhub.fleet.members.events import Came, Event, Leave, Post, Send, Start, Tick
from rackhub.fleet.members.here import Effect, Here, Mailed
from rackhub.fleet.members.news import CLAIM, NOTE, News
from rackhub.fleet.members.own import Own
from rackhub.fleet.members.peer import Peer
from rackhub.fleet.members.probing import Probing
from rackhub.fleet.members.receive import Receive
from rackhub.fleet.members.records import Records
from rackhub.fleet.members.sync import Sync
from rackhub.fleet.members.table import Table
from rackhub.fleet.members.talk import Talk
from rackhub.fleet.members.timing import SECOND, Timing
from rackhub.fleet.ports import MAX_MESSAGE_BYTES, Name

ALONE = 1 * SECOND  # between two calls to all seeds while nobody else is known to live
GRAIN = 1_000  # microseconds between two ticks at the least
TELLERS = 4  # of those that hear of a suspicion, so many tell the suspected
OTHERS = 20  # periods between two calls to a seed whose address is no living member's


class Core:
    def __init__(self, start: Start, timing: Timing, limits: Limits, now: int):
        self.here = here = Here(start.name, start.cluster, timing, limits, start.seed, now)
        self.news = News(limits.queue, here.count)
        self.records = Records(here)
        self.table = Table(here, self.news, self.records)
        self.own = self.table.own = Own(here, start.address, start.boot, start.serves, start.site, self._own_changed)
        self.talk = Talk(here, self.table, self.records, self.news)
        self.probing = Probing(here, self.table, self.talk)
        self.sync = Sync(here, self.table, self.records, self.talk)
        self.outbox = Outbox(limits, here.count)
        self._receive = Receive(here, self.table, self.records, self.talk, self.probing, self.sync, self.outbox)
        self.table.doubted = self._doubted
        self.table.suspected = self._suspected
        self.table.returned = self._returned
        self._seeds = [seed for seed in start.seeds if seed != start.address]
        self._call_at = self._spread_at = self._doubt_at = now
        self._words, self._reach, self._reach_at = reach.Words(self.records), b"", now
        self._due = now

    def due(self) -> int:
        return self._due

    def step(self, now: int, event: Event) -> list[Effect]:
        """Raises `ValueError` for a record or mail that is too large, and has done nothing then."""
        here = self.here
        gap = now - self._due
        here.now = now
        if gap > here.timing.period:
            self._stood_still(gap)
        match event:
            case Came(data):
                self._receive.came(data)
            case Post(kind, body):
                self._post(kind, body)
            case Send(to, kind, body):
                self._send(to, kind, body)
            case Leave():
                self._leave()
        if now >= self._due or isinstance(event, Tick):
            self._tick()
        self.table.flush()
        self._due = self._next()
        effects, here.effects = here.effects, []
        return effects

    # ---- time

    def _next(self) -> int:
        """When a tick is next of use; never at once, so that no fault can spin."""
        dues = [self._spread_at]
        if not self.own.leaving:
            dues.append(self.probing.due())
        mail = self.outbox.due()
        if mail is not None:
            dues.append(mail)
        return max(self.here.now + GRAIN, min(dues))

    def _tick(self) -> None:
        here = self.here
        for peer in self.table.peers.values():
            if peer.suspicion is not None:
                self.table.expire(peer)
        for to, page in self.outbox.tick(here.now):
            self._page(to, page)
        if not self.own.leaving:
            self.probing.tick()
            self.sync.tick()
            self._call()
        if here.now >= self._spread_at:
            self._spread_at = here.now + here.timing.spreading
            self._say_reach()
            self._spread()

    def _stood_still(self, gap: int) -> None:
        self.here.count("stood_still")
        self.probing.stood_still(gap)
        self._due = self.here.now
        self.sync.soon()

    def _spread(self) -> None:
        if not len(self.news):
            return
        able = sorted(peer.name for peer in self.table.living())
        for name in self.here.random.sample(able, min(self.here.timing.fanout, len(able))):
            self.talk.spread(self.table.peers[name], self.here.timing.parcels)

    def _call(self) -> None:
        """Ask to join where nobody known stands: at every seed while alone, else at one now and then."""
        here = self.here
        if here.now < self._call_at or not self._seeds:
            return
        alone = self.table.size == 1
        self._call_at = here.now + (ALONE if alone else OTHERS * here.timing.period)
        held = {peer.address for peer in self.table.living()}
        missing = [seed for seed in self._seeds if seed not in held]
        if not alone and missing:
            missing = [here.random.choice(missing)]
        for seed in missing:
            self.talk.call(seed, *self.sync.digests())

    # ---- what changes

    def _own_changed(self, boot: bool) -> None:
        self.news.put(CLAIM, self.here.me)
        if not self.own.leaving:
            self.probing.health.bad()
        if boot:
            self.outbox.drop_all()
            for kind in self.records.renew(self.own.boot):
                self.news.put(NOTE, self.here.me, kind)

    def _doubted(self, claim: f.Claim) -> None:
        """What hearsay may not change the member itself may say: it is called, one in a period."""
        if self.here.now >= self._doubt_at:
            self._doubt_at = self.here.now + self.here.timing.period
            self.talk.call((claim.host, claim.port))

    def _suspected(self, peer: Peer) -> None:
        """The suspected is told first, at once: by its accuser, and by some few of those that hear of it."""
        if not self.own.leaving and (peer.by == self.here.me or self.here.random.random() * self.table.size < TELLERS):
            self.probing.beside(peer)

    def _returned(self, peer: Peer, straight: bool) -> None:
        """One that was gone is back: whether it is heard is looked at anew. Where it said so itself others may be back
        with it, and what each of the two knows is exchanged."""
        if peer.misses:
            self.probing.beside(peer)
        if straight:
            self.sync.begin(peer)

    def _say_reach(self) -> None:
        """Not at each change: while a fleet forms or falls apart there are many."""
        if self.here.now < self._reach_at:
            return
        body = reach.said(self.table.peers.values())
        if body != self._reach:
            self._reach, self._reach_at = body, self.here.now + self.here.timing.reach(self.table.size)
            self._post(reach.KIND, body)

    # ---- what this gateway does

    def _post(self, kind: str, body: bytes) -> None:
        self.records.post(self.own.boot, kind, body)
        self.news.put(NOTE, self.here.me, kind)

    def _send(self, to: Name, kind: str, body: bytes) -> None:
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"mail of {len(body)} bytes, more than {MAX_MESSAGE_BYTES}")
        if not 0 < len(kind.encode()) <= 32:
            raise ValueError(f"{kind!r} is not a kind of 1 to 32 bytes")
        if to == self.here.me:
            self.here.do(Mailed(to, kind, body))
            return
        peer = self.table.peers.get(to)
        if peer is None or not peer.living:
            self.here.count("mail_to_nobody")
            return
        for name, page in self.outbox.send(self.here.now, to, peer.boot, kind, body):
            self._page(name, page)

    def _page(self, to: Name, page: f.Page) -> None:
        peer = self.table.peers.get(to)
        if peer is not None:
            self.talk.to(peer, page, news=False)

    def _leave(self) -> None:
        """All that live are told at once, and again with the news until the process ends."""
        if self.own.leaving:
            return
        self.own.leave()
        for peer in list(self.table.living()):
            self.talk.to(peer, self.own.claim())

    # ---- what is known

    def hears(self, one: Name, other: Name) -> bool | None:
        if one == other:
            return True
        if one == self.here.me:
            peer = self.table.peers.get(other)
            return None if peer is None else peer.hears()
        if one not in self.table.peers or not self.table.peers[one].living:
            return None
        return self._words.hears(one, other)


__all__ = ["Came", "Core", "Event", "Leave", "Post", "Send", "Start", "Tick"]
