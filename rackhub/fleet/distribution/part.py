"""Distribution in a process of the fleet: the role's shell on a mail link and a disk, its calls on the control port.

Loaded only where `[fleet] role` is set.
"""

import errno
import logging
from collections.abc import Callable
from typing import Any

from rackhub.address import parse_ipv4_address
from rackhub.fleet.distribution.coordinator import Coordinator
from rackhub.fleet.distribution.events import Node, Role
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.ports import Identity
from rackhub.fleet.distribution.relay_shell import RelayShell
from rackhub.fleet.distribution.service import offer
from rackhub.fleet.distribution.voter import Voter
from rackhub.fleet.link.message_transport import MessageTransport
from rackhub.fleet.ports import Control, Fleet, KeyedDisk, RuleSection
from rackhub.fleet.settings import FleetSettings

log = logging.getLogger(__name__)

ADDRESS_AGAIN = 250_000  # microseconds until an address that is taken is tried again


class Distribution:
    """`disk`: None at a relay. `part` is called before `start` for each part of the rule book that runs here. Raises
    `ValueError` where the disk is that of another process. `stop` may be called twice."""

    def __init__(
        self, reactor: Any, fleet: Fleet, settings: FleetSettings, control: Control | None, disk: KeyedDisk | None
    ):
        self._settings, self._control = settings, control
        self._generation = fleet.members.all()[fleet.members.local_name].generation
        self._link = _mail_link(reactor, fleet, settings, self._generation)
        self._fleet = fleet._replace(messenger=self._link)
        self.shell = self._shell(disk)
        self._cancel: Callable[[], None] = lambda: None
        self._waits_for_address = False
        self._ended = False

    @property
    def version(self) -> int:
        """The revision that is in force, or held where nothing of it is put in force."""
        return self.shell.version

    def add_section(self, name: str, part: RuleSection) -> None:
        if not isinstance(self.shell, RelayShell):
            self.shell.add_section(name, part)

    def start(self) -> None:
        """Raises `OSError` where the address can't be had; one that is taken is tried again until it is free."""
        if self._control is not None:
            offer(self._control, self.shell, self._settings, self._fleet)
        self._open_link()
        self.shell.start()

    def stop(self) -> None:
        if self._ended:
            return
        self._ended = True
        self._cancel()
        self.shell.stop()
        self._link.stop()

    def metrics(self) -> dict[str, float]:
        link = {f"distribution_{name}": figure for name, figure in self._link.metrics().items()}
        return link | self.shell.metrics()

    def _shell(self, disk: KeyedDisk | None) -> Coordinator | RelayShell | Voter:
        settings, limits = self._settings, Limits()
        nodes = tuple(Node(node.name, Role(node.role), node.zone) for node in settings.node)
        voters = tuple(node for node in nodes if node.role is Role.VOTER)
        relays = tuple(node for node in nodes if node.role is Role.RELAY)
        role = Role(settings.role)
        if role is Role.RELAY:
            names = frozenset(node.name for node in nodes)
            return RelayShell(self._fleet, self._identity(voters), names, limits)
        assert disk is not None
        if role is Role.COORDINATOR:
            return Coordinator(self._fleet, self._identity(relays, settings.scope), disk, limits)
        names_of_voters = tuple(sorted(node.name for node in voters))
        return Voter(self._fleet, self._identity(), names_of_voters, disk, limits)

    def _identity(self, upstreams: tuple[Node, ...] = (), scope: tuple[str, ...] = ("",)) -> Identity:
        return Identity(
            name=self._settings.name,
            zone=self._settings.zone,
            upstreams=upstreams,
            scope=scope,
            seed=self._fleet.seed,
            generation=self._generation,
        )

    def _open_link(self) -> None:
        if self._ended:
            return
        try:
            self._link.start()
        except OSError as bad:
            if bad.errno != errno.EADDRINUSE:
                raise OSError(bad.errno, f"watch: {bad.strerror or bad}") from None
            if not self._waits_for_address:
                log.warning("fleet: watch: %s: tried again until it is free", bad)
            self._waits_for_address = True
            self._cancel = self._fleet.call_later(ADDRESS_AGAIN, self._open_link)


def _mail_link(reactor: Any, fleet: Fleet, settings: FleetSettings, generation: int) -> MessageTransport:
    directory = {node.name: parse_ipv4_address(node.address, "node") for node in settings.node}
    return MessageTransport(
        reactor,
        parse_ipv4_address(settings.watch, "watch"),
        settings.cluster,
        settings.name,
        generation,
        parse_ipv4_address(settings.watch_advertise or settings.watch, "watch"),
        directory,
        seed=fleet.seed,
        clock=fleet.clock,
    )
