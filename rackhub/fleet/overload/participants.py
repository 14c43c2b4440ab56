"""Who counts in the sums: whom this gateway hears, who is silent, and who is gone but whose work may still run."""

from collections.abc import Mapping

from rackhub.fleet.overload.records import code
from rackhub.fleet.ports import Name, Record


class Participants:
    """`told`: how many gateways the settings tell; `keep`: for how long what a member sent may run once it is gone;
    `fresh`: the age past which a record counts for nothing, both microseconds."""

    def __init__(self, me: Name, told: int, keep: int, fresh: int):
        self.local_name, self.configured, self.takeover_delay, self.maximum_age = me, told, keep, fresh
        self._since: int | None = None  # when the majority was last seen to begin
        self._last_alive: dict[Name, int] = {}  # when each was last among the living, of those that are not
        self._living: frozenset[Name] = frozenset()
        self.counted: frozenset[Name] = frozenset((me,))
        self.silent: frozenset[Name] = frozenset()
        self.equal_share = 1 / told
        self.majority = False
        self.digest = code(me)  # of `counted`: lends and takes only go between those who count the same

    def update(self, now: int, living: frozenset[Name], heard: frozenset[Name], records: Mapping[Name, Record]) -> None:
        """Reckon anew from what is held now."""
        for name in self._living - living:
            self._last_alive[name] = now
        self._living = living | {self.local_name}
        self._last_alive = {
            name: at for name, at in self._last_alive.items() if now - at < self.takeover_delay and name not in living
        }
        counted = self._living | self._last_alive.keys()
        if counted != self.counted:
            self.counted, self.digest = counted, code(*sorted(counted))
        fresh = {name for name, record in records.items() if record.age <= self.maximum_age and name in heard}
        self.silent = self.counted - fresh - {self.local_name}
        # Cut off with the smaller side, the rest most likely lives on, and works: nothing of it is taken over. Nor by
        # one that has just started, or is just back from a smaller side: it has not seen who is there.
        self.majority = 2 * len(self._living) > self.configured
        self._since = (now if self._since is None else self._since) if self.majority else None
        sure = self._since is not None and now - self._since >= self.takeover_delay
        self.equal_share = 1 / (len(self.counted) if sure else max(self.configured, len(self.counted)))
