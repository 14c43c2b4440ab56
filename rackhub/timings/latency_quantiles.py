"""Quantiles of how long attempts take, by class and kind of engine. Pure; histograms by a library.

The rule, each part against one way of going wrong:

- Two histograms a class and kind, one filling, one full; the older is dropped every SPAN. A quantile is of both.
- Under LEAST samples there is no quantile, and the time-out is its ceiling, or none: the first answers are the quick
  ones, and cutting by them would let no others come.
- A sample of an engine whose own recent mean is over APART times the middle engine's is not counted: one slow engine
  must not raise the limit that is to cut it off.
- An attempt that its own time-out cut would have taken longer, by how much is not known. It counts as CUT times the
  limit: left out, the quantile would fall below the limit with each cut, and the limit after it, down to nothing.
- A limit falls by FALL at most with each SPAN, and rises at once.
"""

import math

from hdrh.histogram import HdrHistogram

from rackhub.timings.routes import Learned

SECOND = 1_000_000
SPAN = 10 * SECOND
LEAST = 50
APART = 2.0
CUT = 2.0
FALL = 0.8
MOST_MS = 3_600_000
SMOOTH = 16  # answers that an engine's mean is smoothed over
ENGINES = 4_096  # means kept; beyond that the oldest is dropped


class _Pair:
    """What was seen of one class on one kind."""

    __slots__ = ("filling", "full", "since", "limits")

    def __init__(self, now: int):
        self.filling, self.full = _empty(), _empty()
        self.since = now
        self.limits: dict[Learned, tuple[float, int]] = {}  # the limit in force, and since which span


def _empty() -> HdrHistogram:
    return HdrHistogram(1, MOST_MS * 10, 2)  # tenths of a millisecond, two digits


class Quantiles:
    """All that was learned. Elapsed times in microseconds, limits in milliseconds."""

    def __init__(self) -> None:
        self._pairs: dict[tuple[str, str], _Pair] = {}
        self._means: dict[tuple[str, str], float] = {}  # log of an engine's own mean, by class and engine
        self._middles: dict[str, tuple[int, float]] = {}

    def saw(self, cls: str, kind: str, engine: str, elapsed: int, now: int, cut: bool = False) -> None:
        """An attempt ended well after `elapsed`, or was cut then by its own time-out."""
        tenths = max(elapsed // 100, 1)
        if cut:
            tenths = int(tenths * CUT)
        log = math.log(tenths)
        mean = self._means.get((cls, engine))
        if mean is None and len(self._means) >= ENGINES:
            del self._means[next(iter(self._means))]
        self._means[cls, engine] = log if mean is None else mean + (log - mean) / SMOOTH
        if self._means[cls, engine] > self._middle(cls, now) + math.log(APART):
            return
        self._pair(cls, kind, now).filling.record_value(min(tenths, MOST_MS * 10))

    def _middle(self, cls: str, now: int) -> float:
        """The middle engine's mean of a class, looked at anew each second."""
        at, middle = self._middles.get(cls, (-SECOND, 0.0))
        if not 0 <= now - at < SECOND:
            means = sorted(mean for (other, _), mean in self._means.items() if other == cls)
            middle = means[(len(means) - 1) // 2]
            self._middles[cls] = now, middle
        return middle

    def _pair(self, cls: str, kind: str, now: int) -> _Pair:
        pair = self._pairs.get((cls, kind))
        if pair is None:
            pair = self._pairs[cls, kind] = _Pair(now)
        elif not 0 <= now - pair.since < SPAN:
            # idle for long: what is old by two spans goes too
            fresh = 0 <= now - pair.since < 2 * SPAN
            pair.full, pair.filling, pair.since = pair.filling if fresh else _empty(), _empty(), now
        return pair

    def limit(self, cls: str, kind: str, told: Learned, least: float, most: float, now: int) -> float | None:
        """The limit in milliseconds, within `least` and `most` (0: none); None where too little is known and there is
        no ceiling."""
        pair = self._pair(cls, kind, now)
        count = pair.filling.get_total_count() + pair.full.get_total_count()
        if count < LEAST:
            return most or None
        span = now // SPAN
        before = pair.limits.get(told)
        found = before[0] if before is not None else 0.0
        if before is None or before[1] != span or not pair.filling.get_total_count() % 16:
            both = _empty()  # looked up for every attempt, computed for some
            both.add(pair.full)
            both.add(pair.filling)
            found = both.get_value_at_percentile(told.percent) / 10 * told.factor
            if before is not None:
                found = max(found, before[0] * (FALL if before[1] != span else 1.0))
            pair.limits[told] = found, span
        return min(max(found, least), most or math.inf)
