"""Pools of connections to engines: they select a connection for each attempt and follow the endpoint list.

The pools are independent of the engines' protocol and use connections through `EngineLink`.
"""

from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory

from rackhub import interface, logs
from rackhub.core.coordinator import Coordinator
from rackhub.core.request import Attempt
from rackhub.core.source import Address
from rackhub.core.timers import Clock
from rackhub.counters import Counters
from rackhub.limits import Limits

log = logs.logger(__name__)


class EngineLink(Protocol):
    """One connection to an engine as the pool uses it. Times are microseconds."""

    closed: bool

    def accepts(self, attempt: Attempt) -> bool:
        """Return whether a new attempt may use this connection."""

    def enqueue(self, attempt: Attempt) -> None:
        """Accept an attempt, which is sent once the connection is up and writable."""

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt. Does nothing if it is no longer on this connection."""

    def promote(self, attempt: Attempt) -> None:
        """Notify the engine that the priority of an attempt has changed, if the protocol supports that."""

    def close_if_idle(self) -> None:
        """Close the connection if no attempt is open on it."""

    def idle_since(self) -> int:
        """Return the time of the last use of the connection."""

    def load(self) -> int:
        """Return the number of open attempts."""

    def retire(self) -> None:
        """Accept no attempts, return those not sent yet, and close when those in flight have ended."""

    def check_timeouts(self, now: int) -> None:
        """End the attempts, or the connection, that have timed out. Called periodically."""

    def connect_failed(self) -> None:
        """End the attempts queued for the connection as not executed."""


class EnginePool:
    """The connections to one incarnation of an engine.

    An engine is identified by its name, as its address may later be that of another engine. A pool is not reused after
    a restart of the engine under the same name.
    """

    def __init__(self, name: str, address: Address, counters: Counters, started_at: int = 0):
        """`started_at` is the start time of the engine in the endpoint list."""
        self.name = name
        self.address = address
        self.counters = counters
        self.started_at = started_at
        self.links: list[EngineLink] = []
        self.replace_connection: Callable[[EnginePool], None] | None = None  # set by `EnginePools`
        self.dials: dict[EngineLink, Any] = {}  # the connectors (IConnector) of the links that are not up yet

    def connection_closed(self, link: EngineLink) -> None:
        """Remove a connection that has closed."""
        if link in self.links:
            self.links.remove(link)

    def connection_used_up(self) -> None:
        """Have a connection replaced that has closed because its protocol allows no second attempt on it."""
        if self.replace_connection is not None:
            self.replace_connection(self)

    def retire(self) -> None:
        """Send no more attempts: those queued for a dial return unsent, those in flight end, idle connections close."""
        for link in list(self.links):
            if not self.cancel_dial(link):
                link.retire()

    def cancel_dial(self, link: EngineLink) -> bool:
        """Stop connecting, which then counts as failed. Returns False if the connection is up already."""
        dial = self.dials.pop(link, None)
        if dial is not None:
            dial.stopConnecting()
        return dial is not None

    def dial_failed(self, link: EngineLink) -> None:
        """Remove a connection that could not be established, and end the attempts queued for it."""
        self.counters.add("engine_dial_failures")
        log.debug("engine_dial_failed", engine=self.name, waiting=link.load())
        self.dials.pop(link, None)
        self.connection_closed(link)
        link.connect_failed()


class EngineDialFactory(ClientFactory):
    """The Twisted factory of one dial, which reports the result to the pool."""

    noisy = False

    def __init__(self, pool: EnginePool, link: EngineLink):
        """`link` is also the Twisted protocol of the connection."""
        self._pool = pool
        self._link = link

    def buildProtocol(self, addr: object) -> Any:  # noqa: N802
        """Return the protocol object of the established connection (Twisted)."""
        del self._pool.dials[self._link]
        return self._link

    def clientConnectionLost(self, connector: Any, reason: object) -> None:  # noqa: N802
        """Break the reference cycles of a lost connection (Twisted): some protocols dial for each attempt."""
        connector.transport = None
        del self._link

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        """Report a dial that was refused, timed out or cancelled (Twisted)."""
        self._pool.dial_failed(self._link)


class EngineDialer:
    """Opens connections of one protocol."""

    def __init__(self, reactor: Any, make: Callable[[EnginePool], EngineLink], limits: Limits):
        """`reactor` provides Twisted's `IReactorTCP`; `make` builds an unconnected link."""
        self._reactor = reactor
        self._make = make
        self._timeout_s = limits.dial_timeout / 1_000_000

    def __call__(self, pool: EnginePool) -> EngineLink:
        """Start connecting to the engine of a pool."""
        link = self._make(pool)
        factory = EngineDialFactory(pool, link)
        pool.dials[link] = self._reactor.connectTCP(*pool.address, factory, timeout=self._timeout_s)
        return link


class EnginePools:
    """The pools of all ready engines in the endpoint list. Implements `core.request.EnginePort`."""

    def __init__(
        self,
        dial: Callable[[EnginePool], EngineLink],
        clock: Clock,
        limits: Limits,
        counters: Counters,
        core: Coordinator,
        max_links: int,
    ):
        """`max_links` limits the connections to one engine, `limits.max_engine_connections` those to all engines."""
        self._dial = dial
        self._clock = clock
        self._limits = limits
        self._counters = counters
        self._core = core
        self._max_links = max_links
        self.pools: dict[str, EnginePool] = {}
        self.retired: list[EnginePool] = []  # pools that accept no attempts, but still have connections

    def update_endpoints(self, addresses: Mapping[str, Address], entries: Sequence[interface.EngineEntry] = ()) -> None:
        """Apply a new endpoint list. An engine that is not among the `entries` counts as ready.

        The connections of engines that are gone, drain, have restarted or changed their address get no more attempts.
        The new pools exist before the old ones retire, as the attempts that these return are sent elsewhere at once.
        """
        entry_by_engine = {entry.engine: entry for entry in entries}
        obsolete = self.pools
        self.pools = {}
        for name, address in addresses.items():
            entry = entry_by_engine.get(name, interface.EngineEntry(name))
            if entry.state != "Ready":
                continue
            known = obsolete.get(name)
            if known is not None and (known.address, known.started_at) == (address, entry.started_at):
                self.pools[name] = obsolete.pop(name)
            else:
                self.pools[name] = EnginePool(name, address, self._counters, entry.started_at)
                self.pools[name].replace_connection = self._replace_connection
        self.retired += obsolete.values()
        if obsolete:
            log.info("engines_retired", engines=sorted(obsolete))
        for pool in obsolete.values():
            pool.retire()

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on the connection with the fewest open ones. Without a connection it ends with NOCONN.

        More connections are opened than the load requires, because a corrupt answer or a reset ends all attempts on a
        connection.
        """
        pool = self.pools.get(attempt.engine)
        link = None if pool is None else self._select_link(pool, attempt)
        if link is None:
            self._core.complete_attempt(attempt, "NOCONN")
        else:
            link.enqueue(attempt)

    def _select_link(self, pool: EnginePool, attempt: Attempt) -> EngineLink | None:
        """Return a connection for an attempt, new if necessary, or None if no more may be opened."""
        candidates = [link for link in pool.links if link.accepts(attempt)]
        link = min(candidates, key=lambda link: link.load(), default=None)
        if link is not None and not self._should_add_link(pool, link):
            return link
        if len(pool.links) < self._max_links and self._reserve_descriptor():
            link = self._add_link(pool)
        return link

    def _add_link(self, pool: EnginePool) -> EngineLink:
        """Dial a new connection of a pool."""
        self._counters.add("engine_dials")
        log.debug("engine_dialled", engine=pool.name, links=len(pool.links))
        link = self._dial(pool)
        pool.links.append(link)
        return link

    def _replace_connection(self, pool: EnginePool) -> None:
        """Dial in place of a used-up connection, so that the next attempt need not wait for the dial and the login.

        The number of connections to an engine so follows the attempts at once of the last time; idle ones close.
        """
        is_active = self.pools.get(pool.name) is pool
        if is_active and len(pool.links) < self._max_links and self._may_spread():
            self._add_link(pool)

    def _should_add_link(self, pool: EnginePool, best: EngineLink) -> bool:
        """Return whether to open one more connection, although the `best` one accepts the attempt."""
        crowded = (
            best.load() >= self._limits.attempts_before_spread and len(pool.links) < self._limits.max_spread_connections
        )
        return crowded and self._may_spread()

    def _may_spread(self) -> bool:
        """Return whether there is room for a connection that no attempt needs yet."""
        return len(self._all_links()) < self._limits.max_engine_connections * 3 // 4

    def _all_pools(self) -> Iterable[EnginePool]:
        return (*self.pools.values(), *self.retired)

    def _all_links(self) -> list[EngineLink]:
        return [link for pool in self._all_pools() for link in pool.links]

    def _reserve_descriptor(self) -> bool:
        """Return whether one more connection is within `limits.max_engine_connections`, after closing an idle one."""
        links = self._all_links()
        if len(links) < self._limits.max_engine_connections:
            return True
        self._counters.add("over_engine_links")
        idle = [link for link in links if not link.load() and not link.closed]
        # Closed links still hold a descriptor until the connection is lost.
        if not idle or sum(link.closed for link in links) >= self._limits.max_aborted_connections:
            return False
        link = min(idle, key=lambda link: link.idle_since())
        if not any(pool.cancel_dial(link) for pool in self._all_pools()):
            link.close_if_idle()
        return True

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt on its connection, if it has one."""
        if attempt.connection is not None:
            attempt.connection.give_up(attempt)

    def promote(self, attempt: Attempt) -> None:
        """Notify the engine of an attempt's new priority."""
        if attempt.connection is not None:
            attempt.connection.promote(attempt)

    def close_idle(self, engine: str) -> None:
        """Close the idle connections to one engine."""
        if engine not in self.pools:
            return
        for link in list(self.pools[engine].links):
            link.close_if_idle()

    def sweep(self) -> None:
        """Check all connections for timeouts, close idle ones, and remove retired pools without connections.

        Connections close after two thirds of the engine's idle timeout, so that no request crosses the engine's close.
        """
        now = self._clock.now()
        idle_limit = now - self._limits.engine_idle_timeout * 2 // 3
        for link in self._all_links():
            link.check_timeouts(now)
            if link.idle_since() < idle_limit:
                link.close_if_idle()
        self.retired = [pool for pool in self.retired if pool.links]

    def close_all(self) -> None:
        """Close the idle connections to all engines."""
        for name in list(self.pools):
            self.close_idle(name)
