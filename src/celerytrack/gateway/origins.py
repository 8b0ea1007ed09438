"""The origin of the stream that a request goes on with: found, recorded, corrected."""

import asyncio
import logging
import math
import time

import attrs

from celerytrack.events import Event, log_event
from celerytrack.gateway.exchange import Exchange
from celerytrack.gateway.refusals import RefusedError
from celerytrack.gateway.state import Gateway
from celerytrack.origins.memory import StreamId
from celerytrack.origins.origin import StreamOrigin
from celerytrack.origins.sync import Finding, KnownOrigin
from celerytrack.routing.endpoint import Dispatch, Endpoint, Registration
from celerytrack.verdict import Reason, did_not_run

_log = logging.getLogger(__name__)

UNKNOWN_RETRY_AFTER_S = 0.3
"""``Retry-After`` if no entry says what began the stream: a message may be late, or the
caller may come to an entry that knows."""


async def find_origin(gateway: Gateway, exchange: Exchange) -> None:
    """Find what began the stream that a request takes up, and go on only there.

    :raises RefusedError: if it is not known, or the route leads elsewhere by now.
    """
    now_s = time.monotonic()
    origin = _sole_origin(gateway, exchange, now_s)
    if origin is not None:
        exchange.infers_origin = True
        gateway.telemetry.taken_up.labels("one_version").inc()
        _log_found(gateway, exchange, origin, "one_version", now_s)
    else:
        origin = await _asked_origin(gateway, exchange, now_s)
    if origin is None or origin.version is None:
        detail = "what began the stream is not known"
        raise RefusedError(
            did_not_run(Reason.ORIGIN_UNKNOWN, UNKNOWN_RETRY_AFTER_S, detail)
        )
    if origin.service not in {service for service, _ in exchange.route.services}:
        detail = "the route no longer leads to the service that began the stream"
        raise RefusedError(
            did_not_run(Reason.ORIGIN_UNKNOWN, UNKNOWN_RETRY_AFTER_S, detail)
        )
    exchange.service = origin.service
    exchange.origin = origin


def _sole_origin(
    gateway: Gateway, exchange: Exchange, now_s: float
) -> StreamOrigin | None:
    """The origin if nothing else can have begun the stream.

    An entry that has just started doesn't know which versions ended before.
    """
    if not gateway.origins.knows_versions(now_s):
        return None
    return only_origin(gateway, exchange, now_s, now_s)


def only_origin(
    gateway: Gateway, exchange: Exchange, began_before_s: float, now_s: float
) -> StreamOrigin | None:
    """The service and version of a route that has no other, and had none lately.

    :param began_before_s: a time before which the stream began.
    """
    service, _ = exchange.route.services[0]
    version = gateway.sole_versions.supported(service, began_before_s, now_s)
    return None if version is None else StreamOrigin(service, version)


async def _asked_origin(
    gateway: Gateway, exchange: Exchange, now_s: float
) -> StreamOrigin | None:
    finding = await _ask_others(gateway, exchange, now_s)
    known = finding.known
    if known is not None:
        found = known.found
        source = "told" if known.known_from is None else "asked"
        gateway.telemetry.taken_up.labels(source).inc()
        _log_found(gateway, exchange, found.origin, source, now_s, known)
        return found.origin
    # Others know no other version either, or all that could have begun a stream at one.
    origin = None
    if finding.heard:
        origin = only_origin(gateway, exchange, now_s, time.monotonic())
    if origin is None:
        gateway.telemetry.taken_up.labels("unknown").inc()
        _log_found(gateway, exchange, origin, "unknown", now_s)
    else:
        exchange.infers_origin = True
        gateway.telemetry.taken_up.labels("one_version").inc()
        _log_found(gateway, exchange, origin, "one_version_after_asking", now_s)
    return origin


async def _ask_others(gateway: Gateway, exchange: Exchange, now_s: float) -> Finding:
    """Ask what began a stream, until it is proved that only one version can have."""
    first = exchange.facts.resumes or exchange.facts.request_id
    service, _ = exchange.route.services[0]
    stream = StreamId(exchange.account, first)
    if not gateway.origins.knows_versions(now_s):
        return await gateway.origins.find(stream, now_s)
    asking = asyncio.create_task(gateway.origins.find(stream, now_s))
    proving = asyncio.create_task(gateway.sole_versions.find(service, now_s))
    try:
        await asyncio.wait((asking, proving), return_when=asyncio.FIRST_COMPLETED)
        if asking.done() and asking.result().known is not None:
            return asking.result()
        if await proving is not None and not asking.done():
            return Finding(None, heard=True)
        finding = await asking
        return attrs.evolve(
            finding, heard=finding.heard or proving.result() is not None
        )
    finally:
        asking.cancel()
        proving.cancel()


def _log_found(
    gateway: Gateway,
    exchange: Exchange,
    origin: StreamOrigin | None,
    source: str,
    asked_s: float,
    known: KnownOrigin | None = None,
) -> None:
    now_s = time.monotonic()
    view_age_s = gateway.endpoints_view_age_s(now_s)
    log_event(
        _log,
        Event.STREAM_ORIGIN,
        request_id=exchange.facts.request_id,
        first=exchange.facts.resumes,
        service=None if origin is None else origin.service,
        version=None if origin is None else origin.version,
        source=source,
        known_from=None if known is None else known.known_from,
        age_ms=None if known is None else round(known.found.age_s * 1_000),
        view_age_ms=round(view_age_s * 1_000) if view_age_s < math.inf else None,
        took_ms=round((now_s - asked_s) * 1_000),
    )


def record_began(
    gateway: Gateway, exchange: Exchange, dispatch: Dispatch | None
) -> None:
    """Record what writes the first event that is passed on to the caller.

    :param dispatch: ``None`` if another entry sent the request to the endpoint.
    """
    if dispatch is not None:
        exchange.writer = _writer_at(gateway, dispatch.endpoint)
    if exchange.infers_origin:
        _record_inferred(gateway, exchange)
    if exchange.origin is not None or exchange.writer is None:
        return
    exchange.origin = exchange.writer
    if dispatch is not None:
        exchange.origin_endpoint = dispatch.endpoint.endpoint_id
    if exchange.sender is None and exchange.route.resumable:
        _record_origin(gateway, exchange, exchange.origin)


async def may_be_other_version(
    gateway: Gateway, exchange: Exchange, dispatch: Dispatch
) -> bool:
    """Whether an endpoint that was sent a stream to go on with has come into doubt
    since, so that what it writes may be of another version."""
    endpoint, service = dispatch.endpoint, exchange.service
    if exchange.origin is None or not gateway.endpoints.is_doubted(endpoint):
        return False
    if not gateway.endpoints.has_versions(service, time.monotonic()):
        return False
    await gateway.endpoint_doubts.settled([endpoint.endpoint_id])
    return gateway.endpoints.is_doubted(endpoint)


def _record_origin(gateway: Gateway, exchange: Exchange, origin: StreamOrigin) -> None:
    stream = StreamId(exchange.account, exchange.facts.request_id)
    now_s = time.monotonic()
    if origin.version is not None:
        gateway.origins.record_began(stream, origin, now_s)
    elif exchange.origin_endpoint is not None:
        gateway.unresolved_origins.add(stream, exchange.origin_endpoint, now_s)
        gateway.origins.record_in_doubt(
            stream, origin.service, exchange.origin_endpoint
        )


def _record_inferred(gateway: Gateway, exchange: Exchange) -> None:
    """Record what began a stream that is taken up: what proves it now may not do so at
    the caller's next try."""
    exchange.infers_origin = False
    first, origin = exchange.facts.resumes, exchange.origin
    if first is not None and origin is not None:
        stream = StreamId(exchange.account, first)
        gateway.origins.record_began(stream, origin, time.monotonic())


def _writer_at(gateway: Gateway, endpoint: Endpoint) -> StreamOrigin:
    registration = endpoint.registration
    version = None if gateway.endpoints.is_doubted(endpoint) else registration.version
    return StreamOrigin(registration.service, version)


def resolve_origin(gateway: Gateway, exchange: Exchange) -> bool:
    """Find what began the stream of a request, if that was in doubt.

    :returns: whether the request may be sent.
    """
    origin, endpoint_id = exchange.origin, exchange.origin_endpoint
    if origin is None or origin.version is not None:
        return True
    resolved = None if endpoint_id is None else gateway.endpoints.origin_at(endpoint_id)
    if resolved is None or resolved.service != origin.service:
        return False
    exchange.origin = resolved
    return True


async def settle_origin(gateway: Gateway, exchange: Exchange) -> bool:
    """Find what began the stream of a request, after a check in progress if need be.

    :returns: whether the request may be sent.
    """
    if resolve_origin(gateway, exchange):
        return True
    if exchange.origin_endpoint is not None:
        await gateway.endpoint_doubts.settled([exchange.origin_endpoint])
    return resolve_origin(gateway, exchange)


async def settle_doubts(gateway: Gateway, exchange: Exchange) -> bool:
    """Wait for an endpoint that a stream could go on at, if it weren't in doubt.

    :returns: whether a doubt was settled.
    """
    if exchange.origin is None:
        return False
    doubted = gateway.endpoints.doubted(
        exchange.profile, exchange.tried, time.monotonic()
    )
    return await gateway.endpoint_doubts.settled(doubted)


def correct_origins(gateway: Gateway, registration: Registration) -> None:
    """Correct the origin of the streams in progress at an endpoint that registers as
    another incarnation: a connection that is still open leads to that one.

    What other entries were told before makes the stream one that can't be taken up.
    """
    origin = StreamOrigin(registration.service, registration.version)
    for exchange in gateway.exchanges:
        dispatch = exchange.dispatch
        if dispatch is None or exchange.origin_endpoint != registration.endpoint_id:
            continue
        before = dispatch.endpoint.registration
        if before.endpoint_id != registration.endpoint_id:
            continue
        if before.address == registration.address and exchange.origin != origin:
            exchange.origin = origin
            _record_origin(gateway, exchange, origin)
