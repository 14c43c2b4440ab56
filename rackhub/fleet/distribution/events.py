"""Events and effects of the pure cores: `step(now, event) -> effects`.

Times are microseconds of the process's own monotonic clock. The method `due()` of a core returns when a `Tick` is next
needed.
"""

from enum import Enum

import msgspec

from rackhub.fleet.distribution.messages import AnyMessage, Change, Entry, KeyFault, LogId, Name, Revision


class Role(Enum):
    """The role of a process in a fleet with relays."""

    VOTER = "voter"
    RELAY = "relay"
    COORDINATOR = "coordinator"


class Node(msgspec.Struct, frozen=True):
    """A voter or relay that other processes may watch."""

    name: Name
    role: Role
    zone: str = ""


class StoredState(msgspec.Struct, frozen=True):
    """The state that a watcher has on disk: all existing entries in scope at `revision`.

    It is dropped if `scope` differs from the configured scope.
    """

    log: LogId = ""
    revision: Revision = 0
    scope: tuple[str, ...] = ()
    entries: dict[str, Entry] = {}


# ---- events


class Tick(msgspec.Struct, frozen=True):
    """The time returned by `due` has come."""


class Received(msgspec.Struct, frozen=True):
    """A message from another process. `sender` is its name on the link."""

    sender: Name
    message: AnyMessage


class Persisted(msgspec.Struct, frozen=True):
    """To a watcher: the `Persist` effect of that revision is synced to disk."""

    revision: Revision


class Applied(msgspec.Struct, frozen=True):
    """To a watcher: the `Apply` effect of that revision is done. Keys in `faults` keep their previous values."""

    revision: Revision
    faults: tuple[KeyFault, ...] = ()


class Decided(msgspec.Struct, frozen=True):
    """To a source: the register has chosen these changes, in order. Changes that it already has are skipped."""

    log: LogId
    changes: tuple[Change, ...]


class CaughtUp(msgspec.Struct, frozen=True):
    """To a source: what a catch-up from another voter has brought, which is now on the disk.

    With `snapshot`, the entries are all that exist at `revision`; else they are all that changed after `previous`.
    """

    log: LogId
    previous: Revision
    revision: Revision
    entries: tuple[Entry, ...]
    snapshot: bool


class Confirmed(msgspec.Struct, frozen=True):
    """To a source: `age` microseconds ago a majority of the voters had nothing newer than the source has.

    Once a source has received this event, its heartbeats contain the age, so that relays leave a voter that is cut off
    or was stalled.
    """

    age: int = 0


class MembersChanged(msgspec.Struct, frozen=True):
    """To a relay: the number of live coordinators in its zone has changed."""

    live: int


class CheckRequested(msgspec.Struct, frozen=True):
    """To a source: have one coordinator of each zone check these entries for an editor."""

    check_id: int
    entries: tuple[Entry, ...]


Event = Tick | Received | Persisted | Applied | Decided | CaughtUp | Confirmed | MembersChanged | CheckRequested


# ---- effects


class Send(msgspec.Struct, frozen=True):
    """Send a message over the link. It may be lost."""

    to: Name
    message: AnyMessage


class Persist(msgspec.Struct, frozen=True):
    """Write this to disk, sync it, and answer with `Persisted`.

    With `snapshot`, the entries replace everything in scope on the disk. Else each entry replaces that of the same key,
    or deletes it if its value is None.
    """

    log: LogId
    revision: Revision
    entries: tuple[Entry, ...]
    snapshot: bool


class Apply(msgspec.Struct, frozen=True):
    """Apply this and answer with `Applied`. The fields are those of `Persist`."""

    log: LogId
    revision: Revision
    entries: tuple[Entry, ...]
    snapshot: bool


class RunCheck(msgspec.Struct, frozen=True):
    """At a coordinator: check whether these entries could be applied, and send `Checked` with the same id to `to`."""

    to: Name
    check_id: int
    entries: tuple[Entry, ...]


class CheckDone(msgspec.Struct, frozen=True):
    """At a source: a check has ended, with all answers or by its timeout. Zones in `unanswered` did not answer."""

    check_id: int
    faults: tuple[KeyFault, ...]
    unanswered: tuple[str, ...]


class IncrementCounter(msgspec.Struct, frozen=True):
    """Increment a counter. `sender` is the process that caused the fault, if any."""

    name: str
    sender: str = ""


Effect = Send | Persist | Apply | RunCheck | CheckDone | IncrementCounter
