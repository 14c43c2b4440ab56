"""What is kept, in what words, and for how long. Pure: it takes events and the time, and gives keys and values.

Keys in the store: `engines` the list as last told; `counters` what was counted over all starts; `keyed/CLASS/TOKEN`
one request with an idempotency key, from when it was taken until its class's window has passed, within which an
engine would drop a repeat.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from typing import Literal

import msgspec

from rackhub import interface
from rackhub.core.source import EndpointSnapshot

ENGINES, COUNTERS, KEYED = b"engines", b"counters", b"keyed/"
State = Literal["taken", "out", "served", "refused", "failed", "left"]
SECOND = 1_000_000


class Keyed(msgspec.Struct, kw_only=True):
    """One request with an idempotency key. Times are Unix microseconds."""

    token: str
    cls: str
    tenant: str
    state: State
    taken: int
    changed: int
    until: int  # the end of its window, by the first attempt that may have run
    engine: str = ""  # of the last attempt
    sent: int = 0
    attempts: int = 0
    tries: int = 1  # requests that came with this key, the client's own retries
    earlier: list[str] = []  # engines of attempts before the last, which may have run


class StoredEngine(msgspec.Struct):
    """An engine of the endpoint list as it is stored. The stored names stay when those of the code change."""

    engine: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "Ready"
    size: float = 1.0
    started_at: int = msgspec.field(default=0, name="came_up")

    @classmethod
    def of(cls, entry: interface.EngineEntry) -> "StoredEngine":
        """The stored form of an entry."""
        return cls(entry.engine, entry.zone, entry.kind, entry.cell, entry.state, entry.size, entry.started_at)

    def entry(self) -> interface.EngineEntry:
        """The entry that is stored here."""
        return interface.EngineEntry(*msgspec.structs.astuple(self))


class KeptEngines(msgspec.Struct):
    """The list of engines as it was told at `at`."""

    rev: int
    at: int
    entries: list[StoredEngine]
    addresses: dict[str, tuple[str, int]]


class KeptCounters(msgspec.Struct):
    """Counts of all runs before and of this one so far, and how many runs there were."""

    starts: int
    first: int
    counts: dict[str, int]


def keyed_key(cls: str, token: str) -> bytes:
    return KEYED + cls.encode() + b"/" + token.encode("utf-8", "backslashreplace")


def read_keyed(key: bytes, value: bytes) -> Keyed:
    """One request as it was kept; `msgspec.MsgspecError` where the value is none."""
    return msgspec.json.decode(value, type=Keyed)


class KeyedRequests:
    """The keyed requests within their windows, and which of them have changed since `changes` was asked last."""

    def __init__(self, windows: Mapping[str, int], least: int = 25 * SECOND):
        """`windows`: by class, microseconds in which a repeat is dropped; `least` where a class tells none."""
        self._windows, self._least = windows, least
        self._all: dict[bytes, Keyed] = {}
        self._changed: dict[bytes, None] = {}
        self._ends: deque[tuple[int, bytes]] = deque()  # in about the order of their ends: classes differ

    def __len__(self) -> int:
        return len(self._all)

    def restore(self, kept: Iterable[Keyed], now: int) -> list[Keyed]:
        """Take over what an earlier run kept. Those that it left open, which may have run: returned. Those whose
        window is over are to be deleted."""
        left_open = []
        for one in sorted(kept, key=lambda one: one.until):
            key = keyed_key(one.cls, one.token)
            self._all[key] = one
            self._ends.append((one.until, key))
            if one.state in ("taken", "out") and one.until > now:
                left_open.append(one)
        return left_open

    def find(self, cls: str, token: str) -> Keyed | None:
        return self._all.get(keyed_key(cls, token))

    def taken(self, token: str, cls: str, tenant: str, now: int) -> None:
        """A request came with this key; the same key again is a client's retry of the same work."""
        key, until = keyed_key(cls, token), now + self._windows.get(cls, self._least)
        one = self._all.get(key)
        if one is None:
            self._all[key] = Keyed(
                token=token, cls=cls, tenant=tenant, state="taken", taken=now, changed=now, until=until
            )
            self._ends.append((until, key))
        else:  # what its earlier attempts may have done stays on record
            one.state, one.changed, one.tries = "taken", now, one.tries + 1
            if not one.attempts:
                one.until = until
        self._changed[key] = None

    def out(self, token: str, cls: str, engine: str, now: int) -> None:
        """An attempt of it goes out."""
        one = self._all.get(keyed_key(cls, token))
        if one is None:
            return
        if one.engine and one.engine not in one.earlier:
            one.earlier = [*one.earlier, one.engine]
        if not one.attempts:  # the window runs from the first attempt that may have run
            one.until = now + self._windows.get(cls, self._least)
        one.state, one.engine, one.sent, one.changed, one.attempts = "out", engine, now, now, one.attempts + 1
        self._changed[keyed_key(cls, token)] = None

    def over(self, token: str, cls: str, how: State, now: int) -> None:
        """It has its answer, or its client has left."""
        one = self._all.get(keyed_key(cls, token))
        if one is not None:
            one.state, one.changed = how, now
            self._changed[keyed_key(cls, token)] = None

    def changes(self, now: int) -> tuple[dict[bytes, bytes], list[bytes]]:
        """What is to be written since the last call, and the keys to delete: their window is over and they are too.
        One that is still open stays until it is not."""
        gone: list[bytes] = []
        for _ in range(len(self._ends)):
            until, key = self._ends[0]
            one = self._all.get(key)
            if one is None:
                self._ends.popleft()
            elif until > now:
                break
            else:
                self._ends.popleft()
                if one.until > now or one.state in ("taken", "out") and one.changed + self._longest() > now:
                    self._ends.append((max(one.until, now + SECOND), key))
                else:
                    del self._all[key]
                    self._changed.pop(key, None)
                    gone.append(key)
        puts = {key: msgspec.json.encode(self._all[key]) for key in self._changed}
        self._changed.clear()
        return puts, gone

    def _longest(self) -> int:
        return 4 * max(self._windows.values(), default=self._least)


def keep_engines(listing: EndpointSnapshot, now: int) -> bytes:
    """The list as it is kept."""
    entries = [StoredEngine.of(entry) for entry in listing.entries]
    return msgspec.json.encode(KeptEngines(listing.revision, now, entries, listing.addresses))


def start_list(
    told: EndpointSnapshot, kept: bytes | None, now: int, most_age: int
) -> tuple[EndpointSnapshot, int | None]:
    """The list to start with, and the age of a kept one where that is it. What the configuration tells goes before
    what was kept; one that was kept has number 0, as numbers begin anew with each start, and any that is told then
    must take its place. Engines that were draining or gone when it was kept are draining or gone in it."""
    if told.entries or kept is None:
        return told, None
    try:
        have = msgspec.json.decode(kept, type=KeptEngines)
    except msgspec.MsgspecError:
        return told, None
    age = max(now - have.at, 0)
    if age > most_age or not have.entries:
        return told, None
    return EndpointSnapshot(
        told.revision,
        tuple(stored.entry() for stored in have.entries),
        {name: (host, port) for name, (host, port) in have.addresses.items()},
    ), age


def begin_counters(kept: bytes | None, now: int) -> KeptCounters:
    """The counters of all runs before this one, which is counted in."""
    try:
        have = msgspec.json.decode(kept, type=KeptCounters) if kept is not None else KeptCounters(0, now, {})
    except msgspec.MsgspecError:
        have = KeptCounters(0, now, {})
    have.starts += 1
    return have


def sum_counters(before: KeptCounters, now: Mapping[str, int]) -> KeptCounters:
    """Those of all runs, with this one's as they stand."""
    counts = dict(before.counts)
    for name, count in now.items():
        if count:
            counts[name] = counts.get(name, 0) + count
    return KeptCounters(before.starts, before.first, counts)
