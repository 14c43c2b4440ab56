"""The metrics of the DUMP command in the Prometheus text format, collected on each DUMP.

The request path only increments four integers per class in the coordinator.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence

from prometheus_client.core import CollectorRegistry, GaugeMetricFamily, Metric, UntypedMetricFamily
from prometheus_client.exposition import generate_latest

RESULTS = ("ok", "shed", "errors", "tries")  # label values, in the order of the coordinator's counts per class


class MetricsCollector:
    """A prometheus_client collector with its own registry."""

    def __init__(
        self,
        counts_by_class: Mapping[str, Sequence[int]],
        active_requests: Callable[[], int],
        pool_size: Callable[[], int],
        unavailable_engines: Callable[[], int],
    ):
        """Set the sources of the metrics.

        `counts_by_class` are the counts since the start, per class in the order of `RESULTS`; the functions return
        the current values of the gauges.
        """
        self._counts_by_class = counts_by_class
        self._active_requests = active_requests
        self._pool_size = pool_size
        self._unavailable_engines = unavailable_engines
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def collect(self) -> Iterator[Metric]:
        """Yield the current metrics. Called by prometheus_client."""
        responses = UntypedMetricFamily(
            "balancer_responses", "requests by class and end, and attempts", labels=("kind", "result")
        )
        for name, counts in sorted(self._counts_by_class.items()):
            for result, count in zip(RESULTS, counts, strict=True):
                responses.add_metric((name, result), count)
        yield responses
        yield GaugeMetricFamily("balancer_active", "requests taken and not ended", value=self._active_requests())
        yield GaugeMetricFamily("balancer_pool_size", "engines in the list", value=self._pool_size())
        yield GaugeMetricFamily(
            "balancer_pool_ejected", "listed engines avoided, by hand or by choice", value=self._unavailable_engines()
        )

    def text(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return generate_latest(self._registry)
