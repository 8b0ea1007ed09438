"""Places a request: chooses its endpoint, with a lease if the endpoint is limited."""

import time
from collections.abc import Collection

import attrs

from celerytrack.gateway.exchange import AttemptFailure, Exchange
from celerytrack.gateway.openings import max_placement_wait_s
from celerytrack.gateway.quarantine import choose_endpoint
from celerytrack.gateway.state import Gateway
from celerytrack.ids import EndpointId
from celerytrack.limits.asks import Lease
from celerytrack.limits.leases import LeaseDenied
from celerytrack.limits.placement import (
    Candidate,
    LeasePlacer,
    spread_retry_after_s,
)
from celerytrack.limits.room import LeaseOutcome
from celerytrack.routing.endpoint import Choice, Endpoint
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Verdict


@attrs.define
class Placement:
    """The endpoint of one attempt, and the lease for it.

    :ivar lease: ``None`` while no endpoint is limited.
    :ivar used: whether the request was sent.
    """

    choice: Choice
    lease: Lease | None = None
    used: bool = False

    def end_lease(self, gateway: Gateway, outcome: LeaseOutcome) -> None:
        """Return the lease if the request was not sent, or report its end."""
        if self.lease is None:
            return
        asks = gateway.notices.limits.asks
        if self.used:
            asks.end(self.lease, outcome)
        else:
            asks.give_back(self.lease)


IN_DOUBT = "what began the stream is in doubt"
"""Detail of the failure of a stream that began at an endpoint in doubt."""


def no_endpoint(detail: str) -> AttemptFailure:
    """Return the failure of a request that may be sent to no endpoint."""
    return AttemptFailure(
        Reason.NO_ENDPOINT, Verdict.DID_NOT_RUN, False, detail, sent=False
    )


def none_has_room(gateway: Gateway, exchange: Exchange, now_s: float) -> AttemptFailure:
    """Return the failure of a request for which no endpoint has room."""
    wait_s = gateway.endpoints.established_in_s(exchange.profile, now_s)
    if wait_s is not None:
        failure = no_endpoint("none of an established version has room")
        return attrs.evolve(failure, retry_after_s=wait_s)
    origin = exchange.origin
    of_version = "" if origin is None else f" of version {origin.version}"
    return no_endpoint(f"none{of_version} has room")


def is_backpressure(
    gateway: Gateway, endpoint: Endpoint, failure: AttemptFailure
) -> bool:
    """Whether an endpoint that is limited or backs off rejected a request, which is no
    sign of a fault."""
    if failure.reason is not Reason.NO_CAPACITY or failure.hard:
        return False
    limit_per_s = gateway.notices.limits.tracker.limit_per_s(endpoint.endpoint_id)
    return limit_per_s is not None or is_backing_off(gateway, endpoint)


def is_backing_off(gateway: Gateway, endpoint: Endpoint) -> bool:
    """Whether an endpoint asked for a backoff that is not known to be over."""
    born_ms = endpoint.registration.born_ms
    backoffs = gateway.notices.state.backoffs
    return backoffs.until_s(endpoint.endpoint_id, born_ms) is not None


async def place(
    gateway: Gateway, exchange: Exchange, suspect_state: SuspectState
) -> Placement | AttemptFailure:
    """Choose the endpoint of the next attempt while some endpoint has said something
    of itself."""
    now_s = time.monotonic()
    if gateway.notices.state:
        withheld = gateway.endpoints.withheld(exchange.service, now_s)
        exchange.withheld.update(withheld)
    if gateway.notices.limits.tracker:
        return await _place_within_limits(gateway, exchange, suspect_state)
    chosen = choose_endpoint(gateway, exchange, suspect_state, now_s)
    return Placement(chosen) if chosen else none_has_room(gateway, exchange, now_s)


async def _place_within_limits(
    gateway: Gateway, exchange: Exchange, suspect_state: SuspectState
) -> Placement | AttemptFailure:
    """Choose the endpoint of the next attempt while some endpoint is limited."""

    def choose(excluded: Collection[EndpointId]) -> Candidate[Choice] | None:
        now_s = time.monotonic()
        chosen = choose_endpoint(gateway, exchange, suspect_state, now_s, excluded)
        return Candidate(chosen.endpoint.endpoint_id, chosen) if chosen else None

    placer = LeasePlacer[Choice](
        gateway.notices.limits,
        exchange.priority,
        lambda choice: gateway.endpoints.is_available(
            choice.endpoint, time.monotonic()
        ),
        exchange.limited,
    )
    leased = await placer.lease_best(choose)
    if leased is not None:
        return Placement(leased.choice, leased.lease)
    now_s = time.monotonic()
    candidates = _limited_candidates(gateway, exchange, now_s)
    if not candidates:
        return none_has_room(gateway, exchange, now_s)
    waited = await placer.lease_in_time(candidates, gateway.rng)
    if isinstance(waited, LeaseDenied):
        return _rate_limited(spread_retry_after_s(waited.retry_after_s, gateway.rng))
    return Placement(waited.choice, waited.lease)


def _limited_candidates(
    gateway: Gateway, exchange: Exchange, now_s: float
) -> list[Candidate[Choice]]:
    """The limited endpoints that may run the request."""
    load_ratio = gateway.fleet_load_ratio(exchange.service, now_s)
    connections = gateway.max_connections(exchange.service)
    candidates = []
    for endpoint_id in gateway.notices.limits.tracker.limited():
        if endpoint_id in exchange.tried:
            continue
        choice = gateway.endpoints.predict_at(
            endpoint_id, exchange.profile, load_ratio, connections, now_s
        )
        if choice is not None:
            max_wait_s = max_placement_wait_s(exchange, choice.predicted_s, now_s)
            candidates.append(Candidate(endpoint_id, choice, max_wait_s))
    return candidates


def _rate_limited(retry_after_s: float) -> AttemptFailure:
    return AttemptFailure(
        Reason.RATE_LIMITED,
        Verdict.DID_NOT_RUN,
        False,
        "all endpoints with room are limited",
        sent=False,
        retry_after_s=retry_after_s,
    )
