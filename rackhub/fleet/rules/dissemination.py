"""How a version reaches every gateway: whoever has a newer one announces it, and whoever lacks it fetches it.

Versions are pulled, never pushed, so that the fetching gateway can count a trial's age from the moment of its own
request: the age that it computes is never too low, however long the answer was in transit.
"""

import random
from collections.abc import Callable

import msgspec

from rackhub.fleet.ports import Fleet, Name
from rackhub.fleet.rules.active_version import VersionTracker
from rackhub.fleet.rules.messages import (
    MESSAGE_KIND,
    UNKNOWN_AGE,
    FetchVersions,
    GossipedStatus,
    NewestVersion,
    Version,
    VersionsSent,
    encode,
)

FETCH_INTERVAL = 200_000  # microseconds between two fetches from the same gateway
MAX_OPEN_FETCHES = 64  # whose answers are still accepted

LearnVersions = Callable[[tuple[Version, ...], int], None]


class Dissemination:
    """`learn` gets received versions and the age of the newest one's trial in microseconds, or `UNKNOWN_AGE`."""

    def __init__(self, fleet: Fleet, tracker: VersionTracker, learn: LearnVersions):
        self._fleet = fleet
        self._tracker = tracker
        self._learn = learn
        generation = fleet.members.all()[fleet.members.local_name].generation
        self._random = random.Random(f"{fleet.seed} spread {fleet.members.local_name} {generation}")
        self._request_id = self._random.getrandbits(48)
        self._open_fetches: dict[int, int] = {}  # request id -> when it was sent
        self._fetched_at: dict[Name, int] = {}

    def announce(self) -> None:
        """Tell all living gateways the number of the newest version here."""
        body = encode(NewestVersion(self._tracker.rule_set.newest_number))
        for name in sorted(self._fleet.members.live() - {self._fleet.members.local_name}):
            self._fleet.messenger.send(name, MESSAGE_KIND, body)

    def fetch_published(self) -> None:
        """Fetch from one of those that published the highest number, where that is above the local one."""
        newest = self._tracker.rule_set.newest_number
        ahead = {
            owner: status.newest
            for owner, status in gossiped_statuses(self._fleet).items()
            if status.newest > newest and owner != self._fleet.members.local_name
        }
        if ahead:
            highest = max(ahead.values())
            self.fetch(self._random.choice(sorted(name for name, number in ahead.items() if number == highest)))

    def compare_with_random_peer(self) -> None:
        """Announce the newest number to one gateway, which fetches or answers with its own.

        This repairs announcements that were lost.
        """
        peers = sorted(self._fleet.members.reachable() - {self._fleet.members.local_name})
        if peers:
            body = encode(NewestVersion(self._tracker.rule_set.newest_number))
            self._fleet.messenger.send(self._random.choice(peers), MESSAGE_KIND, body)

    def fetch(self, source: Name) -> None:
        """Request what `source` has above the local versions, at most once in `FETCH_INTERVAL`."""
        now = self._fleet.clock.now()
        if now - self._fetched_at.get(source, -FETCH_INTERVAL) < FETCH_INTERVAL:
            return
        self._fetched_at[source] = now
        self._request_id += 1
        self._open_fetches[self._request_id] = now
        while len(self._open_fetches) > MAX_OPEN_FETCHES:
            del self._open_fetches[next(iter(self._open_fetches))]
        request = FetchVersions(self._tracker.rule_set.newest_number, self._request_id)
        self._fleet.messenger.send(source, MESSAGE_KIND, encode(request))

    def on_message(self, source: Name, message: NewestVersion | FetchVersions | VersionsSent) -> None:
        """Handle a message of another gateway."""
        if isinstance(message, NewestVersion):
            self._on_newest(source, message)
        elif isinstance(message, FetchVersions):
            self._on_fetch(source, message)
        else:
            self._on_versions(source, message)

    def _on_newest(self, source: Name, message: NewestVersion) -> None:
        newest = self._tracker.rule_set.newest_number
        if message.newest > newest:
            self.fetch(source)
        elif message.newest < newest:
            self._fleet.messenger.send(source, MESSAGE_KIND, encode(NewestVersion(newest)))

    def _on_fetch(self, source: Name, message: FetchVersions) -> None:
        rule_set = self._tracker.rule_set
        if rule_set.newest_number <= message.known:
            return
        # the last known one is included: its content applies where the next one is not on trial
        newer = tuple(version for version in rule_set.versions if version.number >= message.known)
        age = self._tracker.trial_age(self._fleet.clock.now())
        self._fleet.messenger.send(source, MESSAGE_KIND, encode(VersionsSent(message.request_id, newer, age)))

    def _on_versions(self, source: Name, message: VersionsSent) -> None:
        requested_at = self._open_fetches.pop(message.request_id, None)
        if requested_at is None:  # of an earlier process, or dropped: a later fetch replaces it
            self._fleet.add_count("rules_unasked", 1)
            return
        self._fetched_at.pop(source, None)
        elapsed = self._fleet.clock.now() - requested_at
        self._learn(message.versions, message.trial_age_us + elapsed if message.trial_age_us >= 0 else UNKNOWN_AGE)


def gossiped_statuses(fleet: Fleet) -> dict[Name, GossipedStatus]:
    """Return what each living gateway published last; records that can't be decoded are counted and left out."""
    statuses = {}
    living = fleet.members.live()
    for owner, record in fleet.gossip_state.read(MESSAGE_KIND).items():
        if owner not in living:
            continue
        try:
            statuses[owner] = msgspec.msgpack.decode(record.body, type=GossipedStatus)
        except msgspec.MsgspecError:
            fleet.add_count("rules_unread", 1)
    return statuses
