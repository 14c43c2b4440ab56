"""Faulty twins of the fleet's ports: members, board, mail and timers of many gateways on one clock, from one seed.

Mail and records are lost, delayed, doubled and cut by direction; a gateway can stand still, end and come back. The same
seed gives the same run, byte for byte.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Mapping

from rackhub.fleet.ports import MAX_MESSAGE_BYTES, MAX_RECORD_BYTES, Fleet, Member, MemberState, Name, Record

MS, SECOND = 1_000, 1_000_000


class Time:
    """One clock for all, and what is due on it."""

    def __init__(self) -> None:
        self._now, self._asked = 1_000 * SECOND, 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []

    def now(self) -> int:
        return self._now

    def later(self, delay: int, call: Callable[[], None]) -> Callable[[], None]:
        on = [True]
        self._asked += 1
        heapq.heappush(self._due, (self._now + max(delay, 0), self._asked, lambda: call() if on[0] else None))
        return lambda: on.__setitem__(0, False)

    def run(self, span: int, until: Callable[[], bool] = lambda: False) -> bool:
        """Go on for so long, or until the condition holds; whether it came to hold."""
        end = self._now + span
        while self._due and self._due[0][0] <= end:
            at, _, call = heapq.heappop(self._due)
            self._now = max(at, self._now)
            call()
            if until():
                return True
        self._now = max(end, self._now)
        return until()


class Net:
    """What lies between the gateways. Probabilities are by message; times microseconds."""

    def __init__(self, names: list[Name], seed: int = 0):
        self.time, self.random, self.counts = Time(), random.Random(seed), Counter[str]()
        self.lose = self.double = 0.0
        self.least, self.most = 1 * MS, 5 * MS
        self.cuts: set[tuple[Name, Name]] = set()  # from whom to whom nothing comes
        self.records: dict[tuple[Name, str], tuple[int, int, int, bytes]] = {}
        self.nodes = {name: Node(self, name) for name in names}

    def cut(self, some: set[Name], others: set[Name], both: bool = True) -> None:
        for one in some:
            for other in others - some:
                self.cuts |= {(one, other), (other, one)} if both else {(one, other)}

    def heal(self) -> None:
        self.cuts.clear()

    def carry(self, source: Name, to: Name, call: Callable[["Node"], None]) -> None:
        for _ in range(1 + (self.random.random() < self.double)):
            if (source, to) in self.cuts or self.random.random() < self.lose or to not in self.nodes:
                self.counts["lost"] += 1
                continue
            self.time.later(self.random.randint(self.least, self.most), lambda: self._arrive(to, call))

    def _arrive(self, to: Name, call: Callable[["Node"], None]) -> None:
        node = self.nodes[to]
        if not node.up:
            self.counts["lost"] += 1
        elif node.paused:
            node.held.append(lambda: call(node))
        else:
            call(node)


class Node:
    """One gateway's members, board and mail, and its timers."""

    def __init__(self, net: Net, name: Name):
        self.net, self.local_name, self.up, self.paused, self.boot, self._number = net, name, True, False, 1, 0
        self.held: list[Callable[[], None]] = []
        self.counts = Counter[str]()
        self._seen: dict[tuple[Name, str], tuple[int, int, int, bytes]] = {}  # boot, number, when it was so old, body
        self._states: dict[Name, MemberState] = {}
        self._takers: dict[str, Callable[[Name, bytes], None]] = {}
        self._board: dict[str, list[Callable[[Record], None]]] = {}
        self._members: list[Callable[[Member], None]] = []

    def fleet(self, seed: int = 0) -> Fleet:
        """What a part of the fleet is handed here."""
        return Fleet(self, self, self, self, self._count, self.later, seed)

    def _count(self, name: str, by: int = 1) -> None:
        self.counts[name] += by

    def now(self) -> int:
        return self.net.time.now()

    def later(self, delay: int, call: Callable[[], None]) -> Callable[[], None]:
        boot = self.boot

        def due() -> None:
            if self.up and self.boot == boot:
                self.held.append(call) if self.paused else call()

        return self.net.time.later(delay, due)

    # ---- faults

    def pause(self) -> None:
        self.paused = True

    def wake(self) -> None:
        """All that came and was due meanwhile is there at once, as after SIGCONT."""
        self.paused, held, self.held = False, self.held, []
        for call in held:
            call()

    def kill(self) -> None:
        """The process ends: what it held is gone; the net's other nodes learn of it by `say`."""
        self.up, self.paused, self.held = False, False, []
        self._seen, self._takers, self._board, self._members = {}, {}, {}, []

    def restart(self) -> None:
        self.up, self.boot, self._number = True, self.boot + 1, 0

    def say(self, name: Name, state: MemberState) -> None:
        """What this node holds of another from now on; a failure detector's word, right or wrong."""
        self._states[name] = state
        for call in list(self._members):
            call(self.all()[name])

    # ---- members

    def all(self) -> Mapping[Name, Member]:
        return {
            name: Member(
                name,
                ("127.0.0.1", 7_000 + i),
                self.net.nodes[name].boot,
                0,
                self._states.get(name, MemberState.ALIVE),
                0,
            )
            for i, name in enumerate(sorted(self.net.nodes))
        }

    def live(self) -> frozenset[Name]:
        return frozenset(
            name
            for name, member in self.all().items()
            if member.state in (MemberState.ALIVE, MemberState.SUSPECT, MemberState.CUT) or name == self.local_name
        )

    def reachable(self) -> frozenset[Name]:
        return frozenset(
            name
            for name in self.live()
            if self._states.get(name, MemberState.ALIVE) is not MemberState.CUT or name == self.local_name
        )

    def receives_from(self, one: Name, other: Name) -> bool | None:
        return (other, one) not in self.net.cuts

    def follow(self, *words: object) -> None:
        """As members: a call; as board: a kind and a call."""
        if len(words) == 1:
            self._members.append(words[0])  # type: ignore[arg-type]
        else:
            self._board.setdefault(str(words[0]), []).append(words[1])  # type: ignore[arg-type]

    # ---- board

    def publish(self, kind: str, body: bytes) -> None:
        if len(body) > MAX_RECORD_BYTES:
            raise ValueError(f"a record of {len(body)} bytes, more than {MAX_RECORD_BYTES}")
        self._number += 1
        boot, number, at = self.boot, self._number, self.now()
        self._seen[self.local_name, kind] = (boot, number, at, body)
        for name in self.net.nodes:
            if name != self.local_name:  # its age is what the way took: here the clock is one
                self.net.carry(
                    self.local_name, name, lambda node: node._posted(self.local_name, kind, boot, number, at, body)
                )

    def _posted(self, owner: Name, kind: str, boot: int, number: int, at: int, body: bytes) -> None:
        known = self._seen.get((owner, kind))
        if known is not None and known[:2] >= (boot, number):
            return
        self._seen[owner, kind] = (boot, number, at, body)
        for call in list(self._board.get(kind, ())):
            call(Record(owner, kind, boot, number, self.now() - at, body))

    def read(self, kind: str) -> Mapping[Name, Record]:
        return {
            owner: Record(owner, kind, boot, number, self.now() - at, body)
            for (
                owner,
                of,
            ), (boot, number, at, body) in self._seen.items()
            if of == kind
        }

    # ---- mail

    def send(self, to: Name, kind: str, body: bytes) -> None:
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"mail of {len(body)} bytes, more than {MAX_MESSAGE_BYTES}")
        self.net.carry(self.local_name, to, lambda node: node._mailed(self.local_name, kind, body))

    def _mailed(self, source: Name, kind: str, body: bytes) -> None:
        if kind in self._takers:
            self._takers[kind](source, body)

    def subscribe(self, kind: str, call: Callable[[Name, bytes], None]) -> None:
        self._takers[kind] = call
