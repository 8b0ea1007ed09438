"""Places a request: chooses its endpoint, with a lease if the endpoint is limited."""

import time

import attrs
from returns.result import Failure, Result, Success

from celerytrack.endpoint import Choice, Endpoint
from celerytrack.gateway.exchange import AttemptFailure, Exchange
from celerytrack.gateway.quarantine import choose_endpoint
from celerytrack.gateway.state import Gateway
from celerytrack.ids import EndpointId
from celerytrack.limit_leases import LeaseDenied
from celerytrack.limit_sync import Lease
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Verdict

MAX_ASKS = 3
"""Limited endpoints at which a request asks for a lease before it goes to one without
a limit: each one costs a round trip between entries."""
RESUME_WAIT_S = 1.0
"""Longest wait of a stream that has begun: its caller sees it as a pause."""
RETRY_SPREAD = 0.5
"""Share by which ``Retry-After`` varies, so that callers don't come back together."""


@attrs.define
class Placement:
    """The endpoint of one attempt, and the lease for it.

    :ivar lease: ``None`` while no endpoint is limited.
    :ivar used: whether the request was sent.
    """

    choice: Choice
    lease: Lease | None = None
    used: bool = False

    def give_back_unused(self, gateway: Gateway) -> None:
        """Return the lease if the request was not sent."""
        if self.lease is not None and not self.used:
            gateway.limit_sync.give_back(self.lease)


PlacementResult = Result[Placement, AttemptFailure]


def no_endpoint(detail: str) -> AttemptFailure:
    """Return the failure of a request that may be sent to no endpoint."""
    return AttemptFailure(
        Reason.NO_ENDPOINT, Verdict.DID_NOT_RUN, False, detail, sent=False
    )


def is_backpressure(
    gateway: Gateway, endpoint: Endpoint, failure: AttemptFailure
) -> bool:
    """Whether a limited endpoint rejected a request, which is no sign of a fault."""
    return (
        failure.reason is Reason.NO_CAPACITY
        and not failure.hard
        and gateway.limit_sync.tracker.limit_per_s(endpoint.endpoint_id) is not None
    )


async def place(
    gateway: Gateway, exchange: Exchange, suspect_state: SuspectState
) -> PlacementResult:
    """Choose the endpoint of the next attempt.

    A request whose best endpoint has no room in its limit goes to the next best. If
    all are limited, it waits for a token as long as its answer can still be in time.
    """
    if not gateway.limit_sync.tracker:
        chosen = choose_endpoint(gateway, exchange, suspect_state, time.monotonic())
        if chosen is None:
            return Failure(no_endpoint("none has room"))
        return Success(Placement(chosen))
    return await _place_within_limits(gateway, exchange, suspect_state)


async def _place_within_limits(
    gateway: Gateway, exchange: Exchange, suspect_state: SuspectState
) -> PlacementResult:
    limits = gateway.limit_sync
    for asks in range(MAX_ASKS + 1):
        now_s = time.monotonic()
        excluded = limits.denied(now_s) if asks < MAX_ASKS else limits.tracker.limited()
        chosen = choose_endpoint(gateway, exchange, suspect_state, now_s, excluded)
        if chosen is None:
            break
        placement = await _lease(gateway, exchange, chosen, 0.0)
        if isinstance(placement, Placement):
            return Success(placement)
    if choose_endpoint(gateway, exchange, suspect_state, time.monotonic()) is None:
        return Failure(no_endpoint("none has room"))
    return await _wait_for_lease(gateway, exchange)


async def _wait_for_lease(gateway: Gateway, exchange: Exchange) -> PlacementResult:
    """Wait for a token of one of the limited endpoints.

    It is a random one of those that may have a token in time, so that those who wait
    spread over all of them.
    """
    now_s = time.monotonic()
    denied_s = _denied_candidates(gateway, exchange, now_s)
    retry_after_s = min(denied_s.values(), default=0.0)
    in_time = [
        choice
        for endpoint_id, wait_s in denied_s.items()
        if (choice := _predict_at(gateway, exchange, endpoint_id, now_s))
        and wait_s <= _max_wait_s(exchange, choice, now_s)
    ]
    if in_time:
        choice = gateway.rng.choice(in_time)
        max_wait_s = _max_wait_s(exchange, choice, now_s)
        match await _lease(gateway, exchange, choice, max_wait_s):
            case Placement() as placement:
                return Success(placement)
            case LeaseDenied(denied_s_after):
                retry_after_s = denied_s_after
    spread = gateway.rng.uniform(1.0, 1.0 + RETRY_SPREAD)
    return Failure(
        AttemptFailure(
            Reason.RATE_LIMITED,
            Verdict.DID_NOT_RUN,
            False,
            "all endpoints with room are limited",
            sent=False,
            retry_after_s=spread * retry_after_s,
        )
    )


def _denied_candidates(
    gateway: Gateway, exchange: Exchange, now_s: float
) -> dict[EndpointId, float]:
    """The limited endpoints that the request may go to, and when to ask again."""
    denied_s = gateway.limit_sync.denied(now_s)
    return {
        endpoint_id: denied_s.get(endpoint_id, 0.0)
        for endpoint_id in gateway.limit_sync.tracker.limited()
        if endpoint_id not in exchange.tried
        and gateway.endpoints.serves(endpoint_id, exchange.service)
    }


def _predict_at(
    gateway: Gateway, exchange: Exchange, endpoint_id: EndpointId, now_s: float
) -> Choice | None:
    return gateway.endpoints.predict_at(
        endpoint_id,
        exchange.profile,
        gateway.fleet_load_ratio(now_s),
        gateway.max_connections(exchange.service),
        now_s,
    )


def _max_wait_s(exchange: Exchange, choice: Choice, now_s: float) -> float:
    if exchange.response is not None:
        return min(RESUME_WAIT_S, exchange.deadline_at_s - now_s)
    answer_at_s = min(
        exchange.deadline_at_s, exchange.started_s + exchange.route.target_s
    )
    return max(0.0, answer_at_s - choice.predicted_s - now_s)


async def _lease(
    gateway: Gateway, exchange: Exchange, choice: Choice, max_wait_s: float
) -> Placement | LeaseDenied:
    """Get a lease for a choice, which may have become invalid meanwhile."""
    endpoint = choice.endpoint
    was_available = gateway.endpoints.is_available(endpoint)
    lease = await gateway.limit_sync.acquire(
        endpoint.endpoint_id, exchange.priority, max_wait_s
    )
    if isinstance(lease, LeaseDenied):
        exchange.limited.append(endpoint.endpoint_id)
        return lease
    if was_available and not gateway.endpoints.is_available(endpoint):
        gateway.limit_sync.give_back(lease)
        return LeaseDenied(0.0)
    return Placement(choice, lease)
