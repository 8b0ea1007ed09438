"""What a request does while endpoints are closed by their own word: it waits for an
opening that comes in time, or is refused at once with the time of the next."""

import time
from collections.abc import Collection

import attrs

from celerytrack.gateway.admission import NO_ENDPOINT_RETRY_AFTER_S
from celerytrack.gateway.exchange import AttemptFailure, Exchange
from celerytrack.gateway.state import Gateway
from celerytrack.ids import EndpointId
from celerytrack.limits.placement import spread_retry_after_s
from celerytrack.routing.endpoint import Opening
from celerytrack.verdict import Reason

RESUME_WAIT_S = 1.0
"""Longest wait of a stream that has begun: its caller sees it as a pause."""


async def wait_for_opening(gateway: Gateway, exchange: Exchange) -> bool:
    """Wait until an endpoint opens, if an answer from there is in time.

    :returns: whether there may be an endpoint now.
    """
    now_s = time.monotonic()
    opening = _next_opening(gateway, exchange, exchange.tried, now_s)
    if opening is None:
        return False
    max_wait_s = max_placement_wait_s(exchange, opening.predicted_s, now_s)
    if opening.opens_in_s > max_wait_s:
        return False
    queue = gateway.openings[exchange.service]
    return await queue.wait(exchange.priority, opening.opens_in_s, max_wait_s)


def refused_until_opening(
    gateway: Gateway, exchange: Exchange, failure: AttemptFailure
) -> AttemptFailure:
    """Add to the failure of a placement when the next endpoint opens."""
    opening = _next_opening(gateway, exchange, (), time.monotonic())
    if opening is None:
        return failure
    retry_after_s = spread_retry_after_s(opening.opens_in_s, gateway.rng)
    if opening.all_closed:
        detail = "all endpoints leave or back off"
        return attrs.evolve(
            failure,
            reason=Reason.BACKING_OFF,
            detail=detail,
            retry_after_s=retry_after_s,
        )
    sooner_s = failure.retry_after_s
    if sooner_s is None:
        sooner_s = NO_ENDPOINT_RETRY_AFTER_S
    return attrs.evolve(failure, retry_after_s=min(sooner_s, retry_after_s))


def max_placement_wait_s(exchange: Exchange, predicted_s: float, now_s: float) -> float:
    """Longest wait for an endpoint after which its answer is in time.

    :param predicted_s: time to the first output once the request is sent.
    """
    if exchange.response is not None:
        return max(0.0, min(RESUME_WAIT_S, exchange.deadline_at_s - now_s))
    answer_at_s = min(
        exchange.deadline_at_s, exchange.started_s + exchange.route.target_s
    )
    return max(0.0, answer_at_s - predicted_s - now_s)


def _next_opening(
    gateway: Gateway,
    exchange: Exchange,
    avoid: Collection[EndpointId],
    now_s: float,
) -> Opening | None:
    load_ratio = gateway.fleet_load_ratio(exchange.service, now_s)
    return gateway.endpoints.next_opening(exchange.profile, avoid, load_ratio, now_s)
