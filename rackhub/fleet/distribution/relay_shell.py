"""The shell of a relay: its core on the link, and the number of live coordinators in its zone."""

from rackhub.fleet.distribution.core_runner import CoreRunner, Inbox
from rackhub.fleet.distribution.events import Effect, MembersChanged
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import (
    Acknowledge,
    Check,
    Checked,
    Heartbeat,
    SnapshotPart,
    Unavailable,
    Unwatch,
    Update,
    Watch,
)
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.relay import Relay
from rackhub.fleet.ports import Fleet, Member, Name

RELAY_MESSAGE_TYPES = (Watch, Unwatch, Update, SnapshotPart, Heartbeat, Unavailable, Acknowledge, Check, Checked)


class RelayShell:
    """Runs a relay.

    `nodes` are the names of all voters and relays; as members of the zone they don't count as coordinators.
    """

    def __init__(self, fleet: Fleet, identity: Identity, nodes: frozenset[Name], limits: Limits):
        self._fleet, self._nodes = fleet, nodes
        self._relay = Relay(identity, limits, fleet.clock.now())
        self.inbox = Inbox(fleet)
        self._runner = CoreRunner(fleet, self.inbox, self._relay, self._perform)
        self.inbox.route(RELAY_MESSAGE_TYPES, self._runner.on_message)
        self._live_coordinators = -1
        self._stopped = False

    @property
    def version(self) -> int:
        """The revision that the relay has and serves."""
        return self._relay.revision

    @property
    def upstream(self) -> str:
        """The voter that is being watched; empty while there is none."""
        return self._relay.upstream or ""

    def start(self) -> None:
        """Start to watch, to serve and to follow the zone's members."""
        self._fleet.members.follow(self._member_changed)
        self.inbox.start()
        self._runner.start()
        self._count_members()

    def stop(self) -> None:
        """Stop watching and serving."""
        self._stopped = True
        self._runner.stop()

    def metrics(self) -> dict[str, float]:
        """Return the metrics by name."""
        return {
            "distribution_revision": float(self.version),
            "distribution_watchers": float(self._relay.watchers),
            "distribution_upstream": float(bool(self.upstream)),
            "distribution_members": float(max(self._live_coordinators, 0)),
        }

    def _perform(self, effect: Effect) -> None:
        raise AssertionError(f"a relay can't perform {type(effect).__name__}: it has neither a disk nor rule sections")

    def _member_changed(self, member: Member) -> None:
        self._count_members()

    def _count_members(self) -> None:
        """Pass the number of live coordinators to the core if it has changed. `nodes` contains the relay itself."""
        live_coordinators = len(self._fleet.members.live() - self._nodes)
        if live_coordinators != self._live_coordinators and not self._stopped:
            self._live_coordinators = live_coordinators
            self._runner.dispatch(MembersChanged(live_coordinators))
