"""Quantiles of the latency of sites, by class of request. Pure."""

from collections import OrderedDict, deque

MAX_SAMPLES = 64  # number of latest results kept for a site and class
MIN_SAMPLES = 8  # minimum number of results for a quantile
MAX_SERIES = 512  # maximum number of pairs of site and class; the oldest is dropped


class SiteLatencies:
    """Quantiles of latency over the last results, by site and class.

    A cancelled subrequest counts with the time until its cancellation. It would have taken longer, so quantiles may be
    too short where subrequests are cancelled.
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
        """Return a quantile in microseconds, or 0 with fewer than `MIN_SAMPLES` results."""
        latencies = self._latencies.get((site, cls))
        if latencies is None or len(latencies) < MIN_SAMPLES:
            return 0
        position = min(int(fraction * len(latencies)), len(latencies) - 1)
        return sorted(latencies)[position]
