"""How a store is tended from an event loop: when to sync in another thread, how long to rest between slices, when to
try a failed disk again. Pure: it is told what things duration."""

MS, SECOND = 1_000, 1_000_000


class DriverPolicy:
    """Times in microseconds. A sync in the loop's own thread costs least while the disk is quick; one that is slow
    holds every request up, so it is moved to another thread, at the price of two switches."""

    SLOW_SYNC = 3 * MS  # a usual sync that is too long for the loop's own thread
    STALLED_SYNC = 20 * MS  # one that shows that the disk stalls now and then
    STALL_HOLDOFF = 60 * SECOND  # for so long after a stall syncs stay in the other thread
    PAUSE_RATIO = 4  # times as long as a slice duration, before the next one
    MIN_RETRY_DELAY, MAX_RETRY_DELAY = SECOND, 60 * SECOND

    def __init__(self) -> None:
        self._average = 0.0
        self._stalled_until = 0
        self._retry_delay = self.MIN_RETRY_DELAY

    def sync_finished(self, duration: int, now: int) -> None:
        """A sync duration so long."""
        self._average += (duration - self._average) / 8
        if duration > self.STALLED_SYNC:
            self._stalled_until = now + self.STALL_HOLDOFF

    def use_thread(self, now: int) -> bool:
        """Whether the next sync should be done in another thread. One in so many is tried here again by itself, as
        `sync_finished` is told of those done elsewhere too."""
        return self._average > self.SLOW_SYNC or now < self._stalled_until

    def work_pause(self, duration: int) -> int:
        """How long to leave the loop alone after a slice that duration so long."""
        return max(self.PAUSE_RATIO * duration, MS)

    def next_retry_delay(self) -> int:
        """How long to wait before a failed disk is tried (again)."""
        now, self._retry_delay = self._retry_delay, min(self._retry_delay * 2, self.MAX_RETRY_DELAY)
        return now

    def disk_recovered(self) -> None:
        self._retry_delay = self.MIN_RETRY_DELAY
