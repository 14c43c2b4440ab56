"""Latencies by class in HDR histograms (the library comes with the extra `store`)."""

from typing import Any

QUANTILES = (50.0, 90.0, 99.0, 99.9)


class Latencies:
    """Microseconds in, milliseconds out."""

    def __init__(self) -> None:
        self._by_class: dict[str, Any] = {}

    def add(self, cls: str, took: int) -> None:
        if cls not in self._by_class:
            from hdrh.histogram import HdrHistogram

            self._by_class[cls] = HdrHistogram(1, 600_000_000, 3)
        self._by_class[cls].record_value(max(took, 1))

    def table(self) -> dict[str, dict[str, float]]:
        return {
            cls: {
                "count": held.get_total_count(),
                **{f"p{quantile:g}_ms": held.get_value_at_percentile(quantile) / 1_000 for quantile in QUANTILES},
            }
            for cls, held in sorted(self._by_class.items())
        }
