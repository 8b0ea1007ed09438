"""The entry's Prometheus metrics, in their own registry."""

import attrs
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_LATENCY_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.6, 2.5, 5.0)


@attrs.define
class EntryMetrics:
    """The metrics exported on ``/metrics``."""

    registry: CollectorRegistry = attrs.field(factory=CollectorRegistry)
    requests: Counter = attrs.field(init=False)
    refusals: Counter = attrs.field(init=False)
    ttft: Histogram = attrs.field(init=False)
    tokens: Counter = attrs.field(init=False)
    billed_tokens: Counter = attrs.field(init=False)
    in_flight: Gauge = attrs.field(init=False)
    held_tokens: Gauge = attrs.field(init=False)
    faults: Counter = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        r = self.registry
        self.requests = Counter(
            "celerytrack_requests",
            "Requests by class and outcome",
            ["work_class", "outcome"],
            registry=r,
        )
        self.refusals = Counter(
            "celerytrack_refusals",
            "Refusals by reason and verdict",
            ["reason", "verdict"],
            registry=r,
        )
        self.ttft = Histogram(
            "celerytrack_first_token_seconds",
            "Time to first token (or answer) by class",
            ["work_class"],
            buckets=_LATENCY_BUCKETS_S,
            registry=r,
        )
        self.tokens = Counter(
            "celerytrack_streamed_tokens", "Tokens streamed", ["work_class"], registry=r
        )
        self.billed_tokens = Counter(
            "celerytrack_billed_tokens", "Tokens billed", registry=r
        )
        self.in_flight = Gauge(
            "celerytrack_in_flight", "Requests in progress", registry=r
        )
        self.faults = Counter(
            "celerytrack_request_faults",
            "Requests that ended with an exception that isn't foreseen",
            registry=r,
        )
        self.held_tokens = Gauge(
            "celerytrack_escrow_held_tokens", "Tokens held in grants", registry=r
        )
