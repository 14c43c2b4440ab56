"""Simulates the fleet's ports with fault injection: members, gossip state, messages and timers on one virtual clock.

Messages and records can be lost, delayed and duplicated, and cut off per direction; a gateway can be paused, killed
and restarted. The same seed gives the same run, byte for byte.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Mapping

from rackhub.fleet.ports import MAX_MESSAGE_BYTES, MAX_RECORD_BYTES, Fleet, Member, MemberState, Name, Record

MS, SECOND = 1_000, 1_000_000


class Time:
    """The virtual clock that all gateways share, with its scheduled calls."""

    def __init__(self) -> None:
        self._now, self._call_count = 1_000 * SECOND, 0
        self._due: list[tuple[int, int, Callable[[], None]]] = []

    def now(self) -> int:
        return self._now

    def later(self, delay: int, call: Callable[[], None]) -> Callable[[], None]:
        active = [True]
        self._call_count += 1
        heapq.heappush(self._due, (self._now + max(delay, 0), self._call_count, lambda: call() if active[0] else None))
        return lambda: active.__setitem__(0, False)

    def run(self, span: int, until: Callable[[], bool] = lambda: False) -> bool:
        """Run for `span` microseconds or until the condition holds; return whether it holds."""
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
    """The simulated network. Probabilities are per message; times are in microseconds."""

    def __init__(self, names: list[Name], seed: int = 0):
        self.time, self.random, self.counts = Time(), random.Random(seed), Counter[str]()
        self.lose = self.double = 0.0
        self.least, self.most = 1 * MS, 5 * MS
        self.cuts: set[tuple[Name, Name]] = set()  # (source, destination) pairs that lose everything
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
    """The ports of one gateway: members, gossip state, messages and timers."""

    def __init__(self, net: Net, name: Name):
        self.net, self.local_name, self.up, self.paused, self.boot, self._number = net, name, True, False, 1, 0
        self.held: list[Callable[[], None]] = []
        self.counts = Counter[str]()
        self._seen: dict[
            tuple[Name, str], tuple[int, int, int, bytes]
        ] = {}  # generation, number, time of publication, body
        self._states: dict[Name, MemberState] = {}
        self._subscribers: dict[str, Callable[[Name, bytes], None]] = {}
        self._record_listeners: dict[str, list[Callable[[Record], None]]] = {}
        self._member_listeners: list[Callable[[Member], None]] = []

    def fleet(self, seed: int = 0) -> Fleet:
        """Return the ports that a component of the fleet gets."""
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
        """Deliver everything that arrived or was due during the pause at once, as after SIGCONT."""
        self.paused, held, self.held = False, self.held, []
        for call in held:
            call()

    def kill(self) -> None:
        """End the process and lose its memory. The other nodes learn of it only through `set_member_state`."""
        self.up, self.paused, self.held = False, False, []
        self._seen, self._subscribers, self._record_listeners, self._member_listeners = {}, {}, {}, []

    def restart(self) -> None:
        self.up, self.boot, self._number = True, self.boot + 1, 0

    def set_member_state(self, name: Name, state: MemberState) -> None:
        """Set the state of another member in this node's view, as a failure detector does, rightly or wrongly."""
        self._states[name] = state
        for call in list(self._member_listeners):
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

    def follow(self, *arguments: object) -> None:
        """Follow member changes (one argument: a call) or records (two arguments: a kind and a call)."""
        if len(arguments) == 1:
            self._member_listeners.append(arguments[0])  # type: ignore[arg-type]
        else:
            self._record_listeners.setdefault(str(arguments[0]), []).append(arguments[1])  # type: ignore[arg-type]

    # ---- gossip state

    def publish(self, kind: str, body: bytes) -> None:
        if len(body) > MAX_RECORD_BYTES:
            raise ValueError(f"record too large: {len(body)} bytes, at most {MAX_RECORD_BYTES} are allowed")
        self._number += 1
        boot, number, at = self.boot, self._number, self.now()
        self._seen[self.local_name, kind] = (boot, number, at, body)
        for name in self.net.nodes:
            if name != self.local_name:  # the clock is shared, so the age on arrival is the transit time
                self.net.carry(
                    self.local_name,
                    name,
                    lambda node: node._record_received(self.local_name, kind, boot, number, at, body),
                )

    def _record_received(self, owner: Name, kind: str, boot: int, number: int, at: int, body: bytes) -> None:
        known = self._seen.get((owner, kind))
        if known is not None and known[:2] >= (boot, number):
            return
        self._seen[owner, kind] = (boot, number, at, body)
        for call in list(self._record_listeners.get(kind, ())):
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

    # ---- messages

    def send(self, to: Name, kind: str, body: bytes) -> None:
        if len(body) > MAX_MESSAGE_BYTES:
            raise ValueError(f"message too large: {len(body)} bytes, at most {MAX_MESSAGE_BYTES} are allowed")
        self.net.carry(self.local_name, to, lambda node: node._message_received(self.local_name, kind, body))

    def _message_received(self, source: Name, kind: str, body: bytes) -> None:
        if kind in self._subscribers:
            self._subscribers[kind](source, body)

    def subscribe(self, kind: str, call: Callable[[Name, bytes], None]) -> None:
        self._subscribers[kind] = call
