"""The ports of `rackhub.fleet.ports` over the core: what other parts of the process read and call."""

from collections.abc import Callable, Mapping
from typing import Protocol

from rackhub.fleet.members.core import Core
from rackhub.fleet.members.events import Event, Post, Send
from rackhub.fleet.members.here import Changed, Mailed, Posted
from rackhub.fleet.ports import Member, MemberState, Name, Record

LIVING = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.CUT)


class Host(Protocol):
    """The shell: it takes an event to the core at the present moment and does what comes out."""

    def step(self, event: Event) -> None: ...
    def now(self) -> int: ...


class MembersView:
    def __init__(self, core: Core):
        self._core, self.local_name = core, core.here.me
        self._follow: list[Callable[[Member], None]] = []
        self._all: Mapping[Name, Member] = {}
        self._version = -1
        self._living: frozenset[Name] = frozenset()
        self._heard: frozenset[Name] = frozenset()

    def _fresh(self) -> Mapping[Name, Member]:
        if self._version != self._core.table.version:
            self._version = self._core.table.version
            peers, after = self._core.table.peers, self._core.here.timing.cut_after
            self._all = self._core.table.members()
            self._living = frozenset(name for name, member in self._all.items() if member.state in LIVING) | {
                self.local_name
            }
            self._heard = frozenset(
                name for name in self._living if name == self.local_name or not peers[name].cut(after)
            )
        return self._all

    def all(self) -> Mapping[Name, Member]:
        return self._fresh()

    def live(self) -> frozenset[Name]:
        self._fresh()
        return self._living

    def reachable(self) -> frozenset[Name]:
        self._fresh()
        return self._heard

    def receives_from(self, one: Name, other: Name) -> bool | None:
        return self._core.hears(one, other)

    def follow(self, call: Callable[[Member], None]) -> None:
        self._follow.append(call)

    def changed(self, effect: Changed) -> None:
        for call in list(self._follow):
            call(effect.member)


class BoardView:
    def __init__(self, core: Core, host: Host):
        self._core, self._host = core, host
        self._follow: dict[str, list[Callable[[Record], None]]] = {}

    def publish(self, kind: str, body: bytes) -> None:
        self._host.step(Post(kind, body))

    def read(self, kind: str) -> Mapping[Name, Record]:
        self._core.here.now = max(self._core.here.now, self._host.now())
        return self._core.records.read(kind)

    def follow(self, kind: str, call: Callable[[Record], None]) -> None:
        self._follow.setdefault(kind, []).append(call)

    def posted(self, effect: Posted) -> None:
        for call in list(self._follow.get(effect.record.kind, ())):
            call(effect.record)


class MailView:
    def __init__(self, host: Host, count: Callable[[str], None]):
        self._host, self._count = host, count
        self._takers: dict[str, Callable[[Name, bytes], None]] = {}

    def send(self, to: Name, kind: str, body: bytes) -> None:
        self._host.step(Send(to, kind, body))

    def subscribe(self, kind: str, call: Callable[[Name, bytes], None]) -> None:
        if kind in self._takers:
            raise ValueError(f"mail of kind {kind!r} is taken already")
        self._takers[kind] = call

    def mailed(self, effect: Mailed) -> None:
        call = self._takers.get(effect.kind)
        if call is None:
            self._count("mail_unknown_kind")
        else:
            call(effect.sender, effect.body)
