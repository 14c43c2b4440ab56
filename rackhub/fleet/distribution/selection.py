"""Selects a watcher's upstream by rendezvous hashing, with the relays of its own zone first.

Each watcher ranks the upstreams by a hash of both names (Thaler and Ravishankar, 1998). The ranks need no coordination
and do not change when an upstream fails. The watchers of a failed upstream have different second choices, so they
spread over all remaining upstreams. The relays of other zones, ranked the same way, come after those of the watcher's
own zone.
"""

import hashlib
import random

from rackhub.fleet.distribution.events import Node, Role
from rackhub.fleet.distribution.limits import Limits
from rackhub.fleet.distribution.messages import Name
from rackhub.fleet.distribution.schedule import NEVER

MAX_LOCAL_REJECTIONS = 3  # rejections in a row by a local relay that are waited out before another zone's relay is used


def rendezvous_score(watcher: Name, upstream: Name) -> int:
    """Return the weight of an upstream for a watcher. The upstream with the greatest weight is the first choice."""
    digest = hashlib.blake2b(f"{watcher}\0{upstream}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def is_local(zone: str, node: Node) -> bool:
    """Return whether an upstream is local. Relays of other zones are a fallback; voters are local to everyone."""
    return node.role is not Role.RELAY or node.zone == zone


def rank_upstreams(watcher: Name, zone: str, upstreams: tuple[Node, ...]) -> tuple[Node, ...]:
    """Return the upstreams in the order in which this watcher prefers them."""
    return tuple(sorted(upstreams, key=lambda node: (not is_local(zone, node), -rendezvous_score(watcher, node.name))))


class _Candidate:
    __slots__ = ("node", "rank", "local", "available_at", "rejections")

    def __init__(self, node: Node, rank: int, local: bool) -> None:
        self.node, self.rank, self.local = node, rank, local
        self.available_at = 0  # time from which the upstream may be tried
        self.rejections = 0  # number of rejections since the last success


class Candidates:
    """The upstreams of one watcher in order of preference, and when each may be tried again."""

    def __init__(self, watcher: Name, zone: str, upstreams: tuple[Node, ...], limits: Limits, rng: random.Random):
        nodes = rank_upstreams(watcher, zone, upstreams)
        self._candidates = [_Candidate(node, rank, is_local(zone, node)) for rank, node in enumerate(nodes)]
        self._by_name = {candidate.node.name: candidate for candidate in self._candidates}
        self._limits, self._rng = limits, rng

    def rank(self, name: Name) -> int:
        """Return the upstream's position in the order of preference; 0 is the first choice."""
        return self._by_name[name].rank

    def is_local(self, name: Name) -> bool:
        """Return whether the upstream is a voter or a relay of the watcher's zone."""
        return self._by_name[name].local

    def choose(self, now: int) -> Name | None:
        """Return the best upstream that may be tried now.

        None if there is no upstream, or if a local one is worth waiting for until `retry_at`.
        """
        best = next((one for one in self._candidates if one.available_at <= now), None)
        if best is not None and (best.local or self._local_retry_at(now) == NEVER):
            return best.node.name
        if best is None and self._candidates and self._local_retry_at(now) == NEVER:
            return min(self._candidates, key=lambda one: one.available_at).node.name
        return None

    def choose_other(self, now: int, name: Name) -> Name | None:
        """Return the best upstream other than `name` that may be tried now."""
        return next(
            (one.node.name for one in self._candidates if one.available_at <= now and one.node.name != name), None
        )

    def choose_better(self, now: int, name: Name) -> Name | None:
        """Return the best upstream preferred to `name` that may be tried now."""
        better = self._candidates[: self.rank(name)]
        return next((one.node.name for one in better if one.available_at <= now), None)

    def retry_at(self, now: int) -> int:
        """Return when to call `choose` again after it returned None, in microseconds."""
        return min(self._local_retry_at(now), now + self._limits.max_retry_delay)

    def _local_retry_at(self, now: int) -> int:
        """Return when a local upstream that rejected the watcher may be tried again; NEVER if none is worth waiting."""
        latest = now + self._limits.max_retry_delay
        available = [
            one.available_at
            for one in self._candidates
            if one.local and 0 < one.rejections <= MAX_LOCAL_REJECTIONS and one.available_at <= latest
        ]
        return min(available, default=NEVER)

    def mark_unresponsive(self, name: Name, now: int) -> None:
        """Record that the upstream did not answer, or sent unusable data. It is not tried again for a while."""
        candidate = self._by_name[name]
        candidate.rejections = 0
        candidate.available_at = now + int(self._limits.upstream_timeout * self._rng.uniform(0.75, 1.0))

    def mark_rejected(self, name: Name, now: int, retry_after: int) -> None:
        """Record that the upstream can't serve for `retry_after` microseconds.

        The delay grows with each rejection in a row.
        """
        candidate = self._by_name[name]
        min_delay = self._limits.min_retry_delay << min(candidate.rejections, 4)
        candidate.rejections += 1
        candidate.available_at = now + max(retry_after, int(min_delay * self._rng.uniform(0.5, 1.0)))

    def mark_served(self, name: Name) -> None:
        """Record that the upstream serves the watcher."""
        candidate = self._by_name[name]
        candidate.available_at = candidate.rejections = 0
