"""Connections to engines, pooled by engine: selection of a connection for an attempt, and updates of the endpoint list.

Independent of the protocol that engines speak: a connection is used through `EngineLink`.
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
        """Whether a new attempt may go on this connection."""

    def enqueue(self, attempt: Attempt) -> None:
        """Accept an attempt, and send it once the connection is up and writable."""

    def give_up(self, attempt: Attempt) -> None:
        """Cancel an attempt. One that is not on this connection any more is ignored."""

    def promote(self, attempt: Attempt) -> None:
        """Notify the engine that the priority of an attempt has changed, where the protocol can."""

    def close_if_idle(self) -> None:
        """Close the connection if no attempt is open on it."""

    def idle_since(self) -> int:
        """Return when the connection was used last."""

    def load(self) -> int:
        """Return the number of open attempts."""

    def retire(self) -> None:
        """Accept nothing new, return what is not sent yet, and close when what is in flight has ended."""

    def check_timeouts(self, now: int) -> None:
        """End what has timed out. Called periodically."""

    def connect_failed(self) -> None:
        """End the attempts that wait for the connection as not executed."""


class EnginePool:
    """The connections to one incarnation of an engine.

    An engine is identified by its name: another one may come to have its address, and one that restarts under its name
    has none of the connections of before.
    """

    def __init__(self, name: str, address: Address, counters: Counters, started: int = 0):
        """`started` is when the engine started, by its entry in the endpoint list."""
        self.name = name
        self.address = address
        self.counters = counters
        self.started = started
        self.links: list[EngineLink] = []
        self.dials: dict[EngineLink, Any] = {}  # the connectors (IConnector) of those links that are not up yet

    def connection_closed(self, link: EngineLink) -> None:
        """Forget a connection that has closed."""
        if link in self.links:
            self.links.remove(link)

    def retire(self) -> None:
        """Send nothing new: what waits for a dial was never sent, what is in flight ends, idle connections close."""
        for link in list(self.links):
            if not self.cancel_dial(link):
                link.retire()

    def cancel_dial(self, link: EngineLink) -> bool:
        """Stop connecting, as if that had failed. False: the connection is up already."""
        dial = self.dials.pop(link, None)
        if dial is not None:
            dial.stopConnecting()
        return dial is not None

    def dial_failed(self, link: EngineLink) -> None:
        """Remove a connection that could not be established, and end what waited for it."""
        self.counters.add("engine_dial_failures")
        log.debug("engine_dial_failed", engine=self.name, waiting=link.load())
        self.dials.pop(link, None)
        self.connection_closed(link)
        link.connect_failed()


class EngineDialFactory(ClientFactory):
    """The Twisted factory of one dial, which reports its result to the pool."""

    noisy = False

    def __init__(self, pool: EnginePool, link: EngineLink):
        """`link` is also the Twisted protocol of the connection."""
        self._pool = pool
        self._link = link

    def buildProtocol(self, addr: object) -> Any:  # noqa: N802
        """Return the one connection, which is established (Twisted)."""
        del self._pool.dials[self._link]
        return self._link

    def clientConnectionFailed(self, connector: object, reason: object) -> None:  # noqa: N802
        """Report a dial that was refused, timed out or was cancelled (Twisted)."""
        self._pool.dial_failed(self._link)


class EngineDialer:
    """Opens connections of one protocol."""

    def __init__(self, reactor: Any, make: Callable[[EnginePool], EngineLink], limits: Limits):
        """`reactor` provides Twisted's `IReactorTCP`; `make` builds a connection that is not up yet."""
        self._reactor = reactor
        self._make = make
        self._timeout_s = limits.dial_timeout / 1_000_000

    def __call__(self, pool: EnginePool) -> EngineLink:
        """Start to connect to the engine of a pool."""
        link = self._make(pool)
        factory = EngineDialFactory(pool, link)
        pool.dials[link] = self._reactor.connectTCP(*pool.address, factory, timeout=self._timeout_s)
        return link


class EnginePools:
    """The engine port: one pool for each engine in the endpoint list that is ready."""

    def __init__(
        self,
        dial: Callable[[EnginePool], EngineLink],
        clock: Clock,
        limits: Limits,
        counters: Counters,
        core: Coordinator,
        max_links: int,
    ):
        """`max_links` bounds the connections to one engine; `limits.max_engine_connections` those to all together."""
        self._dial = dial
        self._clock = clock
        self._limits = limits
        self._counters = counters
        self._core = core
        self._max_links = max_links
        self.pools: dict[str, EnginePool] = {}
        self.retired: list[EnginePool] = []  # accept nothing new, while attempts are in flight on their connections

    def update_endpoints(self, addresses: Mapping[str, Address], entries: Sequence[interface.EngineEntry] = ()) -> None:
        """Apply the current endpoint list; `entries` as the routing policy knows them.

        Engines that are gone, drain, have restarted or moved get nothing more on the connections that they have. The
        new pools are there before the old ones retire: what waited for these is sent elsewhere at once.
        """
        entry_by_engine = {entry.engine: entry for entry in entries}
        obsolete = self.pools
        self.pools = {}
        for name, address in addresses.items():
            entry = entry_by_engine.get(name, interface.EngineEntry(name))
            if entry.state != "Ready":
                continue
            known = obsolete.get(name)
            if known is not None and (known.address, known.started) == (address, entry.started_at):
                self.pools[name] = obsolete.pop(name)
            else:
                self.pools[name] = EnginePool(name, address, self._counters, entry.started_at)
        self.retired += obsolete.values()
        if obsolete:
            log.info("engines_retired", engines=sorted(obsolete))
        for pool in obsolete.values():
            pool.retire()

    def send(self, attempt: Attempt) -> None:
        """Send an attempt on the connection with the fewest open ones; it ends with NOCONN where there is none.

        More connections are opened than the load needs: whatever ends one, a corrupt answer or a reset, ends all
        attempts that share it.
        """
        pool = self.pools.get(attempt.engine)
        link = None if pool is None else self._select_link(pool, attempt)
        if link is None:
            self._core.complete_attempt(attempt, "NOCONN")
        else:
            link.enqueue(attempt)

    def _select_link(self, pool: EnginePool, attempt: Attempt) -> EngineLink | None:
        """Return the connection for an attempt, a new one if need be; None where no more may be opened."""
        candidates = [link for link in pool.links if link.accepts(attempt)]
        link = min(candidates, key=lambda link: link.load(), default=None)
        if link is not None and not self._should_add_link(pool, link):
            return link
        if len(pool.links) < self._max_links and self._reserve_descriptor():
            self._counters.add("engine_dials")
            log.debug("engine_dialled", engine=pool.name, links=len(pool.links))
            link = self._dial(pool)
            pool.links.append(link)
        return link

    def _should_add_link(self, pool: EnginePool, best: EngineLink) -> bool:
        """Whether one more connection is worth a descriptor, though the `best` one could accept an attempt."""
        crowded = (
            best.load() >= self._limits.attempts_before_spread and len(pool.links) < self._limits.max_spread_connections
        )
        return crowded and len(self._all_links()) < self._limits.max_engine_connections * 3 // 4

    def _all_pools(self) -> Iterable[EnginePool]:
        return (*self.pools.values(), *self.retired)

    def _all_links(self) -> list[EngineLink]:
        return [link for pool in self._all_pools() for link in pool.links]

    def _reserve_descriptor(self) -> bool:
        """Whether the descriptors reserved for engines allow one more connection; an idle one is closed for it."""
        links = self._all_links()
        if len(links) < self._limits.max_engine_connections:
            return True
        self._counters.add("over_engine_links")
        idle = [link for link in links if not link.load() and not link.closed]
        if (
            not idle or sum(link.closed for link in links) >= self._limits.max_aborted_connections
        ):  # these hold a descriptor still
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
        """Check all connections for timeouts, and close idle ones and retired pools.

        A connection closes well before the engine would close it for being idle, as a request could cross that.
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
