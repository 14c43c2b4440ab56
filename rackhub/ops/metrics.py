"""The metrics of DUMP in the Prometheus text format, collected when DUMP asks for them.

The request path only increments four integers a class in the coordinator.
"""

from collections.abc import Callable, Iterator, Mapping, Sequence

from prometheus_client.core import CollectorRegistry, GaugeMetricFamily, Metric, UntypedMetricFamily
from prometheus_client.exposition import generate_latest

RESULTS = ("ok", "shed", "errors", "tries")  # in the order of the coordinator's counts by class


class MetricsCollector:
    """A collector of prometheus_client, with a registry of its own."""

    def __init__(
        self,
        by_class: Mapping[str, Sequence[int]],
        active: Callable[[], int],
        pool_size: Callable[[], int],
        pool_ejected: Callable[[], int],
    ):
        """Read from `by_class`, counts in the order of `RESULTS` by class since the start, and from the functions."""
        self._by_class = by_class
        self._active = active
        self._pool_size = pool_size
        self._pool_ejected = pool_ejected
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def collect(self) -> Iterator[Metric]:
        """The current metrics; prometheus_client calls it."""
        responses = UntypedMetricFamily(
            "balancer_responses", "requests by class and end, and attempts", labels=("kind", "result")
        )
        for name, counts in sorted(self._by_class.items()):
            for result, count in zip(RESULTS, counts, strict=True):
                responses.add_metric((name, result), count)
        yield responses
        yield GaugeMetricFamily("balancer_active", "requests taken and not ended", value=self._active())
        yield GaugeMetricFamily("balancer_pool_size", "engines in the list", value=self._pool_size())
        yield GaugeMetricFamily(
            "balancer_pool_ejected", "listed engines avoided, by hand or by choice", value=self._pool_ejected()
        )

    def text(self) -> bytes:
        """The metrics in the Prometheus text format."""
        return generate_latest(self._registry)
