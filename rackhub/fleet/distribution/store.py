"""What a watcher holds, on a disk: a head, a record for each entry, and the values that they took the place of."""

import logging
from collections.abc import Callable, Iterable, Mapping

import msgspec

from rackhub.fleet.distribution.events import Persist, StoredState
from rackhub.fleet.distribution.history import PREFIX as HISTORY_PREFIX
from rackhub.fleet.distribution.messages import Entry, LogId, Revision
from rackhub.fleet.ports import KeyedDisk

log = logging.getLogger(__name__)

DAMAGED = "distribution_damaged"  # counter


class StoredHeader(msgspec.Struct, frozen=True, array_like=True):
    """What the entries beside it stand for."""

    log: LogId
    revision: Revision
    scope: tuple[str, ...]


class StateStore:
    """`held`: what an earlier process left, or nothing. `fallback`: what was in force for keys whose newest value was
    not known to be taken; None: no such key. `misplaced_history`: history records of a voter that earlier versions
    stored in the fallback record; the next `persist` removes them from it. `prefix`: of its keys on the disk.

    A head or entry that can't be read is named in `damage` and counted, all that is held is deleted, and the watcher
    begins from revision 0. A disk that can't be read at all is put aside by the disk itself.
    """

    def __init__(
        self,
        disk: KeyedDisk,
        scope: tuple[str, ...],
        tally: Callable[[str, int], None],
        prefix: str = "distribution",
    ):
        self._disk, self._scope = disk, scope
        self._head_key, self._fallback_key = f"{prefix}/head", f"{prefix}/fallback"
        self._entry_prefix = f"{prefix}/entry/"
        self._keys: set[str] = set()  # of the entries on the disk
        self.held = StoredState()
        self.fallback: Mapping[str, bytes | None] = {}
        self.misplaced_history: Mapping[str, bytes | None] = {}
        self.damage = ""
        try:
            self._load()
        except (msgspec.MsgspecError, UnicodeDecodeError) as bad:
            self._begin_anew(str(bad))
            tally(DAMAGED, 1)

    def persist(
        self,
        change: Persist,
        done: Callable[[], None],
        *,
        fallback: Mapping[str, bytes | None] | None = None,
        also: Mapping[str, bytes | None] | None = None,
    ) -> None:
        """Write it all at once; `done` when it is synced. `also`: further keys of the disk, in the same write."""
        changes: dict[str, bytes | None] = {}
        if change.snapshot:
            changes = {self._entry_prefix + key: None for key in self._keys}
            self._keys = set()
        for entry in change.entries:
            changes[self._entry_prefix + entry.key] = _encoded(entry)
            if entry.value is None:
                self._keys.discard(entry.key)
            else:
                self._keys.add(entry.key)
        changes[self._head_key] = msgspec.msgpack.encode(StoredHeader(change.log, change.revision, self._scope))
        if fallback is None and self.misplaced_history:
            fallback = self.fallback
        if fallback is not None:
            changes[self._fallback_key] = msgspec.msgpack.encode(dict(fallback))
            self.misplaced_history = {}
        self._disk.write(changes | dict(also or {}), done)

    def _load(self) -> None:
        head_body = self._disk.get(self._head_key)
        if head_body is None:
            return
        head = msgspec.msgpack.decode(head_body, type=StoredHeader)
        entries = dict(self._entries())
        fallback_body = self._disk.get(self._fallback_key)
        if fallback_body is not None:
            stored = msgspec.msgpack.decode(fallback_body, type=dict[str, bytes | None])
            self.misplaced_history = {key: body for key, body in stored.items() if key.startswith(HISTORY_PREFIX)}
            self.fallback = {key: value for key, value in stored.items() if key not in self.misplaced_history}
        self._keys = set(entries)
        self.held = StoredState(head.log, head.revision, head.scope, entries)

    def _entries(self) -> Iterable[tuple[str, Entry]]:
        for key, body in self._disk.scan(self._entry_prefix):
            entry = msgspec.msgpack.decode(body, type=Entry)
            if self._entry_prefix + entry.key != key:
                raise msgspec.ValidationError(f"{key} holds the entry of {entry.key}")
            yield entry.key, entry

    def _begin_anew(self, reason: str) -> None:
        self.damage = f"{self._entry_prefix}: can't be read: {reason}"
        log.error("fleet: %s; all of it is dropped and fetched anew", self.damage)
        doomed = [self._head_key, self._fallback_key, *(key for key, _ in self._disk.scan(self._entry_prefix))]
        self._disk.write(dict.fromkeys(doomed), lambda: None)
        self._keys = set()
        self.fallback = {}
        self.misplaced_history = {}
        self.held = StoredState()


def _encoded(entry: Entry) -> bytes | None:
    return msgspec.msgpack.encode(entry) if entry.value is not None else None
