"""Quarantine of requests that may crash endpoints.

A suspect is sent, tried in isolation by one entry at a time, or refused.
"""

import asyncio
import logging
import time

from celerytrack.endpoint import Choice, Endpoint
from celerytrack.events import Event, log_event
from celerytrack.findings import Probe
from celerytrack.gateway.exchange import AttemptFailure, Exchange
from celerytrack.gateway.state import Gateway
from celerytrack.ids import EndpointId
from celerytrack.process_end import ENDING_KNOWN_S
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run

_log = logging.getLogger(__name__)

TYPICAL_PROBE_S = 1.0
"""``Retry-After`` while a request is on trial: most trials have ended by then."""
OPERATOR_LIFT_RETRY_AFTER_S = 3_600.0
"""``Retry-After`` if only an operator can lift the quarantine, who may do so
meanwhile."""


def suspect_state_of(
    gateway: Gateway, exchange: Exchange, now_s: float
) -> SuspectState:
    """Return the current standing of a request."""
    book = gateway.suspects.tracker
    if not book or not book.has_prefix(exchange.place):
        return SuspectState.CLEAR
    builds = gateway.endpoints.available_builds(exchange.service, now_s)
    return book.state_of(exchange.fingerprint, builds, now_s)


def quarantine_refusal(gateway: Gateway, exchange: Exchange, now_s: float) -> Refusal:
    """Return the refusal of a quarantined request."""
    allowed_in_s = gateway.suspects.tracker.retry_after_s(exchange.fingerprint, now_s)
    if allowed_in_s is None:
        allowed_in_s = OPERATOR_LIFT_RETRY_AFTER_S
    detail = f"endpoints ended under request {exchange.fingerprint.hex()}"
    retry_after_s = max(allowed_in_s, TYPICAL_PROBE_S)
    return did_not_run(Reason.QUARANTINED, retry_after_s, detail)


def quarantine_failure(
    gateway: Gateway, exchange: Exchange, now_s: float
) -> AttemptFailure:
    """Return the attempt failure of a quarantined request.

    An earlier attempt may have sent the request.
    """
    refusal = quarantine_refusal(gateway, exchange, now_s)
    return AttemptFailure(
        Reason.QUARANTINED, Verdict.DID_NOT_RUN, False, refusal.detail, sent=False
    )


def choose_endpoint(
    gateway: Gateway, exchange: Exchange, standing: SuspectState, now_s: float
) -> Choice | None:
    """Choose an endpoint for a request.

    While other endpoints have room, no two suspects share an endpoint, and no request
    shares one with a request on trial.
    """
    avoided = _endpoints_to_avoid(gateway, standing, now_s)
    chosen = _choose(gateway, exchange, [*exchange.tried, *avoided], now_s)
    if chosen is None and avoided:
        chosen = _choose(gateway, exchange, exchange.tried, now_s)
    return chosen


def _endpoints_to_avoid(
    gateway: Gateway, standing: SuspectState, now_s: float
) -> set[EndpointId]:
    book = gateway.suspects.tracker
    if not book:
        return set()
    endpoints = book.probed_endpoints(now_s)
    if standing is not SuspectState.CLEAR:
        endpoints.update(gateway.suspects_in_flight.elements())
    return endpoints


def _choose(
    gateway: Gateway, exchange: Exchange, avoid: list[EndpointId], now_s: float
) -> Choice | None:
    table = gateway.routing_table
    assert table is not None
    service = table.services.get(exchange.service)
    connections = service.max_connections if service else 1
    load_times = gateway.fleet_load_ratio(now_s)
    return gateway.endpoints.choose(
        exchange.need, load_times, connections, avoid, now_s
    )


async def begin_probe(gateway: Gateway, exchange: Exchange, endpoint: Endpoint) -> bool:
    """Begin an isolated trial of a request.

    The other entries are notified before the request is sent.

    :return: whether this entry may run the trial.
    """
    now_s = time.monotonic()
    fingerprint = exchange.fingerprint
    trial = Probe(fingerprint, endpoint.endpoint_id, exchange.deadline_at_s - now_s)
    members = gateway.share_sync.members.live_peers(now_s)
    others = [member.entry_id for member in members]
    if not await gateway.suspects.begin_probe(trial, others):
        return False
    log_event(
        _log,
        Event.SUSPECT_TRIED,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        fingerprint=fingerprint.hex(),
        endpoint=endpoint.endpoint_id,
    )
    return True


def cancel_probe(gateway: Gateway, exchange: Exchange) -> None:
    """End an inconclusive trial, so that another may begin."""
    keeper = gateway.suspects
    keeper.publish(keeper.tracker.cancel_probe(exchange.fingerprint))


def cancel_probe_later(gateway: Gateway, exchange: Exchange) -> None:
    """End an interrupted trial once it is known whether the endpoint crashed.

    A crash that is found meanwhile ends the trial itself.
    """
    loop = asyncio.get_running_loop()
    loop.call_later(ENDING_KNOWN_S, cancel_probe, gateway, exchange)


def record_success(gateway: Gateway, exchange: Exchange) -> None:
    """Clear a request after a complete answer: it did not cause the crashes of other
    endpoints."""
    keeper = gateway.suspects
    if not keeper.tracker or not keeper.tracker.has_prefix(exchange.place):
        return
    findings = keeper.tracker.record_success(exchange.fingerprint, time.monotonic())
    if findings.is_empty:
        return
    keeper.publish(findings)
    log_event(
        _log,
        Event.SUSPECT_CLEARED,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        fingerprint=exchange.fingerprint.hex(),
        endings=[evidence.crash.endpoint_id for evidence in findings.cleared],
    )
