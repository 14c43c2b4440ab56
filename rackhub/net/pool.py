"""Connections to engines by engine: which one carries an attempt, and what the list of engines does to them.

The same for every protocol that engines speak; a connection is asked through `EngineLink`.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Protocol

from twisted.internet.interfaces import IConnector, IReactorTCP
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
    """One connection as the pool sees it."""

    closed: bool

    def takes(self, attempt: Attempt) -> bool: ...
    def carry(self, attempt: Attempt) -> None: ...
    def give_up(self, attempt: Attempt) -> None: ...
    def promote(self, attempt: Attempt) -> None: ...
    def close_if_idle(self) -> None: ...
    def idle_since(self) -> int: ...
    def load(self) -> int: ...
    def retire(self) -> None: ...
    def look(self, now: int) -> None: ...
    def refused(self) -> None: ...


class EnginePool:
    """The connections to one engine since one start of it. An engine is its name: another one may come to have its
    address, and one that comes back under its name has none of the connections of before."""

    def __init__(self, name: str, address: Address, counters: Counters, started: int = 0):
        self.name, self.address, self.counters, self.started = name, address, counters, started
        self.links: list[EngineLink] = []
        self.dials: dict[EngineLink, IConnector] = {}  # of those links that do not stand yet

    def lost(self, link: EngineLink) -> None:
        if link in self.links:
            self.links.remove(link)

    def retire(self) -> None:
        """Nothing new goes to it: what waits for a dial never left, what is open ends on its own, the rest closes."""
        for link in list(self.links):
            if not self.call_off(link):
                link.retire()

    def call_off(self, link: EngineLink) -> bool:
        """End the dial of a link as one that failed. False: it stands already."""
        dial = self.dials.pop(link, None)
        if dial is not None:
            dial.stopConnecting()
        return dial is not None

    def dial_failed(self, link: EngineLink) -> None:
        self.counters.add("engine_dial_failures")
        log.debug("engine_dial_failed", engine=self.name, waiting=link.load())
        self.dials.pop(link, None)
        self.lost(link)
        link.refused()


class EngineDialFactory(ClientFactory):
    """Carries one dial: Twisted reports its failure here."""

    noisy = False

    def __init__(self, pool: EnginePool, link: EngineLink):
        self._pool, self._link = pool, link

    def buildProtocol(self, addr: object) -> EngineLink:
        del self._pool.dials[self._link]
        return self._link

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self._pool.dial_failed(self._link)


class EngineDialer:
    """Opens connections of one protocol."""

    def __init__(self, reactor: IReactorTCP, make: Callable[[EnginePool], EngineLink], limits: Limits):
        self._reactor, self._make, self._timeout = reactor, make, limits.dial_timeout / 1_000_000

    def __call__(self, pool: EnginePool) -> EngineLink:
        link = self._make(pool)
        pool.dials[link] = self._reactor.connectTCP(*pool.address, EngineDialFactory(pool, link), timeout=self._timeout)
        return link


class EnginePools:
    """The engine port: one pool for each engine that the list names."""

    def __init__(
        self,
        dial: Callable[[EnginePool], EngineLink],
        clock: Clock,
        limits: Limits,
        counters: Counters,
        core: Coordinator,
        most: int,
    ):
        self._dial, self._clock, self._limits, self._counters, self._core = dial, clock, limits, counters, core
        self._most = most  # connections to one engine
        self.pools: dict[str, EnginePool] = {}
        self.retired: list[
            EnginePool
        ] = []  # of engines that take nothing new, while something is open on their connections

    def listed(self, addresses: Mapping[str, Address], entries: Sequence[interface.EngineEntry] = ()) -> None:
        """The list as it is now; `entries` as the module sees them. Engines that are gone, drain, have started anew or
        moved get nothing more on the connections that they have. The new pools are there before the old ones retire:
        what had waited for these is sent elsewhere at once."""
        told = {entry.engine: entry for entry in entries}
        old, self.pools = self.pools, {}
        for name, address in addresses.items():
            entry = told.get(name, interface.EngineEntry(name))
            if entry.state == "Ready":
                known = old.get(name)
                if known is not None and (known.address, known.started) == (address, entry.started_at):
                    self.pools[name] = old.pop(name)
                else:
                    self.pools[name] = EnginePool(name, address, self._counters, entry.started_at)
        self.retired += old.values()
        if old:
            log.info("engines_retired", engines=sorted(old))
        for pool in old.values():
            pool.retire()

    def send(self, attempt: Attempt) -> None:
        """On the connection with the fewest attempts. Some more are opened than would do: whatever ends one, a
        spoilt answer or a reset, ends all attempts that share it (on a scored day up to 16 at a time)."""
        pool = self.pools.get(attempt.engine)
        if pool is None:
            return self._core.complete_attempt(attempt, "NOCONN")
        able = [link for link in pool.links if link.takes(attempt)]
        link = min(able, key=lambda link: link.load(), default=None)
        crowded = link is not None and link.load() >= self._limits.few and len(pool.links) < self._limits.spread
        if link is None or crowded and len(self._links()) < self._limits.engine_links * 3 // 4:
            if len(pool.links) < self._most and self._room():
                self._counters.add("engine_dials")
                log.debug("engine_dialled", engine=pool.name, links=len(pool.links))
                link = self._dial(pool)
                pool.links.append(link)
        if link is None:
            return self._core.complete_attempt(attempt, "NOCONN")
        link.carry(attempt)

    def _links(self) -> list[EngineLink]:
        return [link for pool in (*self.pools.values(), *self.retired) for link in pool.links]

    def _room(self) -> bool:
        """Whether the descriptors set aside for engines allow one more connection; an idle one makes way."""
        links = self._links()
        if len(links) < self._limits.engine_links:
            return True
        self._counters.add("over_engine_links")
        idle = [link for link in links if not link.load() and not link.closed]
        if not idle or sum(link.closed for link in links) >= self._limits.leaving:  # these hold a descriptor still
            return False
        link = min(idle, key=lambda link: link.idle_since())
        if not any(pool.call_off(link) for pool in (*self.pools.values(), *self.retired)):
            link.close_if_idle()
        return True

    def give_up(self, attempt: Attempt) -> None:
        if attempt.connection is not None:
            attempt.connection.give_up(attempt)

    def promote(self, attempt: Attempt) -> None:
        if attempt.connection is not None:
            attempt.connection.promote(attempt)

    def close_idle(self, engine: str) -> None:
        for link in list(self.pools[engine].links) if engine in self.pools else ():
            link.close_if_idle()

    def sweep(self) -> None:
        """Close what has idled for most of the time after which engines close it, as a request would cross that, and
        what is of no more use."""
        now = self._clock.now()
        edge = now - self._limits.engine_idle * 2 // 3
        for link in self._links():
            link.look(now)
            if link.idle_since() < edge:
                link.close_if_idle()
        self.retired = [pool for pool in self.retired if pool.links]

    def close_all(self) -> None:
        for name in list(self.pools):
            self.close_idle(name)
