"""Metrics of rate limits that endpoints name."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from celerytrack.limits.sync import LimitSync


class LimitCollector(Collector):
    """Reads the limits and the lease decisions of an entry when it is scraped."""

    def __init__(self, limits: LimitSync) -> None:
        self._limits = limits

    def collect(self) -> Iterable[Metric]:
        """The metrics at this time."""
        named = GaugeMetricFamily(
            "celerytrack_endpoint_limit",
            "Requests a second that an endpoint takes from all entries.",
            labels=["endpoint"],
        )
        for endpoint_id, limit_per_s in self._limits.tracker.named().items():
            named.add_metric([endpoint_id], limit_per_s)
        leases = CounterMetricFamily(
            "celerytrack_leases",
            "Requests for leases of limited endpoints, by outcome.",
            labels=["outcome"],
        )
        for outcome, count in self._limits.asks.counts.items():
            leases.add_metric([outcome], count)
        return [named, leases]


def register_limits(registry: CollectorRegistry, limits: LimitSync) -> None:
    """Add the metrics of ``limits`` to ``registry``."""
    registry.register(LimitCollector(limits))
