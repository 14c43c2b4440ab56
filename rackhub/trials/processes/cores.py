"""What an engine does with its cores, as a model without I/O: shared among all that runs, less work done past a limit,
less while cold, and down for good where it is pushed over while cold.

Times are whole microseconds; work is microseconds of one core.
"""

from collections import deque
from collections.abc import Hashable

import msgspec

SECOND = 1_000_000


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """`line` threads a core are borne; past it total work falls to `1 / (1 + steep * (threads a core - line))`."""

    cores: float = 4.0
    line: float = 2.0
    steep: float = 0.25
    cold_from: float = 0.32
    ramp: int = 13 * SECOND
    fall_multiple: float = 2.0
    fall: int = 3 * SECOND
    sessions: int = 64  # more are turned away as full


class Cores:
    """One engine's run from one start. `came_up` None: it is warm from the beginning."""

    def __init__(self, model: Model, now: int, came_up: int | None = None):
        self.model, self.came_up, self._since = model, came_up, now
        self.slow = 1.0  # all takes so many times as long
        self.running: dict[Hashable, list[float]] = {}  # work left, threads, all work
        self.sent: deque[tuple[int, float]] = deque()  # while cold: when, and the work that came
        self.worst = 0.0  # the most that came in any window, as a part of what pushes it over

    def warm(self, now: int) -> float:
        if self.came_up is None or now - self.came_up >= self.model.ramp:
            return 1.0
        return self.model.cold_from + (1 - self.model.cold_from) * (now - self.came_up) / self.model.ramp

    def threads(self) -> float:
        return sum(threads for _, threads, _ in self.running.values())

    def share(self, now: int) -> float:
        """Of one core, for each thread that runs."""
        threads = self.threads()
        if not threads:
            return 1.0
        over = max(threads / self.model.cores - self.model.line, 0.0)
        able = self.model.cores * self.warm(now) / (1 + self.model.steep * over) / self.slow
        return min(1.0 / self.slow, able / threads)

    def settle(self, now: int) -> None:
        passed, self._since = now - self._since, now
        share = self.share(now)
        for run in self.running.values():
            run[0] -= passed * share * run[1]

    def add(self, key: Hashable, work: float, threads: int, now: int) -> bool:
        """Run this too; False: it pushed the engine over, which is down from now on."""
        self.settle(now)
        self.running[key] = [work, threads, work]
        if self.warm(now) >= 1.0:
            return True
        self.sent.append((now, work))
        while self.sent[0][0] <= now - self.model.fall:
            self.sent.popleft()
        able = self.model.cores * self.warm(now) * self.model.fall * self.model.fall_multiple
        self.worst = max(self.worst, sum(work for _, work in self.sent) / able)
        return self.worst <= 1.0

    def drop(self, key: Hashable, now: int) -> None:
        self.settle(now)
        self.running.pop(key, None)

    def done(self, now: int) -> list[Hashable]:
        """What is through by now, in the order it came; it no longer runs."""
        self.settle(now)
        through = [key for key, run in self.running.items() if run[0] <= 1.0]
        for key in through:
            del self.running[key]
        return through

    def advance(self, key: Hashable, now: int) -> float:
        """The part of it that is done."""
        self.settle(now)
        left, _, whole = self.running[key]
        return min(max(1 - left / max(whole, 1.0), 0.0), 1.0)

    def due(self, now: int) -> int | None:
        """When to look again; shares change as it warms up, so a cold one is looked at often."""
        if not self.running:
            return None
        share = self.share(now)
        soonest = min(max(left, 0.0) / threads for left, threads, _ in self.running.values()) / share
        return now + max(min(int(soonest) + 1, 100_000 if self.warm(now) < 1.0 else 10 * SECOND), 500)
