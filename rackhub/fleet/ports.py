"""The types by which the components of a fleet use each other: members, gossip state, messenger, clock, control.

Times are microseconds of this process's own monotonic clock. Received data carries its age, which each receiver adds to
by its own clock; the clocks of two machines are never compared. All functions are called, and call back, in the
reactor's thread, and none of them blocks.
"""

from collections.abc import Callable, Iterator, Mapping
from enum import Enum
from typing import Any, NamedTuple, Protocol

import msgspec

from rackhub.core.source import Address

Name = str  # name of a gateway: `name` in its configuration, the same after a restart

DATAGRAM_LIMIT_BYTES = 1_400  # size that every datagram is below
MAX_RECORD_BYTES = 900  # maximum size of the body of one gossip record
MAX_MESSAGE_BYTES = 262_144  # maximum size of the body of one message


class Clock(Protocol):
    """A monotonic clock."""

    def now(self) -> int:
        """Microseconds; never goes back."""


class MemberState(Enum):
    """The state of another gateway as this one sees it.

    `CUT`: other members report it alive, but this gateway does not receive from it or is not received by it.
    `LEFT`: it announced its end. `GONE`: nothing was heard from it until the suspicion of it timed out.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    CUT = "cut"
    GONE = "gone"
    LEFT = "left"


class Member(msgspec.Struct, frozen=True):
    """One gateway as this one sees it.

    `generation` grows with each start of its process, `incarnation` (as in SWIM) within one generation.
    """

    name: Name
    address: Address
    generation: int
    incarnation: int
    state: MemberState
    since: int  # local time at which `state` began
    client_address: Address | None = None  # address at which it accepts clients, if it is known
    site: str = ""  # name of its installation, from the settings


class Record(NamedTuple):
    """One gossip record of `owner` under `kind`: the one with the highest generation and number replaces all others.

    `age` is in microseconds at the time of the call that returned the record.
    """

    owner: Name
    kind: str
    generation: int
    number: int
    age: int
    body: bytes


class Members(Protocol):
    """The members of the fleet. The local gateway is always one of them, and alive."""

    local_name: Name

    def all(self) -> Mapping[Name, Member]:
        """Return all known members by name, whatever their state."""

    def live(self) -> frozenset[Name]:
        """Return the members that are alive, suspect or cut, the local one included."""

    def reachable(self) -> frozenset[Name]:
        """Return the live members with which messages pass in both directions, the local one included."""

    def receives_from(self, one: Name, other: Name) -> bool | None:
        """Return whether member `one` receives from member `other`; None if that is not known here."""

    def follow(self, call: Callable[[Member], None]) -> None:
        """Call back with each member whose state, generation or incarnation changed, after the change."""


class GossipState(Protocol):
    """Small records that SWIM's probes spread to all members.

    When a new generation of their owner is known, the records of the previous one are dropped; those of members that
    are gone for good are dropped with the member.
    """

    def publish(self, kind: str, body: bytes) -> None:
        """Replace the local record of that kind; `body` has at most `MAX_RECORD_BYTES` bytes."""

    def read(self, kind: str) -> Mapping[Name, Record]:
        """Return the newest record of each owner, the local one included."""

    def follow(self, kind: str, call: Callable[[Record], None]) -> None:
        """Call back with each newer record of that kind that another member published."""


class Messenger(Protocol):
    """Messages between two members, each delivered at most once and in no order.

    A message may be lost or late; callers repeat what they need to. The link splits large messages into pages.
    """

    def send(self, to: Name, kind: str, body: bytes) -> None:
        """Send at most `MAX_MESSAGE_BYTES` bytes; a message to an unknown member is dropped and counted."""

    def subscribe(self, kind: str, call: Callable[[Name, bytes], None]) -> None:
        """Set the receiver of messages of that kind; it gets the name of the sender and the body."""


Answer = Callable[[Mapping[str, Any]], None]


class Control(Protocol):
    """The control port of the command line at `[fleet] control`: one JSON object a line in each direction."""

    def on(self, command: str, handler: Callable[[Mapping[str, Any], Answer], None]) -> None:
        """Set the handler of a command; it gets the request and answers it once, now or later.

        After an answer with the key `error` the command line exits with status 1.
        """


class Disk(Protocol):
    """Keys and values that outlive a restart: on the embedded store, or in memory for tests.

    `identity` is drawn when the disk is first used, so that a replaced disk is recognised.
    """

    identity: str

    def get(self, key: str) -> bytes | None:
        """Return the value of a key, None if there is none."""

    def put(self, key: str, body: bytes, done: Callable[[], None]) -> None:
        """Set the value of a key; `done` is called when it is synced."""


class KeyedDisk(Disk, Protocol):
    """A disk that changes several keys at once and lists its keys."""

    def write(self, changes: Mapping[str, bytes | None], done: Callable[[], None]) -> None:
        """Make all changes or none, also across a crash; None deletes a key.

        `done` is called when they are synced, in the order of all calls of `write` and `put`.
        """

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Yield the keys with that prefix and their values, in the order of the keys."""


class Fleet(NamedTuple):
    """The ports that each component of the fleet gets."""

    members: Members
    gossip_state: GossipState
    messenger: Messenger
    clock: Clock
    add_count: Callable[[str, int], None]  # adds to the fleet's counter of that name
    # Calls a function after a delay in microseconds; returns a function that cancels the call.
    call_later: Callable[[int, Callable[[], None]], Callable[[], None]]
    seed: int  # seed of random streams; each component mixes in a name of its own


class RuleSection(Protocol):
    """The component that a section of the rule set is for: `timings`, `gather` or `shed`."""

    def check(self, section: Mapping[str, Any] | None) -> None:
        """Raise `ValueError` that names each invalid key; change nothing. None: the rule set has no such section."""

    def apply(self, section: Mapping[str, Any] | None, version: int) -> None:
        """Apply the section to requests that are received from now on; open requests keep the previous rules."""


class Rules(Protocol):
    """The versioned rule set as this gateway applies it."""

    version: int  # 0: none is applied yet, and the rules of the files are active

    def add_section(self, name: str, section: RuleSection) -> None:
        """Set the component that a section is for, before the start."""


class OverloadStatus(Protocol):
    """The fleet's overload for optional work: gathers leave out their `spare` subrequests first."""

    def is_shedding(self) -> bool:
        """Return whether the fleet sheds requests now."""

    def try_spend_retry(self) -> bool:
        """Spend one retry of the fleet's budget; return False if none is available."""
