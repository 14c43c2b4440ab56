"""A relay's side: its core on mail, and how many coordinators live in its zone by the members' word."""

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

TAKEN = (Watch, Unwatch, Update, SnapshotPart, Heartbeat, Unavailable, Acknowledge, Check, Checked)


class RelayShell:
    """`nodes`: names of all voters and relays, which are no coordinators where they are members of the zone."""

    def __init__(self, fleet: Fleet, identity: Identity, nodes: frozenset[Name], limits: Limits):
        self._fleet, self._nodes = fleet, nodes
        self._relay = Relay(identity, limits, fleet.clock.now())
        self.inbox = Inbox(fleet)
        self._runner = CoreRunner(fleet, self.inbox, self._relay, self._perform)
        self.inbox.route(TAKEN, self._runner.on_message)
        self._living = -1
        self._ended = False

    @property
    def version(self) -> int:
        """The revision that it holds."""
        return self._relay.revision

    @property
    def upstream(self) -> str:
        return self._relay.upstream or ""

    def start(self) -> None:
        self._fleet.members.follow(self._member_changed)
        self.inbox.start()
        self._runner.start()
        self._count_members()

    def stop(self) -> None:
        self._ended = True
        self._runner.stop()

    def metrics(self) -> dict[str, float]:
        return {
            "distribution_revision": float(self.version),
            "distribution_watchers": float(self._relay.watchers),
            "distribution_upstream": float(bool(self.upstream)),
            "distribution_members": float(max(self._living, 0)),
        }

    def _perform(self, effect: Effect) -> None:
        raise AssertionError(f"a relay asks for {type(effect).__name__}, which it has no disk or parts for")

    def _member_changed(self, member: Member) -> None:
        self._count_members()

    def _count_members(self) -> None:
        """Tell the core where the number of coordinators has changed. The relay itself is among its nodes."""
        living = len(self._fleet.members.live() - self._nodes)
        if living != self._living and not self._ended:
            self._living = living
            self._runner.dispatch(MembersChanged(living))
