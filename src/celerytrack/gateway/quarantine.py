"""Quarantine of requests that may crash endpoints.

A suspect is sent, sent as a half-open probe by one entry at a time, or refused.
"""

import asyncio
import logging
import time
from collections.abc import Collection

from celerytrack.events import Event, log_event
from celerytrack.findings import Probe
from celerytrack.fingerprint import (
    MAX_PART_CHARS,
    PART_PREFIX,
    Fingerprint,
    is_part,
)
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
    if not tracker:
        return SuspectState.CLEAR
    features = _suspected_features(gateway, exchange)
    if not features:
        return SuspectState.CLEAR
    builds = gateway.endpoints.available_builds(exchange.service, now_s)
    return tracker.state_of_request(features, builds, now_s)


def _suspected_features(gateway: Gateway, exchange: Exchange) -> list[Fingerprint]:
    """The features of a request that may be suspected."""
    tracker = gateway.suspect_sync.tracker
    features: list[Fingerprint] = []
    if tracker.has_prefix(PART_PREFIX):
        features.extend(exchange.part_fingerprints)
    if tracker.has_prefix(exchange.fingerprint_prefix):
        features.append(exchange.fingerprint)
    return features


def quarantine_refusal(gateway: Gateway, exchange: Exchange, now_s: float) -> Refusal:
    """Return the refusal of a quarantined request."""
    tracker = gateway.suspect_sync.tracker
    worst = tracker.worst_of(_suspected_features(gateway, exchange))
    allowed_in_s: float | None = 0.0
    if worst is not None:
        allowed_in_s = tracker.retry_after_s(worst, now_s)
    if allowed_in_s is None:
        allowed_in_s = OPERATOR_LIFT_RETRY_AFTER_S
    detail = _quarantine_detail(exchange, worst or exchange.fingerprint)
    retry_after_s = max(allowed_in_s, TYPICAL_PROBE_S)
    return did_not_run(Reason.QUARANTINED, retry_after_s, detail)


def _quarantine_detail(exchange: Exchange, worst: Fingerprint) -> str:
    if not is_part(worst):
        return f"endpoints ended under request {worst.hex()}"
    names = zip(exchange.part_fingerprints, exchange.facts.shared_parts, strict=False)
    name = dict(names).get(worst, "")[:MAX_PART_CHARS]
    return f"endpoints ended under part {worst.hex()} ({name!r}) of prompts"


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
    sync = gateway.suspect_sync
    features = sync.tracker.to_probe(_suspected_features(gateway, exchange))
    if not features:
        # It was cleared meanwhile.
        return True
    left_s = exchange.deadline_at_s - now_s
    probes = [Probe(f, endpoint.endpoint_id, left_s) for f in features]
    members = gateway.share_sync.members.live_peers(now_s)
    others = [member.entry_id for member in members]
    if not await sync.begin_probes(probes, others):
        return False
    exchange.probed = features
    log_event(
        _log,
        Event.SUSPECT_TRIED,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        fingerprint=features[0].hex(),
        endpoint=endpoint.endpoint_id,
    )
    return True


def cancel_probe(gateway: Gateway, exchange: Exchange) -> None:
    """End an inconclusive probe, so that another may begin."""
    sync = gateway.suspect_sync
    sync.publish(sync.tracker.cancel_probes(exchange.probed))


def cancel_probe_later(gateway: Gateway, exchange: Exchange) -> None:
    """End an interrupted probe once it is known whether the endpoint crashed.

    A crash that is detected meanwhile ends the probe itself.
    """
    loop = asyncio.get_running_loop()
    loop.call_later(CRASH_DETECTION_S, cancel_probe, gateway, exchange)


def record_success(gateway: Gateway, exchange: Exchange, build: str) -> None:
    """Clear a request and the parts of its prompt after a complete answer: they did not
    cause the crashes of other endpoints.

    :param build: build of the endpoint that answered.
    """
    sync, now_s = gateway.suspect_sync, time.monotonic()
    if exchange.facts.shared_parts:
        sync.tracker.sound_parts.record(exchange.part_fingerprints, build, now_s)
    if not sync.tracker:
        return
    features = _suspected_features(gateway, exchange)
    findings = sync.tracker.record_successes(features, now_s)
    if findings.is_empty:
        return
    sync.publish(findings)
    log_event(
        _log,
        Event.SUSPECT_CLEARED,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        fingerprint=findings.cleared[0].fingerprint.hex(),
        endings=[evidence.crash.endpoint_id for evidence in findings.cleared],
    )
