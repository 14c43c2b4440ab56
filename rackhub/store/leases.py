"""The leases of a store: their keys and deadlines. No I/O; the caller passes the time in.

Deadlines are Unix times, because time passes while a store is closed. The clock may be wrong: if it is behind the last
recorded time, it was set back, and all deadlines move back by the difference so that no lease is prolonged; and the
remaining time of a lease never exceeds its ttl.
"""

from rackhub.store.errors import NoLease
from rackhub.store.records import LeaseTerms


class Lease:
    """A lease: its ttl and deadline in microseconds, and its keys."""

    __slots__ = ("id", "ttl", "deadline", "keys")

    def __init__(self, id: int, ttl: int, deadline: int):
        self.id, self.ttl, self.deadline = id, ttl, deadline
        self.keys: set[bytes] = set()


class Leases:
    """All leases of a store. `now`: the latest time passed in, in Unix microseconds."""

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
        """Return a lease. Raises `NoLease`."""
        lease = self._leases.get(id)
        if lease is None:
            raise NoLease(id)
        return lease

    def restore(self, id: int, terms: LeaseTerms) -> None:
        """Set a lease as it is stored."""
        existing = self._leases.get(id)
        if existing is None:
            self._leases[id] = Lease(id, terms.ttl, terms.deadline)
        else:
            existing.ttl, existing.deadline = terms.ttl, terms.deadline

    def remove(self, id: int) -> None:
        """Remove a lease, if it exists."""
        self._leases.pop(id, None)

    def attach(self, id: int, key: bytes) -> None:
        """Add a key to a lease, if the lease exists."""
        if id in self._leases:
            self._leases[id].keys.add(key)

    def detach(self, id: int, key: bytes) -> None:
        """Remove a key from a lease."""
        if id in self._leases:
            self._leases[id].keys.discard(key)

    def advance_clock(self, now: int) -> None:
        """Set the current time. A time before the previous one means that the clock was set back."""
        step_back = self.now - now
        for lease in self._leases.values() if step_back > 0 else ():
            lease.deadline -= step_back
        self.now = now
        for lease in self._leases.values() if step_back > 0 else ():
            lease.deadline = min(lease.deadline, now + lease.ttl)

    def new_id(self, wanted: int, seen: int) -> int:
        """Return `wanted`, or if that is 0 the first unused id after `seen`."""
        if wanted:
            return wanted
        id = seen + 1
        while id in self._leases:
            id += 1
        return id

    def expired(self) -> list[int]:
        """The ids of the leases that have expired, earliest deadline first."""
        over = [lease for lease in self._leases.values() if lease.deadline <= self.now]
        return [lease.id for lease in sorted(over, key=lambda lease: (lease.deadline, lease.id))]

    def next_deadline(self) -> int | None:
        """The earliest deadline, or None without leases."""
        return min((lease.deadline for lease in self._leases.values()), default=None)

    def remaining(self, id: int) -> int:
        """Microseconds until the lease expires. Raises `NoLease`."""
        return max(self.get(id).deadline - self.now, 0)
