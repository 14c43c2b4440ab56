"""What one hollow coordinator put in force, written down as it happens, for the audit."""

import hashlib
from collections.abc import Iterable

import msgspec

from rackhub.fleet.distribution.events import Apply
from rackhub.fleet.distribution.messages import Entry


class Outage(msgspec.Struct, frozen=True):
    """The coordinator was down or cut off for so long: changes of that time count from its end. Microseconds."""

    start: int
    end: int


class Trace(msgspec.Struct):
    """`applied`: when which revision was in force, in order. `digest`: of the content in force at the end."""

    name: str
    zone: str
    applied: list[tuple[int, int]] = []
    revisions_back: int = 0
    out_of_scope: int = 0
    restarts: int = 0
    digest: str = ""


class Recorder:
    """Follows the `Apply` effects of one coordinator, also over its restarts."""

    def __init__(self, name: str, zone: str, scope: tuple[str, ...]):
        self.trace = Trace(name, zone)
        self._scope = scope
        self._entries: dict[str, Entry] = {}

    @property
    def revision(self) -> int:
        return self.trace.applied[-1][1] if self.trace.applied else 0

    def apply(self, now: int, effect: Apply) -> None:
        trace = self.trace
        if effect.revision < self.revision:
            trace.revisions_back += 1
        if effect.snapshot:
            before, self._entries = self._entries, {}
        else:
            before = self._entries
        for entry in effect.entries:
            self._put(entry, before.get(entry.key))
        trace.applied.append((now, effect.revision))

    def _put(self, entry: Entry, before: Entry | None) -> None:
        if not entry.key.startswith(self._scope):
            self.trace.out_of_scope += 1
        if before is not None and entry.revision < before.revision:
            self.trace.revisions_back += 1
        if entry.value is None:
            self._entries.pop(entry.key, None)
        else:
            self._entries[entry.key] = entry

    def finish(self) -> Trace:
        self.trace.digest = digest(self._entries.values())
        return self.trace


def digest(entries: Iterable[Entry]) -> str:
    """The same for the same entries in any order."""
    told = hashlib.blake2b(digest_size=16)
    for entry in sorted(entries, key=lambda entry: entry.key):
        told.update(msgspec.msgpack.encode(entry))
    return told.hexdigest()
