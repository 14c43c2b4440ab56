"""Which upstream a watcher goes to: rendezvous hashing, its own zone first.

Each watcher ranks the upstreams by a hash of both names (Thaler and Ravishankar, 1998). The ranks need no agreement and
stay as they are when an upstream goes; its watchers have different second choices, so they spread over all that are
left. The same holds for the relays of other zones, which come after those of the watcher's own.
"""

import hashlib
import random

from rackhub.fleet.distribution.agenda import NEVER
from rackhub.fleet.distribution.events import Node, Role
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Name

PATIENCE = 3  # refusals in a row by a relay of the own zone that are waited out before another zone's is asked


def score(watcher: Name, upstream: Name) -> int:
    """The weight of one upstream for one watcher: the greatest is the first choice."""
    digest = hashlib.blake2b(f"{watcher}\0{upstream}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def is_home(zone: str, node: Node) -> bool:
    """Relays of another zone are only a refuge; voters are the same to everyone."""
    return node.role is not Role.RELAY or node.zone == zone


def ranked(watcher: Name, zone: str, upstreams: tuple[Node, ...]) -> tuple[Node, ...]:
    """The upstreams in the order in which this watcher prefers them."""
    return tuple(sorted(upstreams, key=lambda node: (not is_home(zone, node), -score(watcher, node.name))))


class _Candidate:
    __slots__ = ("node", "rank", "home", "until", "refusals")

    def __init__(self, node: Node, rank: int, home: bool) -> None:
        self.node, self.rank, self.home = node, rank, home
        self.until = 0  # not asked before
        self.refusals = 0  # answers in a row that it can't serve


class Candidates:
    """The upstreams of one watcher, and what came of asking them."""

    def __init__(self, watcher: Name, zone: str, upstreams: tuple[Node, ...], limits: Limits, chance: random.Random):
        nodes = ranked(watcher, zone, upstreams)
        self._all = [_Candidate(node, rank, is_home(zone, node)) for rank, node in enumerate(nodes)]
        self._by_name = {candidate.node.name: candidate for candidate in self._all}
        self._limits, self._chance = limits, chance

    def rank(self, name: Name) -> int:
        return self._by_name[name].rank

    def is_home(self, name: Name) -> bool:
        return self._by_name[name].home

    def choose(self, now: int) -> Name | None:
        """The best that may be asked now. None: there are none, or one at home is worth waiting for, see `waits`."""
        best = next((one for one in self._all if one.until <= now), None)
        if best is not None and (best.home or self._home_wait(now) == NEVER):
            return best.node.name
        if best is None and self._all and self._home_wait(now) == NEVER:
            return min(self._all, key=lambda one: one.until).node.name
        return None

    def choose_other(self, now: int, name: Name) -> Name | None:
        """The best beside `name` that may be asked now."""
        return next((one.node.name for one in self._all if one.until <= now and one.node.name != name), None)

    def choose_better(self, now: int, name: Name) -> Name | None:
        """The best that may be asked now of those preferred to `name`."""
        better = self._all[: self.rank(name)]
        return next((one.node.name for one in better if one.until <= now), None)

    def waits(self, now: int) -> int:
        """Until when to wait where `choose` gave none."""
        return min(self._home_wait(now), now + self._limits.max_retry_delay)

    def _home_wait(self, now: int) -> int:
        """When a relay at home that only refused for the moment may be asked again; NEVER: none is worth waiting."""
        soon = now + self._limits.max_retry_delay
        waiting = [one.until for one in self._all if one.home and 0 < one.refusals <= PATIENCE and one.until <= soon]
        return min(waiting, default=NEVER)

    def silent(self, name: Name, now: int) -> None:
        """It did not answer, or not what can be used: it is not asked for a while."""
        candidate = self._by_name[name]
        candidate.refusals = 0
        candidate.until = now + int(self._limits.upstream_timeout * self._chance.uniform(0.75, 1.0))

    def refused(self, name: Name, now: int, retry_after: int) -> None:
        """It answered that it can't serve for so many microseconds; the wait grows with each refusal in a row."""
        candidate = self._by_name[name]
        least = self._limits.min_retry_delay << min(candidate.refusals, 4)
        candidate.refusals += 1
        candidate.until = now + max(retry_after, int(least * self._chance.uniform(0.5, 1.0)))

    def served(self, name: Name) -> None:
        """It answers."""
        candidate = self._by_name[name]
        candidate.until = candidate.refusals = 0
