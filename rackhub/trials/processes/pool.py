"""The connections that clients have to gateways: a new one where the others are full, none where nobody listens."""

from collections.abc import Mapping

from rackhub.fleet.ports import Address
from rackhub.net.dial import SingleConnectionFactory
from rackhub.trials.processes.link import Link, Owner, Try

SECOND = 1_000_000
OPEN, SPREAD = 32, 8  # requests on one connection at most, and before another is opened
SHUN = SECOND  # for so long nobody goes to a gateway that could not be reached


class Pool:
    """`owner` is told of all that becomes of a connection. `links`: those that are up or coming up, by gateway."""

    def __init__(self, owner: Owner, addresses: Mapping[str, Address]):
        self._owner, self._addresses = owner, addresses
        self.links: dict[str, list[Link]] = {name: [] for name in addresses}
        self._shunned: dict[str, int] = {}

    def carry(self, each: Try) -> None:
        links = [link for link in self.links[each.gateway] if link.load() < OPEN]
        link = min(links, key=Link.load, default=None)
        if link is None or link.load() >= SPREAD and len(links) < 8:
            link = self._dial(each.gateway)
        link.carry(each)

    def _dial(self, gateway: str) -> Link:
        link = Link(self._owner, gateway)
        self.links[gateway].append(link)
        host, port = self._addresses[gateway]
        self._owner.reactor.connectTCP(host, port, SingleConnectionFactory(link, link.failed), timeout=2)
        return link

    def remove(self, link: Link) -> None:
        self.links[link.gateway].remove(link)

    def shun(self, gateway: str) -> None:
        """It could not be reached."""
        self._shunned[gateway] = self._owner.clock.now() + SHUN

    def reachable(self, gateway: str) -> bool:
        return self._shunned.get(gateway, 0) <= self._owner.clock.now()

    def close(self) -> list[Try]:
        """Break all off; gives the tries that were open."""
        left: list[Try] = []
        for links in self.links.values():
            for link in list(links):
                left += [*link.open.values(), *link.waiting]
                link.open, link.waiting = {}, []
                if link.transport is not None:
                    link.transport.abortConnection()
        return left
