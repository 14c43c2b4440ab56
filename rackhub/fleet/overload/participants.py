"""The gateways that count in fleet-wide sums: reachable, silent, and gone with work that may still run."""

from collections.abc import Mapping

from rackhub.fleet.overload.records import code
from rackhub.fleet.ports import Name, Record


class Participants:
    """The participants as this gateway sees them.

    `configured` is the number of gateways in the settings, `takeover_delay` how long the requests of a member that is
    gone may still run, `maximum_age` the age past which a record does not count; both in microseconds.
    """

    def __init__(self, local_name: Name, configured: int, takeover_delay: int, maximum_age: int):
        self.local_name = local_name
        self.configured = configured
        self.takeover_delay = takeover_delay
        self.maximum_age = maximum_age
        self._majority_since: int | None = None
        self._last_alive: dict[Name, int] = {}  # of the members that are not alive now
        self._living: frozenset[Name] = frozenset()
        self.counted: frozenset[Name] = frozenset((local_name,))
        self.silent: frozenset[Name] = frozenset()
        self.equal_share = 1 / configured
        self.majority = False
        self.digest = code(local_name)  # of `counted`: only gateways that count the same members exchange loans

    def update(
        self, now: int, living: frozenset[Name], reachable: frozenset[Name], records: Mapping[Name, Record]
    ) -> None:
        """Recompute the participants from the membership and the load records held now."""
        self._update_counted(now, living)
        fresh = {name for name, record in records.items() if record.age <= self.maximum_age and name in reachable}
        self.silent = self.counted - fresh - {self.local_name}
        self._update_equal_share(now)

    def _update_counted(self, now: int, living: frozenset[Name]) -> None:
        for name in self._living - living:
            self._last_alive[name] = now
        self._living = living | {self.local_name}
        self._last_alive = {
            name: at for name, at in self._last_alive.items() if now - at < self.takeover_delay and name not in living
        }
        counted = self._living | self._last_alive.keys()
        if counted != self.counted:
            self.counted = counted
            self.digest = code(*sorted(counted))

    def _update_equal_share(self, now: int) -> None:
        # In the minority side of a partition the other gateways most likely still serve, so their shares are not taken
        # over; nor by a gateway that has just started or rejoined, as it does not know yet who is there.
        self.majority = 2 * len(self._living) > self.configured
        if not self.majority:
            self._majority_since = None
        elif self._majority_since is None:
            self._majority_since = now
        settled = self._majority_since is not None and now - self._majority_since >= self.takeover_delay
        self.equal_share = 1 / (len(self.counted) if settled else max(self.configured, len(self.counted)))
