"""Outcomes of requests: the answer to the caller, one log line and one count."""

import logging
import math
import time

from aiohttp import web
from returns.result import Failure, Result

from celerytrack.event_order import Disorder
from celerytrack.events import Event, log_event
from celerytrack.gateway.exchange import AttemptFailure, BufferedAnswer, Exchange
from celerytrack.gateway.refusals import refusal_response
from celerytrack.gateway.state import Gateway
from celerytrack.ids import EndpointId, EntryId
from celerytrack.planned_stop import PlannedStop
from celerytrack.routing.endpoint import Registration
from celerytrack.verdict import Refusal, Verdict

_log = logging.getLogger(__name__)


def abort_stream(
    gateway: Gateway, exchange: Exchange, detail: str
) -> web.StreamResponse:
    """Abort a stream that has begun, so that the caller sees it as incomplete."""
    assert exchange.response is not None
    count_outcome(gateway, exchange, "cut")
    log_event(
        _log,
        Event.STREAM_CUT,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        route=exchange.route.name,
        events=exchange.events.event_count,
        framing=exchange.framing.value if exchange.framing else None,
        detail=detail,
        tried=exchange.tried,
    )
    abort_connection(exchange)
    return exchange.response


def abort_connection(exchange: Exchange) -> None:
    """Close the connection of a stream that stays incomplete."""
    transport = exchange.request.transport
    if transport is not None:
        transport.close()


def log_relayed(
    gateway: Gateway,
    exchange: Exchange,
    helper: EntryId,
    endpoint: EndpointId | None,
    failure: AttemptFailure | None,
) -> None:
    """Log and count an attempt that was made through another entry."""
    outcome = "answered" if failure is None else failure.reason.value
    gateway.telemetry.relayed.labels("sent", outcome).inc()
    log_event(
        _log,
        Event.RELAYED,
        request_id=exchange.facts.request_id,
        service=exchange.service,
        through=helper,
        endpoint=endpoint,
        outcome=outcome,
        verdict=None if failure is None else failure.verdict.value,
        detail=None if failure is None else failure.detail,
    )


def log_relay_served(
    gateway: Gateway,
    exchange: Exchange,
    endpoint: EndpointId | None,
    result: "Result[BufferedAnswer | None, AttemptFailure]",
) -> None:
    """Log and count an attempt that was made for another entry."""
    failure = result.failure() if isinstance(result, Failure) else None
    outcome = "answered" if failure is None else failure.reason.value
    gateway.telemetry.relayed.labels("served", outcome).inc()
    log_event(
        _log,
        Event.RELAY_SERVED,
        request_id=exchange.facts.request_id,
        sender=exchange.sender,
        endpoint=endpoint,
        outcome=outcome,
        took_ms=_since_start_ms(exchange, time.monotonic()),
    )


def make_response(gateway: Gateway, answer: BufferedAnswer) -> web.StreamResponse:
    """Make the response that carries an endpoint's complete answer."""
    response = web.Response(
        status=answer.status, headers=answer.headers, body=answer.body
    )
    if gateway.leaving:
        response.force_close()
    return response


def record_answer(gateway: Gateway, exchange: Exchange, status: int) -> None:
    """Log and count a request whose caller got an endpoint's answer of any status."""
    count_outcome(gateway, exchange, "answered" if status < 500 else "endpoint_failed")
    choice = exchange.choice
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
        limited=exchange.limited,
        withheld=sorted(exchange.withheld),
        events=exchange.events.event_count,
        framing=exchange.framing.value if exchange.framing else None,
        covered_ms=_since_start_ms(exchange, exchange.reserved_at_s),
        predicted_ms=round(choice.predicted_s * 1_000) if choice else None,
        work_ms=round(choice.work_s * 1_000) if choice else None,
        through=exchange.through,
        first_ms=_since_start_ms(exchange, exchange.first_data_at_s),
        took_ms=_since_start_ms(exchange, now_s),
    )


def log_admitted_while_draining(
    gateway: Gateway, exchange: Exchange, stop: PlannedStop, now_s: float
) -> None:
    """Log a request that was admitted after a planned stop had begun."""
    log_event(
        _log,
        Event.TAKEN_LEAVING,
        request_id=exchange.facts.request_id,
        route=exchange.route.name,
        after_ms=round((now_s - stop.began_s) * 1_000),
        may_last_ms=round((exchange.deadline_at_s - now_s) * 1_000),
    )


def log_taken_up(exchange: Exchange) -> None:
    """Log a request that goes on with a stream that an earlier one began."""
    log_event(
        _log,
        Event.STREAM_TAKEN_UP,
        request_id=exchange.facts.request_id,
        route=exchange.route.name,
        service=exchange.service,
        first=exchange.facts.resumes,
    )


def log_resumed(exchange: Exchange, registration: Registration) -> None:
    """Log that an endpoint goes on with a stream."""
    log_event(
        _log,
        Event.STREAM_RESUMED,
        request_id=exchange.facts.request_id,
        endpoint=registration.endpoint_id,
        version=registration.version,
        events=exchange.events.event_count,
    )


def log_disorder(
    gateway: Gateway, exchange: Exchange, disorder: Disorder, repeats: int
) -> None:
    """Log and count an answer whose events don't follow each other."""
    endpoint_id = exchange.tried[-1] if exchange.tried else None
    gateway.telemetry.disordered.labels(endpoint_id).inc()
    log_event(
        _log,
        Event.STREAM_DISORDERED,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        endpoint=endpoint_id,
        route=exchange.route.name,
        standing=disorder.standing.value,
        number=disorder.number,
        after=disorder.after,
        repeats=repeats,
        tried=exchange.tried,
    )


def log_unidentified(
    gateway: Gateway, exchange: Exchange, status: int, did_not_run: bool
) -> None:
    """Log an answer that doesn't say to which request it belongs."""
    log_event(
        _log,
        Event.ANSWER_UNIDENTIFIED,
        request_id=exchange.facts.request_id,
        endpoint=exchange.tried[-1] if exchange.tried else None,
        status=status,
        did_not_run=did_not_run,
    )


def _since_start_ms(exchange: Exchange, at_s: float | None) -> int | None:
    return None if at_s is None else round((at_s - exchange.started_s) * 1_000)


def refuse(
    gateway: Gateway,
    request: web.BaseRequest,
    exchange: Exchange | None,
    refusal: Refusal,
) -> web.StreamResponse:
    """Answer with a refusal or failure that this entry generates."""
    may_have_run = refusal.verdict is Verdict.MAY_HAVE_RUN
    log_event(
        _log,
        Event.FAILED if may_have_run else Event.REFUSED,
        request_id=exchange.facts.request_id if exchange else None,
        path=request.path,
        route=exchange.route.name if exchange else None,
        reason=refusal.reason.value,
        verdict=refusal.verdict.value,
        detail=refusal.detail,
        tried=exchange.tried if exchange else [],
        through=exchange.through if exchange else [],
        limited=exchange.limited if exchange else [],
        withheld=sorted(exchange.withheld) if exchange else [],
        account=exchange.account if exchange else None,
        rows_age_ms=_age_ms(gateway.share_sync.members.read_age_s(time.monotonic())),
        config_age_ms=_age_ms(gateway.config_age_s(time.monotonic())),
        config_version=gateway.routing_table.version if gateway.routing_table else None,
    )
    count_outcome(gateway, exchange, refusal.reason.value)
    return refusal_response(refusal, gateway.leaving)


def _age_ms(age_s: float) -> int | None:
    return round(age_s * 1_000) if math.isfinite(age_s) else None


def count_outcome(gateway: Gateway, exchange: Exchange | None, outcome: str) -> None:
    """Count the outcome of a request."""
    route = exchange.route.name if exchange else "none"
    gateway.telemetry.outcomes.labels(route, outcome).inc()
    if exchange is not None and exchange.withheld:
        gateway.telemetry.withheld.labels(outcome).inc()


def record_attempt_failure(
    gateway: Gateway, exchange: Exchange, endpoint: str, failure: AttemptFailure
) -> None:
    """Log and count an attempt that failed at ``endpoint``."""
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
        fingerprint=exchange.fingerprint.hex() if failure.was_interrupted else None,
    )
