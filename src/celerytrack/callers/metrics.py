"""Metrics of what callers hold."""

from collections.abc import Iterable

from prometheus_client import CollectorRegistry
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from celerytrack.callers.account import HoldKind
from celerytrack.callers.callers import Callers


class CallersCollector(Collector):
    """Reads what callers hold when it is scraped."""

    def __init__(self, callers: Callers) -> None:
        self._callers = callers

    def collect(self) -> Iterable[Metric]:
        """The metrics at this time."""
        account = self._callers.account
        held = GaugeMetricFamily(
            "celerytrack_caller_bytes",
            "Memory that callers hold, by what it is.",
            labels=["kind"],
        )
        evicted = CounterMetricFamily(
            "celerytrack_caller_evictions",
            "Callers that yielded since they stalled.",
            labels=["kind"],
        )
        refused = CounterMetricFamily(
            "celerytrack_caller_memory_refusals",
            "Times that there was no memory for what a caller sent.",
            labels=["kind"],
        )
        for kind in HoldKind:
            name = kind.name.lower()
            held.add_metric([name], account.held_bytes[kind])
            evicted.add_metric([name], account.evictions[kind])
            refused.add_metric([name], account.refusals[kind])
        return [held, evicted, refused, *self._connections()]

    def _connections(self) -> list[Metric]:
        now = GaugeMetricFamily(
            "celerytrack_caller_connections",
            "Connections of callers, by listening address.",
            labels=["listener"],
        )
        closed = CounterMetricFamily(
            "celerytrack_caller_connections_closed",
            "Idle connections that were closed to make room.",
            labels=["listener"],
        )
        refused = CounterMetricFamily(
            "celerytrack_caller_connections_refused",
            "New connections that were closed since none was idle.",
            labels=["listener"],
        )
        given_up = CounterMetricFamily(
            "celerytrack_caller_connections_given_up",
            "Connections closed since a head didn't end, or an answer was not taken.",
            labels=["listener"],
        )
        for name, table in self._callers.tables.items():
            now.add_metric([name], len(table))
            closed.add_metric([name], table.closed)
            refused.add_metric([name], table.refused)
            given_up.add_metric([name], table.given_up)
        return [now, closed, refused, given_up]


def register_callers(registry: CollectorRegistry, callers: Callers) -> None:
    """Add the metrics of what callers hold to ``registry``."""
    registry.register(CallersCollector(callers))
