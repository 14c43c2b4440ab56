"""The interfaces of the cores (`watcher`, `relay`, `source`) for shells, the scale run and tests."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from rackhub.fleet.distribution.events import Effect, Event, Node
from rackhub.fleet.distribution.messages import LaggingWatcher, Name, Revision


class Core(Protocol):
    """A watcher, relay or source. It does no I/O, reads no clock and seeds its own random generator."""

    def step(self, now: int, event: Event) -> Sequence[Effect]:
        """Handle an event and do what is due at `now`. Return the effects in order."""
        ...

    def due(self) -> int:
        """Return when a `Tick` is next needed, in microseconds. It may lie slightly in the past."""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """The identity of a core. A coordinator's `upstreams` are the relays of all zones, a relay's are all voters."""

    name: Name
    zone: str = ""
    upstreams: tuple[Node, ...] = ()
    scope: tuple[str, ...] = ("",)
    seed: int = 0
    generation: int = 0  # grows with each start of the process; session numbers begin above it


class FleetStatus(msgspec.Struct, frozen=True):
    """How far a revision has been applied, as a source knows it. `lagging` is `expected` - `in_force`."""

    revision: Revision
    in_force: int
    expected: int
    lagging: int
    oldest_lag_ms: int
    most_lagging: tuple[LaggingWatcher, ...]
    fault_count: int


class Status(Protocol):
    """The status query of a source; None means the newest revision."""

    def status(self, now: int, revision: Revision | None = None) -> FleetStatus:
        """Return how far a revision has been applied."""
        ...


# The constructors and attributes of the cores:
#
# watcher.Watcher(identity: Identity, stored: StoredState, limits: Limits, now: int)
#     .stored: StoredState, .revision: Revision (applied), .upstream: Name | None
#     The shell applies `stored` before the first step.
# relay.Relay(identity: Identity, limits: Limits, now: int)
#     .revision: Revision (served), .watchers: int
# source.Source(identity: Identity, stored: StoredState, limits: Limits, now: int)
#     .revision: Revision, .status as in `Status`
#     It has no upstreams. The shell persists a change before it passes `Decided`.
