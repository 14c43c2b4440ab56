"""Quantiles of the latency of attempts, by class and kind of engine. Pure; the histograms are those of HdrHistogram.

Each rule prevents one failure:

- Each class and kind has a current and a previous histogram. The previous one is dropped every `HISTOGRAM_SPAN`, and a
  quantile is computed from both.
- With fewer than `MIN_SAMPLES` samples there is no quantile, and the time-out is its ceiling, or none. The first
  answers are the fastest ones; a limit taken from them would time out all others.
- A sample is ignored if the recent mean of its engine is over `MAX_MEAN_RATIO` times the median engine's. Otherwise one
  slow engine would raise the limit that is to time it out.
- An attempt that was ended by its own time-out would have taken longer, by an unknown amount. It counts as
  `TIMED_OUT_FACTOR` times its elapsed time. Without it, each time-out would lower the quantile, and with it the limit,
  down to nothing.
- A limit falls at most to `MAX_FALL` of its value per `HISTOGRAM_SPAN`, and rises at once.
"""

import math

from hdrh.histogram import HdrHistogram

from rackhub.timings.routes import LearnedLimit

SECOND = 1_000_000  # microseconds
HISTOGRAM_SPAN = 10 * SECOND
MIN_SAMPLES = 50
MAX_MEAN_RATIO = 2.0
TIMED_OUT_FACTOR = 2.0
MAX_FALL = 0.8
MAX_LATENCY_MS = 3_600_000
MEAN_SMOOTHING = 16  # number of answers over which the mean of an engine is smoothed
MAX_ENGINE_MEANS = 4_096  # maximum number of pairs of class and engine; the oldest is dropped


class _Histograms:
    """The latencies and limits of one class on one kind of engine."""

    __slots__ = ("current", "previous", "current_since", "limits")

    def __init__(self, now: int):
        self.current, self.previous = _empty(), _empty()
        self.current_since = now
        self.limits: dict[LearnedLimit, tuple[float, int]] = {}  # the limit and the number of the span it is from


def _empty() -> HdrHistogram:
    """Return an empty histogram of tenths of a millisecond with two significant digits."""
    return HdrHistogram(1, MAX_LATENCY_MS * 10, 2)


class LatencyQuantiles:
    """The latencies of all classes and kinds of engines. Elapsed times are microseconds, limits milliseconds."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str], _Histograms] = {}
        self._log_means: dict[tuple[str, str], float] = {}  # smoothed logarithm of the latency, by class and engine
        # the time of the computation and the median of the log means, by class
        self._medians: dict[str, tuple[int, float]] = {}

    def record(self, cls: str, kind: str, engine: str, elapsed: int, now: int, timed_out: bool = False) -> None:
        """Record an attempt that succeeded after `elapsed`, or was ended then by its own time-out."""
        tenths = max(elapsed // 100, 1)
        if timed_out:
            tenths = int(tenths * TIMED_OUT_FACTOR)
        log = math.log(tenths)
        mean = self._log_means.get((cls, engine))
        if mean is None and len(self._log_means) >= MAX_ENGINE_MEANS:
            del self._log_means[next(iter(self._log_means))]
        self._log_means[cls, engine] = log if mean is None else mean + (log - mean) / MEAN_SMOOTHING
        if self._log_means[cls, engine] > self._median(cls, now) + math.log(MAX_MEAN_RATIO):
            return
        self._histograms_of(cls, kind, now).current.record_value(min(tenths, MAX_LATENCY_MS * 10))

    def _median(self, cls: str, now: int) -> float:
        """Return the median of a class's engine means, computed anew each second."""
        computed_at, median = self._medians.get(cls, (-SECOND, 0.0))
        if not 0 <= now - computed_at < SECOND:
            means = sorted(mean for (other, _), mean in self._log_means.items() if other == cls)
            median = means[(len(means) - 1) // 2]
            self._medians[cls] = now, median
        return median

    def _histograms_of(self, cls: str, kind: str, now: int) -> _Histograms:
        found = self._histograms.get((cls, kind))
        if found is None:
            found = self._histograms[cls, kind] = _Histograms(now)
        elif not 0 <= now - found.current_since < HISTOGRAM_SPAN:
            # After an idle time of two spans the current histogram is outdated too.
            fresh = 0 <= now - found.current_since < 2 * HISTOGRAM_SPAN
            found.previous, found.current, found.current_since = found.current if fresh else _empty(), _empty(), now
        return found

    def limit(
        self, cls: str, kind: str, learned_limit: LearnedLimit, least: float, most: float, now: int
    ) -> float | None:
        """Return the limit in milliseconds, from `least` to `most` (0: no ceiling).

        With too few samples it is the ceiling, or None if there is none.
        """
        histograms = self._histograms_of(cls, kind, now)
        count = histograms.current.get_total_count() + histograms.previous.get_total_count()
        if count < MIN_SAMPLES:
            return most or None
        span = now // HISTOGRAM_SPAN
        before = histograms.limits.get(learned_limit)
        found = before[0] if before is not None else 0.0
        # Each attempt needs the limit; it is computed anew once per span and after each 16 samples.
        if before is None or before[1] != span or not histograms.current.get_total_count() % 16:
            both = _empty()
            both.add(histograms.previous)
            both.add(histograms.current)
            found = both.get_value_at_percentile(learned_limit.percent) / 10 * learned_limit.factor
            if before is not None:
                found = max(found, before[0] * (MAX_FALL if before[1] != span else 1.0))
            histograms.limits[learned_limit] = found, span
        return min(max(found, least), most or math.inf)
