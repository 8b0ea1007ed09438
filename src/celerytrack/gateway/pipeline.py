"""The way of one request: admit, reserve, choose, send, settle."""

import asyncio
import logging
import time

from aiohttp import web
from returns.result import Failure, Success

from celerytrack.endpoint import Choice
from celerytrack.events import Event, log_event
from celerytrack.gateway.admission import SHORTLY_S, SOON_S, admit, reserve, settle
from celerytrack.gateway.attempts import (
    AttemptResult,
    CallerGoneError,
    attempt,
    finish,
)
from celerytrack.gateway.exchange import (
    AttemptFailure,
    Exchange,
    PlainAnswer,
)
from celerytrack.gateway.outcomes import (
    answered,
    attempt_failed,
    count,
    cut,
    plain,
    refuse,
    taken_leaving,
)
from celerytrack.gateway.refusals import RefusedError
from celerytrack.gateway.state import Gateway
from celerytrack.gateway.suspect_gate import (
    choose,
    claim,
    ended_well,
    held_back,
    not_sent,
    release,
    release_when_known,
    standing_of,
)
from celerytrack.loop_time import loop_time
from celerytrack.planned_stop import Lasting, PlannedStop
from celerytrack.prepaid import Reservation
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run, may_have_run

_log = logging.getLogger(__name__)

MOST_UNSENT = 3
"""Endpoints that may fail to take the connection before a request is given up:
more than a third of a service going dark at once is not what this helps with."""


async def handle(gateway: Gateway, request: web.BaseRequest) -> web.StreamResponse:
    """Answer one request of a caller."""
    started_s = time.monotonic()
    gateway.in_flight += 1
    gateway.telemetry.in_flight.set(gateway.in_flight)
    try:
        return await _handle(gateway, request, started_s)
    finally:
        gateway.in_flight -= 1
        gateway.telemetry.in_flight.set(gateway.in_flight)


async def _handle(
    gateway: Gateway, request: web.BaseRequest, started_s: float
) -> web.StreamResponse:
    try:
        exchange = await admit(gateway, request, started_s)
    except RefusedError as exc:
        return refuse(gateway, request, None, exc.refusal)
    gateway.exchanges.add(exchange)
    try:
        _hold_back(gateway, exchange, time.monotonic())
        if gateway.stop is not None:
            _take_leaving(gateway, exchange, gateway.stop, time.monotonic())
        return await _serve(gateway, exchange)
    except RefusedError as exc:
        return refuse(gateway, request, exchange, exc.refusal)
    except (CallerGoneError, asyncio.CancelledError):
        count(gateway, exchange, "caller_left")
        log_event(
            _log,
            Event.CALLER_LEFT,
            request_id=exchange.facts.request_id,
            events=exchange.events.event_count,
        )
        raise asyncio.CancelledError from None
    finally:
        gateway.exchanges.discard(exchange)


def _hold_back(gateway: Gateway, exchange: Exchange, now_s: float) -> None:
    """Refuse at once what no endpoint gets.

    :raises RefusedError: if endpoints ended under the request time and again.
    """
    if standing_of(gateway, exchange, now_s) is SuspectState.QUARANTINED:
        raise RefusedError(held_back(gateway, exchange, now_s))


def _take_leaving(
    gateway: Gateway, exchange: Exchange, stop: PlannedStop, now_s: float
) -> None:
    """Take a request during a planned stop.

    :raises RefusedError: if it may not end before the process does.
    """
    lasting = Lasting(
        most_s=exchange.ends_s - now_s,
        likely_s=gateway.durations.p95_s(exchange.route.name),
        stream=exchange.route.stream,
    )
    if gateway.closing or not stop.can_admit(lasting, now_s):
        detail = f"this entry stops; {lasting}"
        raise RefusedError(did_not_run(Reason.DRAINING, 0.0, detail))
    exchange.end_by(stop.drain_deadline_s)
    taken_leaving(gateway, exchange, stop, now_s)


async def _serve(gateway: Gateway, exchange: Exchange) -> web.StreamResponse:
    held: Reservation | None = None
    try:
        async with asyncio.timeout_at(loop_time(exchange.ends_s)) as scope:
            exchange.scope = scope
            held = await reserve(gateway, exchange)
            exchange.covered_s = time.monotonic()
            return await _attempts(gateway, exchange)
    except TimeoutError:
        if exchange.response is not None:
            return cut(gateway, exchange, "the time is up")
        raise RefusedError(_timed_out(exchange)) from None
    finally:
        exchange.scope = None
        settle(gateway, exchange, held)


def _timed_out(exchange: Exchange) -> Refusal:
    if exchange.may_have_run:
        return may_have_run(Reason.DEADLINE, None, "no answer in time")
    return did_not_run(Reason.QUEUE_TIMEOUT, SOON_S, "not sent in time")


async def _attempts(gateway: Gateway, exchange: Exchange) -> web.StreamResponse:
    now_s = time.monotonic()
    if exchange.ends_s <= now_s:
        # A timeout in the past ends nothing before the first wait, behind the sending.
        raise TimeoutError
    budget = gateway.retry_budget(exchange.service, now_s)
    budget.request()
    while True:
        result = await _one_attempt(gateway, exchange)
        match result:
            case Success(None):
                assert exchange.response is not None
                await finish(exchange)
                answered(gateway, exchange, exchange.response.status)
                return exchange.response
            case Success(PlainAnswer() as answer):
                again = answer.status >= 500 and exchange.route.is_retry_safe
                if not (again and _may_go_on(exchange) and budget.take()):
                    answered(gateway, exchange, answer.status)
                    return plain(gateway, answer)
            case Failure(failure):
                again = _repeatable(exchange, failure) and _may_go_on(exchange)
                # What was never sent adds no load, so it costs no retry.
                if not (again and (not failure.sent or budget.take())):
                    return _give_up(gateway, exchange, failure)


def _repeatable(exchange: Exchange, failure: AttemptFailure) -> bool:
    if failure.reason in (Reason.NO_ENDPOINT, Reason.QUARANTINED):
        # Nothing changes by asking again at once: the loop would hold the
        # processor until the deadline, and every other request with it.
        return False
    if failure.verdict is Verdict.DID_NOT_RUN and not exchange.may_have_run:
        return True
    if exchange.response is not None:
        return exchange.route.resumable
    return exchange.route.is_retry_safe


def _may_go_on(exchange: Exchange) -> bool:
    left_s = exchange.ends_s - time.monotonic()
    sends = len(exchange.tried) - exchange.unsent
    return (
        sends < exchange.route.max_attempts
        and exchange.unsent < MOST_UNSENT
        and left_s > SOON_S
    )


async def _one_attempt(gateway: Gateway, exchange: Exchange) -> AttemptResult:
    now_s = time.monotonic()
    if gateway.endpoints_late(now_s):
        return Failure(_not_placed("what is known of endpoints is too old"))
    standing = standing_of(gateway, exchange, now_s)
    if standing is SuspectState.QUARANTINED:
        return Failure(not_sent(gateway, exchange, now_s))
    chosen = choose(gateway, exchange, standing, now_s)
    if chosen is None:
        return Failure(_not_placed("none has room"))
    if standing is SuspectState.CLEAR:
        return await _send(gateway, exchange, chosen)
    if standing is SuspectState.WATCHED:
        return await _send_suspect(gateway, exchange, chosen)
    return await _try_alone(gateway, exchange, chosen)


async def _try_alone(
    gateway: Gateway, exchange: Exchange, chosen: Choice
) -> AttemptResult:
    if not await claim(gateway, exchange, chosen.endpoint):
        return Failure(not_sent(gateway, exchange, time.monotonic()))
    free = release
    try:
        if not gateway.endpoints.is_available(chosen.endpoint):
            return Failure(_not_placed("the endpoint left as it was claimed"))
        result = await _send_suspect(gateway, exchange, chosen)
        match result:
            case Failure(failure) if failure.broke:
                free = release_when_known
        return result
    finally:
        free(gateway, exchange)


async def _send_suspect(
    gateway: Gateway, exchange: Exchange, chosen: Choice
) -> AttemptResult:
    endpoint_id = chosen.endpoint.endpoint_id
    gateway.suspects_at[endpoint_id] += 1
    try:
        return await _send(gateway, exchange, chosen)
    finally:
        gateway.suspects_at[endpoint_id] -= 1


async def _send(gateway: Gateway, exchange: Exchange, chosen: Choice) -> AttemptResult:
    now_s = time.monotonic()
    book = gateway.endpoints
    endpoint = chosen.endpoint
    ran_before = exchange.may_have_run
    exchange.tried.append(endpoint.endpoint_id)
    exchange.may_have_run = True
    exchange.choice = chosen
    sent = book.record_dispatch(chosen, exchange.need, now_s)
    gateway.tell_prompt(endpoint.endpoint_id, chosen.work_s)
    try:
        result = await attempt(gateway, exchange, endpoint, sent)
    finally:
        sent.finish(time.monotonic(), not exchange.facts.parts)
    match result:
        case Success(answer):
            if answer is not None and answer.status >= 500:
                book.record_failure(endpoint, False, time.monotonic())
            else:
                book.record_success(endpoint)
                ended_well(gateway, exchange)
        case Failure(failure):
            exchange.unsent += failure.gone or not failure.sent
            attempt_failed(gateway, exchange, endpoint.endpoint_id, failure)
            book.record_failure(endpoint, failure.hard, time.monotonic())
            if failure.broke:
                gateway.ended_endpoints.broke(endpoint, exchange.fingerprint)
            if failure.gone:
                # While registrations cannot be read, the next request would be sent
                # there too, and refused if its route allows one attempt.
                book.deregister_now(endpoint.endpoint_id, time.monotonic())
            if failure.verdict is Verdict.DID_NOT_RUN:
                exchange.may_have_run = ran_before
    return result


def _not_placed(detail: str) -> AttemptFailure:
    """There is no endpoint that the request may be sent to."""
    return AttemptFailure(
        Reason.NO_ENDPOINT, Verdict.DID_NOT_RUN, False, detail, sent=False
    )


def _give_up(
    gateway: Gateway, exchange: Exchange, failure: AttemptFailure
) -> web.StreamResponse:
    if exchange.response is not None:
        return cut(gateway, exchange, failure.detail)
    if exchange.may_have_run:
        raise RefusedError(may_have_run(failure.reason, None, failure.detail))
    if failure.reason is Reason.QUARANTINED:
        raise RefusedError(held_back(gateway, exchange, time.monotonic()))
    after_s = SHORTLY_S if failure.reason is Reason.NO_ENDPOINT else SOON_S
    reason = failure.reason
    if reason is Reason.UPSTREAM_FAILED:
        reason = Reason.NO_ENDPOINT
    raise RefusedError(did_not_run(reason, after_s, failure.detail))
