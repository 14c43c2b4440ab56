"""Distribution as a component of the fleet: the shell of the configured role, its link and its control commands.

Loaded only if `[fleet] role` is set.
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
from rackhub.fleet.distribution.service import register_calls
from rackhub.fleet.distribution.voter import Voter
from rackhub.fleet.link.message_transport import MessageTransport
from rackhub.fleet.ports import Control, Fleet, KeyedDisk, RuleSection
from rackhub.fleet.settings import FleetSettings

log = logging.getLogger(__name__)

BIND_RETRY_DELAY = 250_000  # microseconds until the next attempt to bind an address that is in use


class Distribution:
    """`disk` is None at a relay.

    Call `add_section` before `start` for each section of the rule set that this process has. Raises `ValueError` if the
    disk belongs to another process. `stop` may be called twice.
    """

    def __init__(
        self, reactor: Any, fleet: Fleet, settings: FleetSettings, control: Control | None, disk: KeyedDisk | None
    ):
        self._settings, self._control = settings, control
        self._generation = fleet.members.all()[fleet.members.local_name].generation
        self._transport = _message_transport(reactor, fleet, settings, self._generation)
        self._fleet = fleet._replace(messenger=self._transport)
        self.shell = self._shell(disk)
        self._cancel: Callable[[], None] = lambda: None
        self._address_in_use = False
        self._stopped = False

    @property
    def version(self) -> int:
        """The applied revision of a coordinator, the synced one of a voter, or the served one of a relay."""
        return self.shell.version

    def add_section(self, name: str, section: RuleSection) -> None:
        """Register the component that applies this section of the rule set. A relay applies no rules."""
        if not isinstance(self.shell, RelayShell):
            self.shell.add_section(name, section)

    def start(self) -> None:
        """Register the control commands, open the link and start the role.

        An address that is in use is retried until it is free. Raises `OSError` if the address can't be bound for
        another reason.
        """
        if self._control is not None:
            register_calls(self._control, self.shell, self._settings, self._fleet)
        self._open_link()
        self.shell.start()

    def stop(self) -> None:
        """Stop the role and close the link."""
        if self._stopped:
            return
        self._stopped = True
        self._cancel()
        self.shell.stop()
        self._transport.stop()

    def metrics(self) -> dict[str, float]:
        """Return the metrics of the link and the role by name."""
        link = {f"distribution_{name}": metric for name, metric in self._transport.metrics().items()}
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
        if self._stopped:
            return
        try:
            self._transport.start()
        except OSError as bad:
            if bad.errno != errno.EADDRINUSE:
                raise OSError(bad.errno, f"watch: {bad.strerror or bad}") from None
            if not self._address_in_use:
                log.warning("fleet: watch: %s; retrying until the address is free", bad)
            self._address_in_use = True
            self._cancel = self._fleet.call_later(BIND_RETRY_DELAY, self._open_link)


def _message_transport(reactor: Any, fleet: Fleet, settings: FleetSettings, generation: int) -> MessageTransport:
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
