"""The participants: gateways that count in fleet-wide sums.

They are the live members, also those that are unresponsive, and members that are gone but whose work may still run.
"""

from collections.abc import Mapping

from rackhub.fleet.overload.records import code
from rackhub.fleet.ports import Name, Record


class Participants:
    """The participants as this gateway sees them.

    `configured` is the number of gateways in the settings. `takeover_delay` is the time for which the requests of a
    member that is gone may still run, and `maximum_age` the age past which a load record does not count; both are in
    microseconds.
    """

    def __init__(self, local_name: Name, configured: int, takeover_delay: int, maximum_age: int):
        self.local_name = local_name
        self.configured = configured
        self.takeover_delay = takeover_delay
        self.maximum_age = maximum_age
        self._majority_since: int | None = None
        self._last_alive: dict[Name, int] = {}  # last time at which a member was live, for those that are not
        self._live: frozenset[Name] = frozenset()
        self.counted: frozenset[Name] = frozenset((local_name,))
        self.unresponsive: frozenset[Name] = frozenset()  # participants without a recent load record
        self.equal_share = 1 / configured
        self.majority = False
        # Identifies `counted`: only gateways that count the same participants exchange loans.
        self.digest = code(local_name)

    def update(
        self, now: int, live: frozenset[Name], reachable: frozenset[Name], records: Mapping[Name, Record]
    ) -> None:
        """Recompute the participants from the membership and the present load records."""
        self._update_counted(now, live)
        fresh = {name for name, record in records.items() if record.age <= self.maximum_age and name in reachable}
        self.unresponsive = self.counted - fresh - {self.local_name}
        self._update_equal_share(now)

    def _update_counted(self, now: int, live: frozenset[Name]) -> None:
        for name in self._live - live:
            self._last_alive[name] = now
        self._live = live | {self.local_name}
        self._last_alive = {
            name: at for name, at in self._last_alive.items() if now - at < self.takeover_delay and name not in live
        }
        counted = self._live | self._last_alive.keys()
        if counted != self.counted:
            self.counted = counted
            self.digest = code(*sorted(counted))

    def _update_equal_share(self, now: int) -> None:
        # On the minority side of a partition the shares of the other gateways are not taken over, as these most likely
        # still serve. Nor does a gateway that has just started or rejoined take shares over: it does not know all
        # members yet.
        self.majority = 2 * len(self._live) > self.configured
        if not self.majority:
            self._majority_since = None
        elif self._majority_since is None:
            self._majority_since = now
        is_settled = self._majority_since is not None and now - self._majority_since >= self.takeover_delay
        self.equal_share = 1 / (len(self.counted) if is_settled else max(self.configured, len(self.counted)))
