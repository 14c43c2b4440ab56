"""Stand-in engines over RESP, many in one process. Each has an address of its own for each gateway, so that what came
from whom is known, and so that one gateway can be told of another list than the next.

How an engine is to behave stands in `Mood`, which a schedule changes while it runs.
"""

import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import Factory

from rackhub.fleet.ports import Address, Clock
from rackhub.trials.processes import rows
from rackhub.trials.processes.attempts import Attempts, Sent
from rackhub.trials.processes.cores import Cores, Model
from rackhub.trials.processes.resp import RespPeer, fields_of

SECOND = 1_000_000


class Mood(msgspec.Struct):
    """`silent`: takes all, answers nothing. `trickle`: so many microseconds before each page after the first, 0: none.
    `errors`, `full`: parts of what comes that get 500 after it ran, or 503. `resets`: of answers, that end the
    connection half way. `late`: answers so long after they are through."""

    silent: bool = False
    trickle: int = 0
    errors: float = 0.0
    full: float = 0.0
    resets: float = 0.0
    late: int = 0


class Run:
    """One attempt on one connection."""

    __slots__ = ("peer", "id", "sent", "statement", "pages", "left")

    def __init__(self, peer: RespPeer, id: bytes, sent: Sent, statement: bytes):
        self.peer, self.id, self.sent, self.statement = peer, id, sent, statement
        self.pages: list[bytes] = []
        self.left: set[int] = set()  # pages not yet written


class Engine:
    """One engine: up or down, and while up what runs on it."""

    def __init__(
        self,
        name: str,
        site: str,
        model: Model,
        reactor: Any,
        clock: Clock,
        attempts: Attempts,
        told: Callable[[str, str], int | None],
        seed: int,
        keys: dict[str, int],
        window: int = 25 * SECOND,
    ):
        """`told(gateway, engine)`: when that gateway was told that it drains or is gone. `keys`: loads done, by key,
        shared by all engines, which drop a repeat within `window`."""
        self.name, self.site, self.model, self.mood = name, site, model, Mood()
        self._reactor, self._clock, self._attempts, self._told = reactor, clock, attempts, told
        self._random, self._keys, self._window = random.Random(f"{seed}/{name}"), keys, window
        self.cores = Cores(model, clock.now())
        self.up, self.falls, self.came_up = True, 0, 0
        self.worst_cold = 0.0  # over all its starts
        self.probes: Counter[str] = Counter()  # by gateway
        self.addresses: dict[str, Address] = {}
        self._ports: dict[str, Any] = {}
        self._peers: dict[RespPeer, dict[bytes, Run]] = {}
        self._look: Any = None

    # ---- up and down

    def listen(self, gateway: str, host: str) -> None:
        """Open its address for that gateway; the same one after each restart."""
        place = self.addresses.get(gateway, (host, 0))
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda _: self._connected(gateway)  # type: ignore[method-assign, assignment]
        port = self._reactor.listenTCP(place[1], factory, backlog=128, interface=place[0])
        self.addresses[gateway] = place[0], port.getHost().port
        self._ports[gateway] = port

    def _connected(self, gateway: str) -> RespPeer:
        peer = RespPeer(lambda peer, words: self._heard(gateway, peer, words), self._lost)
        self._peers[peer] = {}
        return peer

    def die(self) -> None:
        """As a process that is killed: all connections are reset, new ones are refused."""
        if not self.up:
            return
        self.up = False
        self.worst_cold = max(self.worst_cold, self.cores.worst)
        for port in self._ports.values():
            port.stopListening()
        self._ports.clear()
        for peer in list(self._peers):
            peer.transport.abortConnection()

    def come_back(self) -> None:
        """Cold, with nothing in hand."""
        if self.up:
            return
        self.up, self.came_up = True, self._clock.now()
        self.cores = Cores(self.model, self.came_up, self.came_up)
        for gateway, (host, _) in self.addresses.items():
            self.listen(gateway, host)

    def close(self) -> None:
        self.die()
        if self._look is not None and self._look.active():
            self._look.cancel()

    def running(self) -> int:
        return len(self.cores.running)

    # ---- what comes

    def _lost(self, peer: RespPeer) -> None:
        for run in self._peers.pop(peer, {}).values():
            self._drop(run, "reset")

    def _drop(self, run: Run, how: str) -> None:
        now = self._clock.now()
        self.cores.drop(run, now)
        self._attempts.ended(run.sent, now, how)
        self._plan()

    def _heard(self, gateway: str, peer: RespPeer, words: list[bytes]) -> None:
        word, runs = words[0], self._peers[peer]
        if word == b"there" and len(words) == 2:
            self.probes[gateway] += 1
            if not self.mood.silent:
                peer.say(words[1], b"alive")
        elif word == b"want" and len(words) == 4:
            self._want(gateway, peer, words[1], fields_of(words[2]), words[3])
        elif word in (b"never_mind", b"shut") and (run := runs.pop(words[1], None)):
            self._drop(run, "left")
        elif word == b"turn" and len(words) == 3:
            self._turn(peer, words[1], int(words[2]))

    def _want(self, gateway: str, peer: RespPeer, id: bytes, fields: dict[str, str], statement: bytes) -> None:
        now, key = self._clock.now(), fields.get("replay", "")
        work, _ = rows.hints(statement)
        sent = self._attempts.began(
            Sent(now, gateway, self.name, id.decode(), fields["profile"], rows.digest(statement), key, work),
            self._told(gateway, self.name),
        )
        run = Run(peer, id, sent, statement)
        if len(self.cores.running) >= self.model.sessions or self._random.random() < self.mood.full:
            self._attempts.ended(sent, now, "full")
            return peer.say(id, b"503", self._report())
        self._peers[peer][id] = run
        done = self._keys.get(key, -self._window) if key else -self._window
        if now - done < self._window:
            work = 1_000  # a repeat: dropped, and answered as the first one
        threads = {"report": 3, "depot-load": 2}.get(sent.cls, 1)
        if not self.cores.add(run, work, threads, now):
            self.falls += 1
            return self.die()
        self._reactor.callLater(1.0, self._note, run)
        self._reactor.callLater(float(fields["max"]) / 1_000, self._timed_out, run)
        self._plan()

    def _note(self, run: Run) -> None:
        if run in self.cores.running and not self.mood.silent:
            share = self.cores.advance(run, self._clock.now())
            run.peer.say(run.id, b"status", b"remark=advance,amount=%.3f" % share)
            self._reactor.callLater(1.0, self._note, run)

    def _timed_out(self, run: Run) -> None:
        """Its time is over: work stops."""
        if run in self.cores.running:
            self._finish(run, "timed out", b"500", self._report())

    # ---- what goes

    def _report(self) -> bytes:
        return b"report=inflight:%d;queue:0" % len(self.cores.running)

    def _plan(self) -> None:
        due = self.cores.due(self._clock.now())
        if self._look is not None and self._look.active():
            self._look.cancel()
        if due is not None and self.up:
            self._look = self._reactor.callLater(max(due - self._clock.now(), 0) / SECOND, self._through)

    def _through(self) -> None:
        for run in self.cores.done(self._clock.now()):
            if isinstance(run, Run):
                self._answer(run)
        self._plan()

    def _answer(self, run: Run) -> None:
        if run.sent.key and self._clock.now() - self._keys.get(run.sent.key, -self._window) >= self._window:
            self._keys[run.sent.key] = self._clock.now()
            self._attempts.effects[run.sent.key] += 1
        if self.mood.silent:
            return
        if self.mood.late:
            self._reactor.callLater(self.mood.late / SECOND, self._result, run)
        else:
            self._result(run)

    def _is_open(self, run: Run) -> bool:
        return self._peers.get(run.peer, {}).get(run.id) is run

    def _result(self, run: Run) -> None:
        if not self._is_open(run):
            return
        if self._random.random() < self.mood.errors:
            return self._finish(run, "failed", b"500", self._report())
        run.pages = rows.pages(rows.rows(self.name, self.site, run.statement))
        if self._random.random() < self.mood.resets:
            run.peer.transport.write(b"*4\r\n$16\r\n" + run.id[:7])
            return run.peer.transport.abortConnection()
        fields = b"chunks=%d," % len(run.pages) + self._report()
        if len(run.pages) == 1:
            return self._finish(run, "served", b"200", fields, run.pages[0])
        run.left = set(range(1, len(run.pages)))
        run.peer.say(run.id, b"200", fields, run.pages[0])

    def _turn(self, peer: RespPeer, id: bytes, number: int) -> None:
        run = self._peers[peer].get(id)
        if run is None or not 0 < number < len(run.pages):
            return peer.say(id, b"500", b"-")
        if self.mood.trickle:
            self._reactor.callLater(self.mood.trickle * number / SECOND, self._page, run, number)
        else:
            self._page(run, number)

    def _page(self, run: Run, number: int) -> None:
        if not self._is_open(run):
            return
        run.left.discard(number)
        fields = b"at=%d" % number
        if run.left:
            run.peer.say(run.id, b"chunk", fields, run.pages[number])
        else:
            self._finish(run, "served", b"chunk", fields, run.pages[number])

    def _finish(self, run: Run, how: str, word: bytes, fields: bytes, body: bytes = b"") -> None:
        """Write its end; from then on it is no longer out."""
        if not self._is_open(run):
            return
        del self._peers[run.peer][run.id]
        run.peer.say(run.id, word, fields, body)
        self._drop(run, how)
