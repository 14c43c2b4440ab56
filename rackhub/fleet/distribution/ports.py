"""How shells, the scale run and the tests see the cores: the signatures that `watcher`, `relay` and `source` keep."""

from collections.abc import Sequence
from typing import Protocol

import msgspec

from rackhub.fleet.distribution.events import Effect, Event, Node
from rackhub.fleet.distribution.messages import LaggingWatcher, Name, Revision


class Core(Protocol):
    """A watcher, relay or source. It does no I/O and has no clock; the random stream is seeded by its maker."""

    def step(self, now: int, event: Event) -> Sequence[Effect]: ...

    def due(self) -> int:
        """When a `Tick` is next of use, in microseconds; never in the past of the last step by more than one grain."""


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Who a core is. `upstreams` of a coordinator: all relays, its zone's and others; of a relay: all voters."""

    name: Name
    zone: str = ""
    upstreams: tuple[Node, ...] = ()
    scope: tuple[str, ...] = ("",)
    seed: int = 0
    generation: int = 0  # greater at each start of the process: session numbers begin above it


class FleetStatus(msgspec.Struct, frozen=True):
    """What a source knows of a revision. `lagging` = `expected` - `in_force`; `oldest`: milliseconds."""

    revision: Revision
    in_force: int
    expected: int
    lagging: int
    oldest: int
    worst: tuple[LaggingWatcher, ...]
    fault_count: int


class Status(Protocol):
    """What a source tells of a revision, the newest where none is given."""

    def status(self, now: int, revision: Revision | None = None) -> FleetStatus: ...


# The constructors that the cores have:
#   watcher.Watcher(identity: Identity, held: StoredState, limits: Limits, now: int)
#       .held: StoredState, .revision: Revision (in force), .upstream: Name | None; its shell puts `held` in force
#   relay.Relay(identity: Identity, limits: Limits, now: int)
#       .revision: Revision (held), .watchers: int
#   source.Source(identity: Identity, held: StoredState, limits: Limits, now: int)
#       .revision: Revision, .status as in `Status`; it has no upstreams, and its shell persists a change before it
#       hands in `Decided`.
