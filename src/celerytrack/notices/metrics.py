"""Metrics of what endpoints say of themselves."""

import time
from collections.abc import Iterable

from prometheus_client import CollectorRegistry
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from celerytrack.notices.sync import NoticeSync


class NoticeCollector(Collector):
    """Reads which endpoints leave or asked for a backoff when it is scraped."""

    def __init__(self, notices: NoticeSync) -> None:
        self._notices = notices

    def collect(self) -> Iterable[Metric]:
        """The metrics at this time."""
        now_s = time.monotonic()
        backoffs = GaugeMetricFamily(
            "celerytrack_endpoint_backoff_seconds",
            "Time for which an endpoint wants no requests from this entry.",
            labels=["endpoint"],
        )
        for endpoint_id, until_s in self._notices.state.backoffs.in_force().items():
            backoffs.add_metric([endpoint_id], max(0.0, until_s - now_s))
        leaving = GaugeMetricFamily(
            "celerytrack_endpoints_leaving",
            "Endpoints that said in an answer that they leave, since the start.",
            value=len(self._notices.state.leaving),
        )
        return [backoffs, leaving]


def register_notices(registry: CollectorRegistry, notices: NoticeSync) -> None:
    """Add the metrics of ``notices`` to ``registry``."""
    registry.register(NoticeCollector(notices))
