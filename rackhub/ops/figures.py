"""The figures of DUMP, in the Prometheus text format, written by prometheus_client and read at the moment of asking:
nothing is counted for them on the request path but four integers a class in the core."""

from collections.abc import Callable, Iterator, Mapping, Sequence

from prometheus_client.core import CollectorRegistry, GaugeMetricFamily, Metric, UntypedMetricFamily
from prometheus_client.exposition import generate_latest

RESULTS = ("ok", "shed", "errors", "tries")  # in the order of the core's counts by class


class Figures:
    """`by_class`: name -> [served, refused, failed, attempts] since the start; the others are read when asked."""

    def __init__(
        self,
        by_class: Mapping[str, Sequence[int]],
        active: Callable[[], int],
        pool_size: Callable[[], int],
        pool_ejected: Callable[[], int],
    ):
        self._by_class, self._active, self._size, self._ejected = by_class, active, pool_size, pool_ejected
        self._registry = CollectorRegistry(auto_describe=False)
        self._registry.register(self)

    def collect(self) -> Iterator[Metric]:
        responses = UntypedMetricFamily(
            "balancer_responses", "requests by class and end, and attempts", labels=("kind", "result")
        )
        for name, counts in sorted(self._by_class.items()):
            for result, count in zip(RESULTS, counts, strict=True):
                responses.add_metric((name, result), count)
        yield responses
        yield GaugeMetricFamily("balancer_active", "requests taken and not ended", value=self._active())
        yield GaugeMetricFamily("balancer_pool_size", "engines in the list", value=self._size())
        yield GaugeMetricFamily(
            "balancer_pool_ejected", "listed engines avoided, by hand or by choice", value=self._ejected()
        )

    def text(self) -> bytes:
        return generate_latest(self._registry)
