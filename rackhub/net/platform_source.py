"""The platform as the source of settings and endpoint lists: its file at startup, then its resolver."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from twisted.internet.error import CannotListenError

from rackhub import interface, logs
from rackhub.core.source import Address, EndpointPollObserver, EndpointSnapshot
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.resolver import ResolverClient

log = logs.logger(__name__)


def merge_events(events: Sequence[EndpointSnapshot]) -> EndpointSnapshot:
    """Return the list after consecutive events: a complete list, then changes in which removed engines are `Gone`."""
    entries: dict[str, interface.EngineEntry] = {}
    addresses: dict[str, Address] = {}
    for event in events:
        for entry in event.entries:
            entries[entry.engine] = entry
            addresses[entry.engine] = event.addresses[entry.engine]
    present = tuple(entry for _, entry in sorted(entries.items()) if entry.state != "Gone")
    revision = events[-1].revision if events else 0
    return EndpointSnapshot(revision, present, {entry.engine: addresses[entry.engine] for entry in present})


class ReloadedFile(NamedTuple):
    """The parts of the platform's file that a reload applies: the resolver's address and the endpoint list."""

    server: Address
    endpoints: EndpointSnapshot


class PlatformSource:
    """The settings and endpoint lists of the platform. Implements `core.source.Source`."""

    def __init__(
        self,
        reactor: Any,
        settings: interface.Settings,
        start: EndpointSnapshot,
        server: Address,
        limits: Limits,
        counters: Counters,
        reread: Callable[[], ReloadedFile],
    ):
        """`reactor` provides Twisted's `IReactorUDP` and `IReactorTime`; `server` is the resolver's address.

        `reread` reads and validates the file again, and raises `ValueError` if it is invalid.
        """
        self.settings = settings
        self.initial_snapshot = start
        self._reactor = reactor
        self._server = server
        self._limits = limits
        self._counters = counters
        self._reread = reread
        self._resolver: ResolverClient | None = None
        self._ports: list[Any] = []  # UDP ports: the last one sends the polls, the others may still receive answers

    def subscribe(
        self, on_change: Callable[[EndpointSnapshot], None], observer: EndpointPollObserver | None = None
    ) -> None:
        """Start polling. Calls `on_change` with each new list, and notifies `observer` of polls and valid answers."""
        self._resolver = ResolverClient(
            self._reactor,
            self._server,
            self.initial_snapshot,
            on_change,
            self._limits,
            self._counters,
            self._open_new_socket,
            observer,
            self._close_old_sockets,
        )
        self._ports = [self._open_port()]

    def _open_port(self) -> Any:
        return self._reactor.listenUDP(0, self._resolver, maxPacketSize=self._limits.max_dns_response_bytes)

    def _open_new_socket(self) -> None:
        """Send further polls from a new socket, or from the present one if no descriptor is free.

        Up to `limits.max_resolver_sockets` stay open: otherwise an answer that takes longer than the interval between
        two sockets would never be received.
        """
        try:
            port = self._open_port()
        except CannotListenError as fault:
            log.warning("resolver_socket_kept", reason=str(fault))
            return
        self._counters.add("dns_sockets")
        log.debug("resolver_socket_renewed", reason="no valid answer", port=port.getHost().port)
        self._ports.append(port)
        self._close_oldest(self._limits.max_resolver_sockets)

    def _close_old_sockets(self) -> None:
        self._close_oldest(1)

    def _close_oldest(self, remaining: int) -> None:
        """Close the oldest sockets until `remaining` of them are open."""
        while len(self._ports) > remaining:
            self._ports.pop(0).stopListening()

    def reload(self) -> None:
        """Read the file again. An invalid file, such as a half-written one, is logged and changes nothing."""
        self._counters.add("reloads")
        try:
            server, endpoints = self._reread()
        except ValueError as invalid:
            self._counters.add("reloads_bad")
            log.error("reload: bad configuration, the previous one stays active: %s", invalid)
            return
        log.info("reloaded", resolver=f"{server[0]}:{server[1]}")
        if self._resolver is not None:
            self._resolver.change_resolver(server)
            self._resolver.apply_configured(endpoints)
