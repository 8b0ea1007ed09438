"""The origin of the stream that a request goes on with: found, recorded, corrected."""

import logging
import time

from celerytrack.events import Event, log_event
from celerytrack.gateway.exchange import Exchange
from celerytrack.gateway.refusals import RefusedError
from celerytrack.gateway.state import Gateway
from celerytrack.ids import EntryId
from celerytrack.origins.memory import StreamId
from celerytrack.origins.origin import StreamOrigin
from celerytrack.routing.endpoint import Endpoint
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
    if origin is None:
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
    services = [service for service, _ in exchange.route.services]
    if len(services) > 1 or not gateway.origins.knows_versions(now_s):
        return None
    versions = gateway.endpoints.versions(services[0], now_s)
    if len(versions) != 1:
        return None
    return StreamOrigin(services[0], next(iter(versions)))


async def _asked_origin(
    gateway: Gateway, exchange: Exchange, now_s: float
) -> StreamOrigin | None:
    first = exchange.facts.resumes
    known = None
    if first is not None:
        stream = StreamId(exchange.account, first)
        known = await gateway.origins.find(stream, now_s)
    if known is not None:
        found = known.found
        _log_found(exchange, found.origin, known.known_from, found.age_s, now_s)
        return found.origin
    versions = gateway.endpoints.versions(exchange.service, time.monotonic())
    origin = None
    if len(versions) == 1 and len(exchange.route.services) == 1:
        # This entry is too young to be sure, and no other knows better.
        origin = StreamOrigin(exchange.service, next(iter(versions)))
    _log_found(exchange, origin, None, None, now_s)
    return origin


def _log_found(
    exchange: Exchange,
    origin: StreamOrigin | None,
    known_from: EntryId | None,
    age_s: float | None,
    asked_s: float,
) -> None:
    log_event(
        _log,
        Event.STREAM_ORIGIN,
        request_id=exchange.facts.request_id,
        first=exchange.facts.resumes,
        service=None if origin is None else origin.service,
        version=None if origin is None else origin.version,
        known_from=known_from,
        age_ms=None if age_s is None else round(age_s * 1_000),
        took_ms=round((time.monotonic() - asked_s) * 1_000),
    )


def origin_at(endpoint: Endpoint) -> StreamOrigin:
    """What a stream has as its origin that begins at an endpoint."""
    registration = endpoint.registration
    return StreamOrigin(registration.service, registration.version)


def record_began(gateway: Gateway, exchange: Exchange) -> None:
    """Record that the first event of a stream is passed on to the caller."""
    if exchange.origin is None:
        exchange.origin = exchange.writer
    if exchange.takes_up or not exchange.route.resumable or exchange.sender is not None:
        return
    if exchange.origin is not None and exchange.origin.version is not None:
        stream = StreamId(exchange.account, exchange.facts.request_id)
        gateway.origins.record_began(stream, exchange.origin, time.monotonic())
