"""How a request ended: the answer to the caller, one log line, one count."""

import logging
import math
import time

from aiohttp import web

from celerytrack.events import Event, log_event
from celerytrack.gateway.exchange import AttemptFailure, Exchange, PlainAnswer
from celerytrack.gateway.refusals import refusal_response
from celerytrack.gateway.state import Gateway
from celerytrack.planned_stop import PlannedStop
from celerytrack.verdict import Refusal, Verdict

_log = logging.getLogger(__name__)


def cut(gateway: Gateway, exchange: Exchange, detail: str) -> web.StreamResponse:
    """End a begun answer so that it does not look whole."""
    assert exchange.response is not None
    count(gateway, exchange, "cut")
    log_event(
        _log,
        Event.STREAM_CUT,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        route=exchange.route.name,
        events=exchange.events.event_count,
        detail=detail,
        tried=exchange.tried,
    )
    transport = exchange.request.transport
    if transport is not None:
        transport.close()
    return exchange.response


def plain(gateway: Gateway, answer: PlainAnswer) -> web.StreamResponse:
    """The response that carries an endpoint's whole answer."""
    response = web.Response(
        status=answer.status, headers=answer.headers, body=answer.body
    )
    if gateway.leaving:
        response.force_close()
    return response


def answered(gateway: Gateway, exchange: Exchange, status: int) -> None:
    """The caller got its endpoint's answer, good or not."""
    count(gateway, exchange, "answered" if status < 500 else "endpoint_failed")
    choice = exchange.choice
    assert choice is not None
    now_s = time.monotonic()
    gateway.durations.add(exchange.route.name, now_s - exchange.started_s)
    log_event(
        _log,
        Event.ANSWERED,
        request_id=exchange.facts.request_id,
        route=exchange.route.name,
        status=status,
        target_ms=round(exchange.route.target_s * 1_000),
        tried=exchange.tried,
        events=exchange.events.event_count,
        covered_ms=_after_ms(exchange, exchange.covered_s),
        predicted_ms=round(choice.predicted_s * 1_000),
        work_ms=round(choice.work_s * 1_000),
        first_ms=_after_ms(exchange, exchange.first_s),
        took_ms=_after_ms(exchange, now_s),
    )


def taken_leaving(
    gateway: Gateway, exchange: Exchange, stop: PlannedStop, now_s: float
) -> None:
    """A request was taken though a planned stop has begun."""
    log_event(
        _log,
        Event.TAKEN_LEAVING,
        request_id=exchange.facts.request_id,
        route=exchange.route.name,
        after_ms=round((now_s - stop.began_s) * 1_000),
        may_last_ms=round((exchange.ends_s - now_s) * 1_000),
    )


def _after_ms(exchange: Exchange, at_s: float | None) -> int | None:
    return None if at_s is None else round((at_s - exchange.started_s) * 1_000)


def refuse(
    gateway: Gateway,
    request: web.BaseRequest,
    exchange: Exchange | None,
    refusal: Refusal,
) -> web.StreamResponse:
    """Answer with a refusal or failure of our own."""
    ran = refusal.verdict is Verdict.MAY_HAVE_RUN
    log_event(
        _log,
        Event.FAILED if ran else Event.REFUSED,
        request_id=exchange.facts.request_id if exchange else None,
        path=request.path,
        route=exchange.route.name if exchange else None,
        reason=refusal.reason.value,
        verdict=refusal.verdict.value,
        detail=refusal.detail,
        tried=exchange.tried if exchange else [],
        account=exchange.account if exchange else None,
        rows_age_ms=_age_ms(gateway.keeper.members.read_age_s(time.monotonic())),
        config_age_ms=_age_ms(gateway.config_age_s(time.monotonic())),
        config_version=gateway.table.version if gateway.table else None,
    )
    count(gateway, exchange, refusal.reason.value)
    return refusal_response(refusal, gateway.leaving)


def _age_ms(age_s: float) -> int | None:
    return round(age_s * 1_000) if math.isfinite(age_s) else None


def count(gateway: Gateway, exchange: Exchange | None, outcome: str) -> None:
    """Count how a request ended."""
    route = exchange.route.name if exchange else "none"
    gateway.telemetry.outcomes.labels(route, outcome).inc()


def attempt_failed(
    gateway: Gateway, exchange: Exchange, endpoint: str, failure: AttemptFailure
) -> None:
    """One endpoint gave no good answer."""
    gateway.telemetry.attempts_failed.labels(endpoint, failure.reason.value).inc()
    log_event(
        _log,
        Event.ATTEMPT_FAILED,
        request_id=exchange.facts.request_id,
        endpoint=endpoint,
        reason=failure.reason.value,
        verdict=failure.verdict.value,
        detail=failure.detail,
        events=exchange.events.event_count,
        fingerprint=exchange.fingerprint.hex() if failure.broke else None,
    )
