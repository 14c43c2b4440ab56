"""The ports of `rackhub.fleet.ports` over the core: what other parts of the process read and call."""

from collections.abc import Callable, Mapping
from typing import Protocol

from rackhub.fleet.members.context import MemberChanged, MessageReceived, RecordReceived
from rackhub.fleet.members.core import Core
from rackhub.fleet.members.events import Event, PublishRecord, SendMessage
from rackhub.fleet.ports import Member, MemberState, Name, Record

LIVE_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.CUT)


class CoreHost(Protocol):
    """The shell: it takes an event to the core at the present moment and does what comes out."""

    def step(self, event: Event) -> None: ...
    def now(self) -> int: ...


class MembersView:
    def __init__(self, core: Core):
        self._core, self.local_name = core, core.context.local_name
        self._listeners: list[Callable[[Member], None]] = []
        self._all: Mapping[Name, Member] = {}
        self._version = -1
        self._live: frozenset[Name] = frozenset()
        self._reachable: frozenset[Name] = frozenset()

    def _refresh(self) -> Mapping[Name, Member]:
        if self._version != self._core.table.version:
            self._version = self._core.table.version
            peers, threshold = self._core.table.peers, self._core.context.timing.cut_threshold
            self._all = self._core.table.members()
            self._live = frozenset(name for name, member in self._all.items() if member.state in LIVE_STATES) | {
                self.local_name
            }
            self._reachable = frozenset(
                name for name in self._live if name == self.local_name or not peers[name].is_cut(threshold)
            )
        return self._all

    def all(self) -> Mapping[Name, Member]:
        return self._refresh()

    def live(self) -> frozenset[Name]:
        self._refresh()
        return self._live

    def reachable(self) -> frozenset[Name]:
        self._refresh()
        return self._reachable

    def receives_from(self, one: Name, other: Name) -> bool | None:
        return self._core.receives_from(one, other)

    def follow(self, call: Callable[[Member], None]) -> None:
        self._listeners.append(call)

    def notify_changed(self, effect: MemberChanged) -> None:
        for call in list(self._listeners):
            call(effect.member)


class GossipStateView:
    def __init__(self, core: Core, host: CoreHost):
        self._core, self._host = core, host
        self._listeners: dict[str, list[Callable[[Record], None]]] = {}

    def publish(self, kind: str, body: bytes) -> None:
        self._host.step(PublishRecord(kind, body))

    def read(self, kind: str) -> Mapping[Name, Record]:
        self._core.context.now = max(self._core.context.now, self._host.now())
        return self._core.records.read(kind)

    def follow(self, kind: str, call: Callable[[Record], None]) -> None:
        self._listeners.setdefault(kind, []).append(call)

    def notify_record(self, effect: RecordReceived) -> None:
        for call in list(self._listeners.get(effect.record.kind, ())):
            call(effect.record)


class MessengerView:
    def __init__(self, host: CoreHost, count: Callable[[str], None]):
        self._host, self._count = host, count
        self._handlers: dict[str, Callable[[Name, bytes], None]] = {}

    def send(self, to: Name, kind: str, body: bytes) -> None:
        self._host.step(SendMessage(to, kind, body))

    def subscribe(self, kind: str, call: Callable[[Name, bytes], None]) -> None:
        if kind in self._handlers:
            raise ValueError(f"mail of kind {kind!r} is taken already")
        self._handlers[kind] = call

    def deliver(self, effect: MessageReceived) -> None:
        call = self._handlers.get(effect.kind)
        if call is None:
            self._count("mail_unknown_kind")
        else:
            call(effect.sender, effect.body)
