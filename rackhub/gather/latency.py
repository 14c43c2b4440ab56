"""Latency of each site by class of request, from its last results. Pure."""

from collections import OrderedDict, deque

MAX_SAMPLES = 64  # latest results of one site and class that count
MIN_SAMPLES = 8  # results from which a quantile is given
MAX_SERIES = 512  # pairs of site and class; the oldest makes way


class SiteLatencies:
    """Quantiles of latency over the last results, by site and class.

    A cancelled subrequest counts with the time until its cancellation. It would have taken longer, so quantiles err on
    the short side, and only by what was cancelled.
    """

    def __init__(self) -> None:
        self._latencies: OrderedDict[tuple[str, str], deque[int]] = OrderedDict()

    def add(self, site: str, cls: str, latency: int) -> None:
        """Record the latency of one subrequest in microseconds."""
        series = site, cls
        if series not in self._latencies and len(self._latencies) >= MAX_SERIES:
            self._latencies.popitem(last=False)
        self._latencies.setdefault(series, deque(maxlen=MAX_SAMPLES)).append(latency)

    def quantile(self, site: str, cls: str, fraction: float) -> int:
        """The quantile in microseconds, or 0 where there are too few results."""
        latencies = self._latencies.get((site, cls))
        if latencies is None or len(latencies) < MIN_SAMPLES:
            return 0
        position = min(int(fraction * len(latencies)), len(latencies) - 1)
        return sorted(latencies)[position]
