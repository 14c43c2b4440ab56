"""The records that a coordinator stores, and how long it retains them. Does no I/O; callers pass the time.

Keys in the store:

- `engines`: the endpoint list as last received;
- `counters`: totals over all runs;
- `keyed/CLASS/KEY`: one request with an idempotency key.

Engines recognise a repeated request by its idempotency key, for a time that is set by class, the idempotency window.
The record of a request is retained until that window ends. The window starts with the first attempt; before that it is
counted from the latest receipt of the request. The record of an open request is retained longer: until 4 of the longest
windows have passed since its last change.

Times are Unix microseconds, durations are microseconds.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple

import msgspec

from rackhub import interface
from rackhub.core.source import EndpointSnapshot

ENDPOINT_LIST_KEY = b"engines"
COUNTERS_KEY = b"counters"
REQUEST_KEY_PREFIX = b"keyed/"
SECOND = 1_000_000  # microseconds
DEFAULT_IDEMPOTENCY_WINDOW = 25 * SECOND
OPEN_REQUEST_RETENTION_WINDOWS = 4  # retention of an open request, as a multiple of the longest idempotency window


class RequestState(StrEnum):
    """The state of a recorded request. The values are stored; the last four equal those of `RequestOutcome`."""

    RECEIVED = "taken"  # the request was received and no attempt was started since
    IN_FLIGHT = "out"  # an attempt was started
    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    DISCONNECTED = "left"

    @property
    def is_open(self) -> bool:
        """Whether the request has no response yet and its client has not disconnected."""
        return self in (RequestState.RECEIVED, RequestState.IN_FLIGHT)


class KeyedRequestRecord(msgspec.Struct, kw_only=True):
    """One request with an idempotency key. The stored names (`name=`) of its fields must not change."""

    idempotency_key: str = msgspec.field(name="token")
    cls: str
    tenant: str
    state: RequestState
    received_at: int = msgspec.field(name="taken")
    changed_at: int = msgspec.field(name="changed")
    window_ends_at: int = msgspec.field(name="until")
    engine: str = ""  # engine of the last attempt
    sent_at: int = msgspec.field(default=0, name="sent")  # time of the last attempt
    attempts: int = 0
    client_requests: int = msgspec.field(default=1, name="tries")  # number of client requests with this key
    # The engines of the attempts before the last one, each once; any of them may have executed the request.
    earlier_engines: list[str] = msgspec.field(default_factory=list, name="earlier")


class StoredEngine(msgspec.Struct):
    """An engine of the endpoint list as it is stored. The stored names (`name=`) of its fields must not change."""

    engine: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    state: str = "Ready"
    size: float = 1.0
    started_at: int = msgspec.field(default=0, name="came_up")

    @classmethod
    def from_entry(cls, entry: interface.EngineEntry) -> "StoredEngine":
        """Convert an entry of the endpoint list to its stored form."""
        return cls(entry.engine, entry.zone, entry.kind, entry.cell, entry.state, entry.size, entry.started_at)

    def to_entry(self) -> interface.EngineEntry:
        """Convert the stored form back to an entry of the endpoint list."""
        return interface.EngineEntry(*msgspec.structs.astuple(self))


class StoredEndpointList(msgspec.Struct):
    """The endpoint list that was received at `received_at`, as it is stored."""

    revision: int = msgspec.field(name="rev")
    received_at: int = msgspec.field(name="at")
    entries: list[StoredEngine]
    addresses: dict[str, tuple[str, int]]


class StoredCounters(msgspec.Struct):
    """Totals over all runs, as they are stored.

    `starts` includes the current run; `counts` includes it only in the result of `add_counters`.
    """

    starts: int
    first_started_at: int = msgspec.field(name="first")
    counts: dict[str, int]


class RecordChanges(NamedTuple):
    """Changes to be written to the store: the updated records by key, and the keys of the expired ones."""

    updated: dict[bytes, bytes]
    expired: list[bytes]


class InitialEndpoints(NamedTuple):
    """The endpoint list to start with; `stored_age` is the age in microseconds of a stored list, otherwise None."""

    snapshot: EndpointSnapshot
    stored_age: int | None


def request_key(cls: str, idempotency_key: str) -> bytes:
    """Return the key in the store of the record of a request."""
    return REQUEST_KEY_PREFIX + cls.encode() + b"/" + idempotency_key.encode("utf-8", "backslashreplace")


def decode_request(value: bytes) -> KeyedRequestRecord:
    """Decode a stored request. Raises `msgspec.MsgspecError` if `value` is malformed."""
    return msgspec.json.decode(value, type=KeyedRequestRecord)


class KeyedRequestRecords:
    """The records of requests within their idempotency windows; keeps track of those that have to be written."""

    def __init__(self, windows: Mapping[str, int], default_window: int = DEFAULT_IDEMPOTENCY_WINDOW):
        """Create an empty set of records.

        `windows` are the idempotency windows by class in microseconds, `default_window` is for classes without one.
        """
        self._windows = windows
        self._default_window = default_window
        self._records: dict[bytes, KeyedRequestRecord] = {}
        self._changed: dict[bytes, None] = {}  # store keys of the changed records; used as an ordered set
        # (end of the window, store key), only roughly in the order of the ends: windows differ between classes, and
        # retained records are appended again. A record may therefore expire late, but never early.
        self._expiry_queue: deque[tuple[int, bytes]] = deque()

    def __len__(self) -> int:
        return len(self._records)

    def restore(self, stored: Iterable[KeyedRequestRecord], now: int) -> list[KeyedRequestRecord]:
        """Restore the records of an earlier run.

        Returns the requests that are still open and within their windows: they may have been executed. The next
        `take_changes` removes expired records.
        """
        open_requests = []
        for record in sorted(stored, key=lambda record: record.window_ends_at):
            key = request_key(record.cls, record.idempotency_key)
            self._records[key] = record
            self._expiry_queue.append((record.window_ends_at, key))
            if record.state.is_open and record.window_ends_at > now:
                open_requests.append(record)
        return open_requests

    def find(self, cls: str, idempotency_key: str) -> KeyedRequestRecord | None:
        """Return the record of a request, None if there is none."""
        return self._records.get(request_key(cls, idempotency_key))

    def received(self, idempotency_key: str, cls: str, tenant: str, now: int) -> None:
        """Record a request. A request with a known key is the client's retry of the same request."""
        key = request_key(cls, idempotency_key)
        window_ends_at = self._window_end(cls, now)
        record = self._records.get(key)
        if record is None:
            self._records[key] = KeyedRequestRecord(
                idempotency_key=idempotency_key,
                cls=cls,
                tenant=tenant,
                state=RequestState.RECEIVED,
                received_at=now,
                changed_at=now,
                window_ends_at=window_ends_at,
            )
            self._expiry_queue.append((window_ends_at, key))
        else:  # the earlier attempts remain recorded, as they may have been executed
            record.state = RequestState.RECEIVED
            record.changed_at = now
            record.client_requests += 1
            if not record.attempts:
                record.window_ends_at = window_ends_at
        self._changed[key] = None

    def sent(self, idempotency_key: str, cls: str, engine: str, now: int) -> None:
        """Record an attempt that is about to be sent to `engine`."""
        key = request_key(cls, idempotency_key)
        record = self._records.get(key)
        if record is None:
            return
        if record.engine and record.engine not in record.earlier_engines:
            record.earlier_engines = [*record.earlier_engines, record.engine]
        if not record.attempts:  # the window starts with the first attempt, whether or not the engine executed it
            record.window_ends_at = self._window_end(cls, now)
        record.state = RequestState.IN_FLIGHT
        record.engine = engine
        record.sent_at = now
        record.changed_at = now
        record.attempts += 1
        self._changed[key] = None

    def finished(self, idempotency_key: str, cls: str, state: RequestState, now: int) -> None:
        """Record how a request ended: by its response, or because its client disconnected."""
        key = request_key(cls, idempotency_key)
        record = self._records.get(key)
        if record is None:
            return
        record.state = state
        record.changed_at = now
        self._changed[key] = None

    def take_changes(self, now: int) -> RecordChanges:
        """Return the changes since the last call, and remove the records that are no longer retained."""
        expired = self._expire(now)
        updated = {key: msgspec.json.encode(self._records[key]) for key in self._changed}
        self._changed.clear()
        return RecordChanges(updated, expired)

    def _expire(self, now: int) -> list[bytes]:
        expired: list[bytes] = []
        # Bounded by the present length, as retained records are appended again.
        for _ in range(len(self._expiry_queue)):
            ends_at, key = self._expiry_queue[0]
            record = self._records.get(key)
            if record is not None and ends_at > now:
                break
            self._expiry_queue.popleft()
            if record is None:
                continue
            if self._is_retained(record, now):
                self._expiry_queue.append((max(record.window_ends_at, now + SECOND), key))
                continue
            del self._records[key]
            self._changed.pop(key, None)
            expired.append(key)
        return expired

    def _is_retained(self, record: KeyedRequestRecord, now: int) -> bool:
        if record.window_ends_at > now:
            return True
        return record.state.is_open and record.changed_at + self._open_retention() > now

    def _window_end(self, cls: str, now: int) -> int:
        return now + self._windows.get(cls, self._default_window)

    def _open_retention(self) -> int:
        """Return how long the record of an open request is retained after its last change, in microseconds."""
        longest_window = max(self._windows.values(), default=self._default_window)
        return OPEN_REQUEST_RETENTION_WINDOWS * longest_window


def encode_endpoint_list(snapshot: EndpointSnapshot, now: int) -> bytes:
    """Encode the stored form of an endpoint list received at `now`."""
    entries = [StoredEngine.from_entry(entry) for entry in snapshot.entries]
    return msgspec.json.encode(StoredEndpointList(snapshot.revision, now, entries, snapshot.addresses))


def initial_endpoints(
    configured: EndpointSnapshot, stored_value: bytes | None, now: int, maximum_age: int
) -> InitialEndpoints:
    """Choose the endpoint list to start with.

    A configured list takes precedence over the stored one, which is used up to an age of `maximum_age` microseconds.
    A stored list gets the revision of `configured`, which is 0 if no list is configured: revisions start anew in each
    process, and any list received later must replace this one. A malformed stored list is ignored. Engines that were
    draining remain draining.
    """
    stored = None if configured.entries else _decode_endpoint_list(stored_value)
    if stored is None or not stored.entries:
        return InitialEndpoints(configured, None)
    age = max(now - stored.received_at, 0)
    if age > maximum_age:
        return InitialEndpoints(configured, None)
    entries = tuple(engine.to_entry() for engine in stored.entries)
    return InitialEndpoints(EndpointSnapshot(configured.revision, entries, dict(stored.addresses)), age)


def _decode_endpoint_list(value: bytes | None) -> StoredEndpointList | None:
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=StoredEndpointList)
    except msgspec.MsgspecError:
        return None


def initial_counters(stored_value: bytes | None, now: int) -> StoredCounters:
    """Return the totals of all earlier runs, with `starts` incremented.

    If the value is missing or malformed the totals begin at 0.
    """
    counters = _decode_counters(stored_value) or StoredCounters(0, now, {})
    counters.starts += 1
    return counters


def _decode_counters(value: bytes | None) -> StoredCounters | None:
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=StoredCounters)
    except msgspec.MsgspecError:
        return None


def add_counters(earlier: StoredCounters, current: Mapping[str, int]) -> StoredCounters:
    """Return the totals of the `earlier` runs plus the `current` counts of this one."""
    counts = dict(earlier.counts)
    for name, count in current.items():
        if count:
            counts[name] = counts.get(name, 0) + count
    return StoredCounters(earlier.starts, earlier.first_started_at, counts)
