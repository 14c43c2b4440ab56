"""What goes into the pure cores and what comes out: `step(now, event) -> effects`. Times are microseconds.

`now` is of the process's own monotonic clock. Every core has `due()`: when a `Tick` is next of use.
"""

from enum import Enum

import msgspec

from rackhub.fleet.distribution.messages import AnyMessage, Change, Entry, KeyFault, LogId, Name, Revision


class Role(Enum):
    """What a process is in a fleet with relays."""

    VOTER = "voter"
    RELAY = "relay"
    COORDINATOR = "coordinator"


class Node(msgspec.Struct, frozen=True):
    """A voter or relay that others may watch."""

    name: Name
    role: Role
    zone: str = ""


class StoredState(msgspec.Struct, frozen=True):
    """What a watcher holds, and keeps on its disk: all entries in scope at `revision`, deleted ones left out. It is
    dropped where `scope` is another than the one that is configured."""

    log: LogId = ""
    revision: Revision = 0
    scope: tuple[str, ...] = ()
    entries: dict[str, Entry] = {}


# ---- events


class Tick(msgspec.Struct, frozen=True):
    """The time that `due` named has come."""


class Received(msgspec.Struct, frozen=True):
    """A message from another process, by the name that the link knows it under."""

    sender: Name
    message: AnyMessage


class Persisted(msgspec.Struct, frozen=True):
    """To a watcher: the `Persist` of that revision is synced on the disk."""

    revision: Revision


class Applied(msgspec.Struct, frozen=True):
    """To a watcher: the `Apply` of that revision is in force; `faults` names keys that go on with the value before."""

    revision: Revision
    faults: tuple[KeyFault, ...] = ()


class Decided(msgspec.Struct, frozen=True):
    """To a source: the register has chosen these changes, in order. Those that it holds already are passed over."""

    log: LogId
    changes: tuple[Change, ...]


class CaughtUp(msgspec.Struct, frozen=True):
    """To a source whose register no longer holds all changes that it lacks: what it got instead from another voter, and
    has on its disk. `snapshot`: that is all there is at `revision`; else all that changed after `previous`."""

    log: LogId
    previous: Revision
    revision: Revision
    entries: tuple[Entry, ...]
    snapshot: bool


class Confirmed(msgspec.Struct, frozen=True):
    """To a source: `age` microseconds ago a majority of the voters had nothing newer than what it holds. A source that
    was told so once says in its heartbeats how long ago it was; relays leave a voter that is cut off or stood still."""

    age: int = 0


class MembersChanged(msgspec.Struct, frozen=True):
    """To a relay: so many coordinators live in its zone now."""

    living: int


class CheckAsked(msgspec.Struct, frozen=True):
    """To a source: an editor wants these entries looked at, by one coordinator of each zone."""

    mark: int
    entries: tuple[Entry, ...]


Event = Tick | Received | Persisted | Applied | Decided | CaughtUp | Confirmed | MembersChanged | CheckAsked


# ---- effects


class Send(msgspec.Struct, frozen=True):
    """Hand this message to the link. It may be lost."""

    to: Name
    message: AnyMessage


class Persist(msgspec.Struct, frozen=True):
    """Write this to the disk, sync it, and answer with `Persisted`. `snapshot`: everything else that is kept there in
    scope goes; else entries are put in place of those of the same key, or deleted where their value is None."""

    log: LogId
    revision: Revision
    entries: tuple[Entry, ...]
    snapshot: bool


class Apply(msgspec.Struct, frozen=True):
    """Put this in force, and answer with `Applied`. Fields as those of `Persist`."""

    log: LogId
    revision: Revision
    entries: tuple[Entry, ...]
    snapshot: bool


class RunCheck(msgspec.Struct, frozen=True):
    """At a coordinator: look whether these entries could be taken, and send `Checked` to `to` with the same mark."""

    to: Name
    mark: int
    entries: tuple[Entry, ...]


class CheckDone(msgspec.Struct, frozen=True):
    """At a source: the answers of a check are in, or its time is over. `silent`: zones that did not answer."""

    mark: int
    faults: tuple[KeyFault, ...]
    silent: tuple[str, ...]


class IncrementCounter(msgspec.Struct, frozen=True):
    """Add to the counter of that name; `sender` where it was somebody's fault."""

    name: str
    sender: str = ""


Effect = Send | Persist | Apply | RunCheck | CheckDone | IncrementCounter
