"""The types that the parts of a fleet know one another by: members, board, mail, clock, control.

Times are microseconds of this process's own monotonic clock. What came from elsewhere carries its age, which each
holder counts on by its own clock; two machines' clocks are never compared. Everything here is called and calls back in
the reactor's thread, and nothing waits.
"""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from typing import Any, NamedTuple, Protocol

import msgspec

from rackhub.core.source import Address

Name = str  # of a gateway: the configuration's `name`, the same after a restart

DATAGRAM_LIMIT_BYTES = 1_400  # bytes that no datagram may reach
MAX_RECORD_BYTES = 900  # most bytes of one record's body on the board
MAX_MESSAGE_BYTES = 262_144  # most bytes of one piece of mail


class Clock(Protocol):
    def now(self) -> int:
        """Microseconds; only advances."""


class MemberState(Enum):
    """What this gateway holds of another one. `CUT`: it lives by others' word, and this one does not hear it or is not
    heard by it. `LEFT`: it said that it ends. `GONE`: nobody has heard of it for long enough."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    CUT = "cut"
    GONE = "gone"
    LEFT = "left"


class Member(msgspec.Struct, frozen=True):
    """One gateway as this one sees it. `boot` grows with each start of its process, `incarnation` within one."""

    name: Name
    address: Address
    generation: int
    incarnation: int
    state: MemberState
    since: int  # when this state began, by the own clock
    client_address: Address | None = None  # where its clients connect
    site: str = ""  # where it stands


class Record(NamedTuple):
    """One small record of the board: of `owner`, under `kind`; the newest number wins. `age` is at this moment."""

    owner: Name
    kind: str
    generation: int
    number: int
    age: int
    body: bytes


class Members(Protocol):
    """Who is in the fleet. The own gateway is always among them, alive."""

    local_name: Name

    def all(self) -> Mapping[Name, Member]: ...

    def live(self) -> frozenset[Name]:
        """All that live, the own one too, also those cut off from this one: alive, suspect or cut."""

    def reachable(self) -> frozenset[Name]:
        """Those of the living that this one hears and is heard by, the own one too."""

    def receives_from(self, one: Name, other: Name) -> bool | None:
        """Whether `one` hears `other`, as far as it is known here; None: not known."""

    def follow(self, call: Callable[[Member], None]) -> None:
        """Call back with each member whose state, boot number or incarnation changes, after the change."""


class GossipState(Protocol):
    """Small records, spread to all members with the probes. A record of a process before the present one of its owner
    goes when the new one is heard of; those of members gone for good go with them."""

    def publish(self, kind: str, body: bytes) -> None:
        """This gateway's newest record of that kind, in place of the one before; at most `MAX_RECORD_BYTES` bytes."""

    def read(self, kind: str) -> Mapping[Name, Record]:
        """The newest of each owner, the own one too."""

    def follow(self, kind: str, call: Callable[[Record], None]) -> None:
        """Call back with each newer record of that kind that others posted."""


class Messenger(Protocol):
    """Messages between two members, at most once each and in no order: lost, late or twice sent is for the caller to
    bear. Paged by the link where they are larger than a datagram."""

    def send(self, to: Name, kind: str, body: bytes) -> None:
        """At most `MAX_MESSAGE_BYTES` bytes; to one that is not known it is dropped and counted."""

    def subscribe(self, kind: str, call: Callable[[Name, bytes], None]) -> None:
        """Who gets the mail of that kind, with its sender."""


Answer = Callable[[Mapping[str, Any]], None]


class Control(Protocol):
    """The port that the command line speaks to: one JSON object a line each way, on `[fleet] control`."""

    def on(self, word: str, call: Callable[[Mapping[str, Any], Answer], None]) -> None:
        """`call` gets the words of each call of that name and answers once, now or later. An answer with `error` is
        exit status 1 at the command line."""


class Disk(Protocol):
    """What must outlive a restart, synced when `put` calls back: on the embedded store, or in memory for tests.
    `identity` is drawn when the disk is first used: one that is new is not the disk that was."""

    identity: str

    def get(self, key: str) -> bytes | None: ...

    def put(self, key: str, body: bytes, done: Callable[[], None]) -> None: ...


class KeyedDisk(Disk, Protocol):
    """A disk that changes many keys at once, and tells which there are."""

    def write(self, changes: Mapping[str, bytes | None], done: Callable[[], None]) -> None:
        """All of them or none, over a crash too; None deletes the key. `done` as that of `put`, in order with it."""

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Keys that begin so and their values, in order of key."""


class Fleet(NamedTuple):
    """What a part of the fleet is handed."""

    members: Members
    gossip_state: GossipState
    messenger: Messenger
    clock: Clock
    add_count: Callable[[str, int], None]  # adds to the fleet's counter of that name
    call_later: Callable[[int, Callable[[], None]], Callable[[], None]]  # after so many microseconds; gives its cancel
    seed: int  # of random streams: parts add a word of theirs


class RuleSection(Protocol):
    """Who a part of the rule book is for: `timings`, `gather` or `shed`."""

    def check(self, part: Mapping[str, Any] | None) -> None:
        """Raises `ValueError` that names each key at fault; None: the book has no such part. Changes nothing."""

    def apply(self, part: Mapping[str, Any] | None, version: int) -> None:
        """It holds for requests that come from now on; open ones end under what they began with."""


class Rules(Protocol):
    """The rule book as this gateway holds it."""

    version: int  # 0: none yet, what the files say holds

    def add_section(self, name: str, part: RuleSection) -> None:
        """Says who a part is for, before the start."""


class OverloadStatus(Protocol):
    """What the fleet's overload means for work that can be left out: gathers leave `spare` parts out first."""

    def is_shedding(self) -> bool:
        """Whether the fleet is over its level at this moment."""

    def try_spend_retry(self) -> bool:
        """Take one further attempt from the fleet's budget; False: there is none left now."""
