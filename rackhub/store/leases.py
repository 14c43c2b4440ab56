"""Which leases there are, which keys hang on them, and when they run out. Pure: the clock is handed in.

A deadline is kept as a Unix time, since time passes while a store is closed. Two clocks can lie: one that is behind
the last time on record has jumped back, and every deadline is moved back by as much, so that no lease lives longer
for it; and no lease has ever more left than its length.
"""

from rackhub.store.errors import NoLease
from rackhub.store.records import LeaseTerms


class Lease:
    """One lease: length and end in microseconds, and the keys that go with it."""

    __slots__ = ("id", "ttl", "deadline", "keys")

    def __init__(self, id: int, ttl: int, deadline: int):
        self.id, self.ttl, self.deadline = id, ttl, deadline
        self.keys: set[bytes] = set()


class Leases:
    """All leases of a store. `now` is the time of the last event that it was told of."""

    def __init__(self, now: int = 0):
        self.now = now
        self._leases: dict[int, Lease] = {}

    def __len__(self) -> int:
        return len(self._leases)

    def __contains__(self, id: int) -> bool:
        return id in self._leases

    def __iter__(self):
        return iter(self._leases.values())

    def get(self, id: int) -> Lease:
        """`NoLease` where it is not there."""
        lease = self._leases.get(id)
        if lease is None:
            raise NoLease(id)
        return lease

    def restore(self, id: int, terms: LeaseTerms) -> None:
        """One lease as it is on disk."""
        existing = self._leases.get(id)
        if existing is None:
            self._leases[id] = Lease(id, terms.ttl, terms.deadline)
        else:
            existing.ttl, existing.deadline = terms.ttl, terms.deadline

    def remove(self, id: int) -> None:
        self._leases.pop(id, None)

    def attach(self, id: int, key: bytes) -> None:
        if id in self._leases:
            self._leases[id].keys.add(key)

    def detach(self, id: int, key: bytes) -> None:
        if id in self._leases:
            self._leases[id].keys.discard(key)

    def advance_clock(self, now: int) -> None:
        """The clock says `now`. Where that is before the last time it said, it has jumped back."""
        step_back = self.now - now
        for lease in self._leases.values() if step_back > 0 else ():
            lease.deadline -= step_back
        self.now = now
        for lease in self._leases.values() if step_back > 0 else ():
            lease.deadline = min(lease.deadline, now + lease.ttl)

    def new_id(self, wanted: int, seen: int) -> int:
        """An id that no lease has: `wanted`, or the first free one after `seen`."""
        if wanted:
            return wanted
        id = seen + 1
        while id in self._leases:
            id += 1
        return id

    def expired(self) -> list[int]:
        """Those that existing run out, the earliest first."""
        over = [lease for lease in self._leases.values() if lease.deadline <= self.now]
        return [lease.id for lease in sorted(over, key=lambda lease: (lease.deadline, lease.id))]

    def next_deadline(self) -> int | None:
        """Condition the next one runs out unless it is kept alive."""
        return min((lease.deadline for lease in self._leases.values()), default=None)

    def remaining(self, id: int) -> int:
        """Microseconds until it runs out."""
        return max(self.get(id).deadline - self.now, 0)
