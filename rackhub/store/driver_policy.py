"""The decisions of the store's driver: where to sync, how long to pause between slices of work, when to retry a failed
disk.

No I/O: durations and times are passed in.
"""

MS, SECOND = 1_000, 1_000_000


class DriverPolicy:
    """Times are in microseconds.

    Syncing in the event loop's own thread costs least while the disk is fast. A slow sync would block all requests, so
    it is moved to another thread, at the cost of two context switches.
    """

    SLOW_SYNC = 3 * MS  # average duration above which syncs leave the event loop's thread
    STALLED_SYNC = 20 * MS  # a single sync of this duration shows that the disk stalls at times
    STALL_HOLDOFF = 60 * SECOND  # time for which syncs stay in another thread after a stall
    PAUSE_RATIO = 4  # length of the pause after a slice of work, in multiples of the slice's duration
    MIN_RETRY_DELAY, MAX_RETRY_DELAY = SECOND, 60 * SECOND

    def __init__(self) -> None:
        self._average = 0.0
        self._stalled_until = 0
        self._retry_delay = self.MIN_RETRY_DELAY

    def sync_finished(self, duration: int, now: int) -> None:
        """Record the duration of a sync, in whichever thread it ran."""
        self._average += (duration - self._average) / 8
        if duration > self.STALLED_SYNC:
            self._stalled_until = now + self.STALL_HOLDOFF

    def use_thread(self, now: int) -> bool:
        """Return whether the next sync should run in another thread.

        Syncs return to the event loop by themselves, because `sync_finished` also records those of other threads.
        """
        return self._average > self.SLOW_SYNC or now < self._stalled_until

    def work_pause(self, duration: int) -> int:
        """The pause after a slice of work of this duration."""
        return max(self.PAUSE_RATIO * duration, MS)

    def next_retry_delay(self) -> int:
        """The time until the next retry of a failed disk; it doubles with each call."""
        delay, self._retry_delay = self._retry_delay, min(self._retry_delay * 2, self.MAX_RETRY_DELAY)
        return delay

    def disk_recovered(self) -> None:
        """Reset the retry delay."""
        self._retry_delay = self.MIN_RETRY_DELAY
