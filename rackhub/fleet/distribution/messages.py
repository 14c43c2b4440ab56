"""What source, relay and watcher say to one another: typed messages, as they go over the link as mail.

Revisions count changes of one log, 1 being the first; 0 is the empty state. A log has an identity, drawn when it is
first written: revisions of two logs are never compared. Durations are milliseconds, counted by the clock of whoever
sends them; no message carries a time of day or compares two machines' clocks.
"""

from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

from rackhub.fleet.distribution.limits import (
    FAULT_KEYS,
    FAULT_LETTERS,
    MAX_KEY_BYTES,
    MAX_SCOPE_PREFIXES,
    VALUE_BYTES,
    WORST,
)

KIND = "distribution"  # of the mail that carries these messages

Name = Annotated[str, Meta(min_length=1, max_length=63)]
LogId = Annotated[str, Meta(max_length=32)]
Revision = Annotated[int, Meta(ge=0, le=1 << 53)]
Number = Annotated[int, Meta(ge=0, le=1 << 53)]
Duration = Annotated[int, Meta(ge=0, le=1 << 40)]  # milliseconds
Key = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_BYTES)]
Value = Annotated[bytes, Meta(max_length=VALUE_BYTES)]
Prefix = Annotated[str, Meta(max_length=MAX_KEY_BYTES)]
Scope = Annotated[tuple[Prefix, ...], Meta(max_length=MAX_SCOPE_PREFIXES)]  # prefixes of keys; ("",) is all of them
Reason = Annotated[str, Meta(max_length=FAULT_LETTERS)]


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One key as a change left it. `value` None: it was deleted. `revision`: of that change."""

    key: Key
    value: Value | None
    revision: Revision


class Change(msgspec.Struct, frozen=True, array_like=True):
    """One decided change: all its entries hold together, under one revision. `id` is the editor's, drawn once."""

    revision: Revision
    entries: tuple[Entry, ...]
    id: str = ""
    author: str = ""
    reason: str = ""


class KeyFault(msgspec.Struct, frozen=True, array_like=True):
    """A key whose newest value a coordinator can't take; it goes on with the one before."""

    key: Key
    reason: Reason


class LaggingWatcher(msgspec.Struct, frozen=True, array_like=True):
    """A watcher behind its relay: what it holds, and for how long its relay has been ahead of it, in milliseconds."""

    name: Name
    revision: Revision
    behind: Duration


class Message(msgspec.Struct, frozen=True, array_like=True):
    """What all messages have in common: nothing but the tag."""


class Watch(Message, frozen=True, array_like=True, tag="watch"):
    """Send all changes in `scope` after `revision`, or a snapshot. `session` is drawn by the watcher, greater at each
    new watch; messages of other sessions are dropped. `zone` is the watcher's. `log` is empty where nothing is held."""

    session: Number
    log: LogId
    revision: Revision
    scope: Scope
    credit: Annotated[int, Meta(ge=1, le=64)]
    zone: Annotated[str, Meta(max_length=63)] = ""


class Unwatch(Message, frozen=True, array_like=True, tag="unwatch"):
    """The watcher has gone elsewhere: its session ends."""

    session: Number


class Update(Message, frozen=True, array_like=True, tag="update"):
    """All that changed in scope after `previous` up to `revision`, the newest entry of each key. It follows on only for
    a watcher that holds `previous` or more."""

    session: Number
    log: LogId
    previous: Revision
    revision: Revision
    entries: tuple[Entry, ...]


class SnapshotPart(Message, frozen=True, array_like=True, tag="snapshot"):
    """Part `part` of `parts` of all that stands in scope at `revision`. Keys that none of the parts names are gone."""

    session: Number
    log: LogId
    revision: Revision
    part: Annotated[int, Meta(ge=0, le=4_095)]
    parts: Annotated[int, Meta(ge=1, le=4_096)]
    entries: tuple[Entry, ...]


class Heartbeat(Message, frozen=True, array_like=True, tag="heartbeat"):
    """Nothing in scope changed after `previous` up to `revision`. It moves on only a watcher that holds `previous`: one
    that holds less has lost an update, and watches anew. `age`: since the sender itself last heard from above that
    `revision` is the newest; at a voter since it knew so of a majority, 0 where it does not look after that."""

    session: Number
    log: LogId
    previous: Revision
    revision: Revision
    age: Duration = 0


class Unavailable(Message, frozen=True, array_like=True, tag="unavailable"):
    """The answer to a watch that can't be served now: too many newcomers, or the sender is behind the watcher. Ask
    again after `retry_after` milliseconds, or elsewhere at once. `log`, `revision`: what the sender holds."""

    session: Number
    revision: Revision
    retry_after: Duration
    reason: Reason = ""
    log: LogId = ""


class Acknowledge(Message, frozen=True, array_like=True, tag="acknowledge"):
    """`revision` is on the watcher's disk and in force there. `faults`: keys that it could not take. `parts`: so many
    parts of the snapshot at revision `snapshot`, from the first on, are in its memory; it gives credit for further
    ones, no more."""

    session: Number
    revision: Revision
    faults: Annotated[tuple[KeyFault, ...], Meta(max_length=FAULT_KEYS)] = ()
    snapshot: Revision = 0
    parts: Annotated[int, Meta(ge=0, le=4_096)] = 0


class RevisionCount(msgspec.Struct, frozen=True, array_like=True):
    """So many watchers have just this revision in force."""

    revision: Revision
    watchers: Number


class Report(Message, frozen=True, array_like=True, tag="report"):
    """A relay's sum over its watchers, to each voter. `members`: coordinators living in its zone, as far as it knows.
    `in_force`: newest first; the last stands for all that are lower, too. `worst`: those that lag longest."""

    zone: Annotated[str, Meta(max_length=63)]
    log: LogId
    revision: Revision
    watchers: Number
    members: Number
    in_force: Annotated[tuple[RevisionCount, ...], Meta(max_length=16)]
    worst: Annotated[tuple[LaggingWatcher, ...], Meta(max_length=WORST)] = ()
    faults: Annotated[tuple[KeyFault, ...], Meta(max_length=FAULT_KEYS)] = ()
    fault_count: Number = 0


class Check(Message, frozen=True, array_like=True, tag="check"):
    """Could the receiver take these entries? A relay asks one of its watchers. `mark` comes back with the answer."""

    mark: Number
    entries: tuple[Entry, ...]


class Checked(Message, frozen=True, array_like=True, tag="checked"):
    """The answer; no faults: it could. `zone`: of the coordinator that answered."""

    mark: Number
    zone: Annotated[str, Meta(max_length=63)] = ""
    faults: Annotated[tuple[KeyFault, ...], Meta(max_length=FAULT_KEYS)] = ()


AnyMessage = Watch | Unwatch | Update | SnapshotPart | Heartbeat | Unavailable | Acknowledge | Report | Check | Checked

encode: Callable[[AnyMessage], bytes] = msgspec.msgpack.Encoder().encode
decode: Callable[[bytes], AnyMessage] = msgspec.msgpack.Decoder(AnyMessage).decode
"""Raises `msgspec.MsgspecError` (or `UnicodeDecodeError`) for what is none of these messages."""
