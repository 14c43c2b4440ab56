"""How a store is tended from an event loop: when to sync in another thread, how long to rest between slices, when to
try a failed disk again. Pure: it is told what things took."""

MS, SECOND = 1_000, 1_000_000


class DriverPolicy:
    """Times in microseconds. A sync in the loop's own thread costs least while the disk is quick; one that is slow
    holds every request up, so it is moved to another thread, at the price of two switches."""

    SLOW = 3 * MS  # a usual sync that is too long for the loop's own thread
    STALL = 20 * MS  # one that shows that the disk stalls now and then
    WARY = 60 * SECOND  # for so long after a stall syncs stay in the other thread
    REST = 4  # times as long as a slice took, before the next one
    RETRY_FIRST, RETRY_MOST = SECOND, 60 * SECOND

    def __init__(self) -> None:
        self._usual = 0.0
        self._wary_until = 0
        self._retry = self.RETRY_FIRST

    def sync_finished(self, took: int, now: int) -> None:
        """A sync took so long."""
        self._usual += (took - self._usual) / 8
        if took > self.STALL:
            self._wary_until = now + self.WARY

    def use_thread(self, now: int) -> bool:
        """Whether the next sync should be done in another thread. One in so many is tried here again by itself, as
        `sync_finished` is told of those done elsewhere too."""
        return self._usual > self.SLOW or now < self._wary_until

    def work_pause(self, took: int) -> int:
        """How long to leave the loop alone after a slice that took so long."""
        return max(self.REST * took, MS)

    def next_retry_delay(self) -> int:
        """How long to wait before a failed disk is tried (again)."""
        now, self._retry = self._retry, min(self._retry * 2, self.RETRY_MOST)
        return now

    def disk_recovered(self) -> None:
        self._retry = self.RETRY_FIRST
