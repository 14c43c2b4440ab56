"""The platform as the source of settings and endpoint lists: its file at the start, then its resolver."""

from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from twisted.internet.error import CannotListenError

from rackhub import interface, logs
from rackhub.core.source import Address, EndpointPollObserver, EndpointSnapshot
from rackhub.counters import Counters
from rackhub.limits import Limits
from rackhub.net.resolver import Resolver

log = logs.logger(__name__)


def merge_events(events: Sequence[EndpointSnapshot]) -> EndpointSnapshot:
    """Return the list that consecutive events result in; the first is a complete list, removed engines are `Gone`."""
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
    """What a reload uses of the platform's file: the resolver's address, and the endpoint list as the file has it."""

    server: Address
    endpoints: EndpointSnapshot


class PlatformSource:
    """Settings and endpoint lists of the platform: see `core.source.Source`."""

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

        `reread` reads and checks the file again; `ValueError` where it is invalid.
        """
        self.settings = settings
        self.initial_snapshot = start
        self._reactor = reactor
        self._server = server
        self._limits = limits
        self._counters = counters
        self._reread = reread
        self._resolver: Resolver | None = None
        self._ports: list[Any] = []  # polls go out from the last one; the others may still receive answers

    def subscribe(self, notify: Callable[[EndpointSnapshot], None], lease: EndpointPollObserver | None = None) -> None:
        """Call back with each list that is new from now on; `lease` is notified of polls and good answers."""
        self._resolver = Resolver(
            self._reactor,
            self._server,
            self.initial_snapshot,
            notify,
            self._limits,
            self._counters,
            self._renew,
            lease,
            self._settle,
        )
        self._ports = [self._open_port()]

    def _open_port(self) -> Any:
        return self._reactor.listenUDP(0, self._resolver, maxPacketSize=self._limits.max_dns_response_bytes)

    def _renew(self) -> None:
        """Open a new socket before an old one closes: where no descriptor is free, the last one goes on.

        Those before it stay open for a while: answers that take longer than the time between two sockets would never
        be received.
        """
        try:
            port = self._open_port()
        except CannotListenError as fault:
            log.warning("resolver_socket_kept", reason=str(fault))
            return
        self._counters.add("dns_sockets")
        log.debug("resolver_socket_renewed", reason="no good answer", port=port.getHost().port)
        self._ports.append(port)
        self._close_oldest(self._limits.max_resolver_sockets)

    def _settle(self) -> None:
        self._close_oldest(1)

    def _close_oldest(self, remaining: int) -> None:
        """Close the oldest sockets until `remaining` are left."""
        while len(self._ports) > remaining:
            self._ports.pop(0).stopListening()

    def reload(self) -> None:
        """Read the file again; one that is invalid, or half written, is logged and changes nothing."""
        self._counters.add("reloads")
        try:
            server, endpoints = self._reread()
        except ValueError as invalid:
            self._counters.add("reloads_bad")
            log.error("reload: bad configuration, the old one holds: %s", invalid)
            return
        log.info("reloaded", resolver=f"{server[0]}:{server[1]}")
        if self._resolver is not None:
            self._resolver.move(server)
            self._resolver.apply_configured(endpoints)
