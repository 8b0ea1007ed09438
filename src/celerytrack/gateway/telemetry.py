"""Metrics of an entry process."""

import collections
from collections.abc import Iterable

import prometheus_client as prom
from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from celerytrack.ids import EndpointId

_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0, 12.0)


class _AttemptCollector(Collector):
    """Counts requests sent to endpoints.

    A labelled counter would cost each request several times as much.
    """

    def __init__(self, attempts: collections.Counter[EndpointId]) -> None:
        self._attempts = attempts

    def collect(self) -> Iterable[Metric]:
        """The counts at this time."""
        family = CounterMetricFamily(
            "celerytrack_attempts", "Requests sent to endpoints.", labels=["endpoint"]
        )
        for endpoint_id, count in self._attempts.items():
            family.add_metric([endpoint_id], count)
        return [family]


class Telemetry:
    """Counters, gauges and histograms in a separate registry."""

    def __init__(self) -> None:
        self.registry = prom.CollectorRegistry()
        self.outcomes = prom.Counter(
            "celerytrack_outcomes_total",
            "Requests by route and outcome.",
            ("route", "outcome"),
            registry=self.registry,
        )
        self.first_answer = prom.Histogram(
            "celerytrack_first_answer_seconds",
            "Time to the first piece of an answer.",
            ("route",),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )
        self.attempts: collections.Counter[EndpointId] = collections.Counter()
        self.registry.register(_AttemptCollector(self.attempts))
        self.attempts_failed = prom.Counter(
            "celerytrack_attempts_failed_total",
            "Attempts at endpoints that failed.",
            ("endpoint", "reason"),
            registry=self.registry,
        )
        self.disordered = prom.Counter(
            "celerytrack_streams_disordered_total",
            "Answers of endpoints whose event ids don't increase.",
            ("endpoint",),
            registry=self.registry,
        )
        self.relayed = prom.Counter(
            "celerytrack_relayed_total",
            "Attempts made through another entry, or for one, by outcome.",
            ("side", "outcome"),
            registry=self.registry,
        )
        self.withheld = prom.Counter(
            "celerytrack_requests_withheld_total",
            "Requests that were not sent to an endpoint that leaves or backs off.",
            ("outcome",),
            registry=self.registry,
        )
        self.endpoints_ended = prom.Counter(
            "celerytrack_endpoints_ended_total",
            "Endpoints that ended while they ran requests of this entry.",
            registry=self.registry,
        )
        self.taken_up = prom.Counter(
            "celerytrack_streams_taken_up_total",
            "Requests that take up a stream, by how its version is known.",
            ("known",),
            registry=self.registry,
        )
        self.faults = prom.Counter(
            "celerytrack_request_faults_total",
            "Requests that ended with an exception that isn't foreseen.",
            registry=self.registry,
        )
        self.suspects = prom.Gauge(
            "celerytrack_suspects",
            "Requests under which endpoints ended, by what they are taken for.",
            ("standing",),
            registry=self.registry,
        )
        self.in_flight = prom.Gauge(
            "celerytrack_in_flight", "Requests in progress.", registry=self.registry
        )
        self.config_version = prom.Gauge(
            "celerytrack_config_version",
            "Version of the configuration in force.",
            registry=self.registry,
        )
        self.store_restores = prom.Counter(
            "celerytrack_store_restores_total",
            "Times the log came back from an older copy.",
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        return bytes(prom.generate_latest(self.registry))
