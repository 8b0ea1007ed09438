"""Quarantine of requests that may crash endpoints.

A suspect is sent, sent as a half-open probe by one entry at a time, or refused.
"""

import asyncio
import logging
import time
from collections.abc import Collection

from celerytrack.events import Event, log_event
from celerytrack.findings import Probe
from celerytrack.gateway.exchange import AttemptFailure, Exchange
from celerytrack.gateway.state import Gateway
from celerytrack.ids import EndpointId
from celerytrack.process_end import CRASH_DETECTION_S
from celerytrack.routing.endpoint import Choice, Endpoint
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run

_log = logging.getLogger(__name__)

TYPICAL_PROBE_S = 1.0
"""``Retry-After`` during a half-open probe: most probes have ended by then."""
OPERATOR_LIFT_RETRY_AFTER_S = 3_600.0
"""``Retry-After`` if only an operator can lift the quarantine, who may do so
meanwhile."""


def suspect_state_of(
    gateway: Gateway, exchange: Exchange, now_s: float
) -> SuspectState:
    """Return how suspect a request is now."""
    tracker = gateway.suspect_sync.tracker
    if not tracker or not tracker.has_prefix(exchange.fingerprint_prefix):
        return SuspectState.CLEAR
    builds = gateway.endpoints.available_builds(exchange.service, now_s)
    return tracker.state_of(exchange.fingerprint, builds, now_s)


def quarantine_refusal(gateway: Gateway, exchange: Exchange, now_s: float) -> Refusal:
    """Return the refusal of a quarantined request."""
    allowed_in_s = gateway.suspect_sync.tracker.retry_after_s(
        exchange.fingerprint, now_s
    )
    if allowed_in_s is None:
        allowed_in_s = OPERATOR_LIFT_RETRY_AFTER_S
    detail = f"endpoints ended under request {exchange.fingerprint.hex()}"
    retry_after_s = max(allowed_in_s, TYPICAL_PROBE_S)
    return did_not_run(Reason.QUARANTINED, retry_after_s, detail)


def quarantine_failure(
    gateway: Gateway, exchange: Exchange, now_s: float
) -> AttemptFailure:
    """Return the attempt failure of a quarantined request.

    Its verdict is about this attempt only: an earlier one may have sent the request.
    """
    refusal = quarantine_refusal(gateway, exchange, now_s)
    return AttemptFailure(
        Reason.QUARANTINED, Verdict.DID_NOT_RUN, False, refusal.detail, sent=False
    )


def choose_endpoint(
    gateway: Gateway,
    exchange: Exchange,
    suspect_state: SuspectState,
    now_s: float,
    limited: Collection[EndpointId] = (),
) -> Choice | None:
    """Choose an endpoint for a request.

    While other endpoints have room, no two suspects share an endpoint, and no request
    shares one with a half-open probe.

    :param limited: endpoints whose rate limit leaves no room now.
    :return: ``None`` if no endpoint has room.
    """
    excluded = [*exchange.tried, *limited]
    to_avoid = _endpoints_to_avoid(gateway, suspect_state, now_s)
    chosen = _choose(gateway, exchange, [*excluded, *to_avoid], now_s)
    if chosen is None and to_avoid:
        chosen = _choose(gateway, exchange, excluded, now_s)
    return chosen


def _endpoints_to_avoid(
    gateway: Gateway, suspect_state: SuspectState, now_s: float
) -> set[EndpointId]:
    tracker = gateway.suspect_sync.tracker
    if not tracker:
        return set()
    endpoints = tracker.probed_endpoints(now_s)
    if suspect_state is not SuspectState.CLEAR:
        endpoints.update(gateway.suspects_in_flight.elements())
    return endpoints


def _choose(
    gateway: Gateway, exchange: Exchange, to_avoid: list[EndpointId], now_s: float
) -> Choice | None:
    load_ratio = gateway.fleet_load_ratio(exchange.service, now_s)
    connections = gateway.max_connections(exchange.service)
    return gateway.endpoints.choose(
        exchange.profile, load_ratio, connections, to_avoid, now_s
    )


async def begin_probe(gateway: Gateway, exchange: Exchange, endpoint: Endpoint) -> bool:
    """Begin a half-open probe: one entry sends the request, and no other does.

    The other entries are notified before the request is sent.

    :return: whether this entry may send the probe.
    """
    now_s = time.monotonic()
    fingerprint = exchange.fingerprint
    probe = Probe(fingerprint, endpoint.endpoint_id, exchange.deadline_at_s - now_s)
    members = gateway.share_sync.members.live_peers(now_s)
    others = [member.entry_id for member in members]
    if not await gateway.suspect_sync.begin_probe(probe, others):
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
    """End an inconclusive probe, so that another may begin."""
    sync = gateway.suspect_sync
    sync.publish(sync.tracker.cancel_probe(exchange.fingerprint))


def cancel_probe_later(gateway: Gateway, exchange: Exchange) -> None:
    """End an interrupted probe once it is known whether the endpoint crashed.

    A crash that is detected meanwhile ends the probe itself.
    """
    loop = asyncio.get_running_loop()
    loop.call_later(CRASH_DETECTION_S, cancel_probe, gateway, exchange)


def record_success(gateway: Gateway, exchange: Exchange) -> None:
    """Clear a request after a complete answer: it did not cause the crashes of other
    endpoints."""
    sync = gateway.suspect_sync
    if not sync.tracker or not sync.tracker.has_prefix(exchange.fingerprint_prefix):
        return
    findings = sync.tracker.record_success(exchange.fingerprint, time.monotonic())
    if findings.is_empty:
        return
    sync.publish(findings)
    log_event(
        _log,
        Event.SUSPECT_CLEARED,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        fingerprint=exchange.fingerprint.hex(),
        endings=[evidence.crash.endpoint_id for evidence in findings.cleared],
    )
