"""Connections to engines by engine: which one carries an attempt, and what the list of engines does to them.

The same for every protocol that engines speak; a connection is asked through `Link`.
"""

from collections.abc import Callable, Mapping
from typing import Protocol

from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import ClientFactory

from rackhub.core.coordinator import Attempt, Coordinator
from rackhub.core.source import Address
from rackhub.core.timers import Clock
from rackhub.counters import Counters
from rackhub.limits import Limits


class Link(Protocol):
    """One connection as the pool sees it."""

    closed: bool

    def takes(self, attempt: Attempt) -> bool: ...
    def carry(self, attempt: Attempt) -> None: ...
    def give_up(self, attempt: Attempt) -> None: ...
    def hurry(self, attempt: Attempt) -> None: ...
    def close_if_idle(self) -> None: ...
    def idle_since(self) -> int: ...
    def refused(self) -> None: ...


class Pool:
    """The connections to one engine. An engine is its name: another one may come to have its address."""

    def __init__(self, name: str, address: Address, counters: Counters):
        self.name, self.address, self.counters = name, address, counters
        self.links: list[Link] = []

    def lost(self, link: Link) -> None:
        if link in self.links:
            self.links.remove(link)

    def dial_failed(self, link: Link) -> None:
        self.counters.add("engine_dial_failures")
        self.lost(link)
        link.refused()


class DialFactory(ClientFactory):
    """Carries one dial: Twisted reports its failure here."""

    noisy = False

    def __init__(self, pool: Pool, link: Link):
        self._pool, self._link = pool, link

    def buildProtocol(self, addr: object) -> Link:
        return self._link

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        self._pool.dial_failed(self._link)


class Dial:
    """Opens connections of one protocol."""

    def __init__(self, reactor: IReactorTCP, make: Callable[[Pool], Link], limits: Limits):
        self._reactor, self._make, self._timeout = reactor, make, limits.dial_timeout / 1_000_000

    def __call__(self, pool: Pool) -> Link:
        link = self._make(pool)
        self._reactor.connectTCP(*pool.address, DialFactory(pool, link), timeout=self._timeout)
        return link


class Pools:
    """The engine port: one pool for each engine that the list names."""

    def __init__(self, dial: Callable[[Pool], Link], clock: Clock, limits: Limits, counters: Counters,
                 core: Coordinator, most: int):
        self._dial, self._clock, self._limits, self._counters, self._core = dial, clock, limits, counters, core
        self._most = most  # connections to one engine
        self.pools: dict[str, Pool] = {}

    def listed(self, addresses: Mapping[str, Address]) -> None:
        """The list as it is now. What an engine that is gone still has open ends on its own; the rest closes."""
        for name in [name for name in self.pools if name not in addresses]:
            self.close_idle(name)
            if not self.pools[name].links:
                del self.pools[name]
        for name, address in addresses.items():
            pool = self.pools.get(name)
            if pool is None:
                self.pools[name] = Pool(name, address, self._counters)
            elif pool.address != address:  # connections to the old address are never used for the new one
                self.close_idle(name)
                self.pools[name] = Pool(name, address, self._counters)

    def send(self, attempt: Attempt) -> None:
        pool = self.pools.get(attempt.engine)
        link = next((link for link in pool.links if link.takes(attempt)), None) if pool else None
        if link is None:
            if pool is None or len(pool.links) >= self._most or not self._room():
                return self._core.ended(attempt, "NOCONN")
            self._counters.add("engine_dials")
            link = self._dial(pool)
            pool.links.append(link)
        link.carry(attempt)

    def _room(self) -> bool:
        """Whether the descriptors set aside for engines allow one more connection; an idle one makes way."""
        links = [link for pool in self.pools.values() for link in pool.links]
        if len(links) >= self._limits.engine_links:
            self._counters.add("over_engine_links")
            min(links, key=lambda link: link.idle_since()).close_if_idle()
            return False
        return True

    def give_up(self, attempt: Attempt) -> None:
        if attempt.link is not None:
            attempt.link.give_up(attempt)

    def hurry(self, attempt: Attempt) -> None:
        if attempt.link is not None:
            attempt.link.hurry(attempt)

    def close_idle(self, engine: str) -> None:
        for link in list(self.pools[engine].links) if engine in self.pools else ():
            link.close_if_idle()

    def sweep(self) -> None:
        """Close what has idled for most of the time after which engines close it: a request would cross that."""
        edge = self._clock.now() - self._limits.engine_idle * 2 // 3
        for pool in self.pools.values():
            for link in list(pool.links):
                if link.idle_since() < edge:
                    link.close_if_idle()

    def close_all(self) -> None:
        for name in list(self.pools):
            self.close_idle(name)
