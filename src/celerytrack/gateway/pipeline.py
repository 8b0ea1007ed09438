"""Handles one request: admit, reserve, choose an endpoint, send, settle."""

import asyncio
import logging
import time

from aiohttp import web
from returns.result import Failure, Success

from celerytrack.callers.answers import send_answer
from celerytrack.events import Event, log_event
from celerytrack.gateway.admission import (
    NO_ENDPOINT_RETRY_AFTER_S,
    RETRY_ELSEWHERE_AFTER_S,
    admit,
    reserve,
    settle,
)
from celerytrack.gateway.exchange import (
    AttemptFailure,
    BufferedAnswer,
    Exchange,
)
from celerytrack.gateway.origins import find_origin
from celerytrack.gateway.outcomes import (
    abort_stream,
    count_outcome,
    log_admitted_while_draining,
    log_taken_up,
    make_response,
    record_answer,
    refuse,
)
from celerytrack.gateway.quarantine import (
    quarantine_refusal,
    suspect_state_of,
)
from celerytrack.gateway.refusals import RefusedError
from celerytrack.gateway.sending import make_attempt
from celerytrack.gateway.state import Gateway
from celerytrack.gateway.stream_relay import CallerDisconnectedError, finish_stream
from celerytrack.gateway.unforeseen import Progress, answer_unforeseen
from celerytrack.loop_time import loop_time
from celerytrack.planned_stop import Lasting, PlannedStop
from celerytrack.prepaid import Reservation
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run, may_have_run

_log = logging.getLogger(__name__)

MAX_CONNECT_FAILURES = 3
"""Endpoints that may be unreachable before a request is given up. It does not cover
the simultaneous failure of more than a third of a service."""


_NOT_RETRIED_AT_ONCE = frozenset(
    {
        Reason.NO_ENDPOINT,
        Reason.QUARANTINED,
        Reason.RATE_LIMITED,
        Reason.BACKING_OFF,
        Reason.ISOLATED,
    }
)


async def handle(gateway: Gateway, request: web.BaseRequest) -> web.StreamResponse:
    """Answer one request."""
    started_s = time.monotonic()
    gateway.in_flight += 1
    gateway.telemetry.in_flight.set(gateway.in_flight)
    progress = Progress()
    try:
        return await _handle(gateway, request, started_s, progress)
    except Exception as exc:
        return answer_unforeseen(gateway, progress, exc)
    finally:
        if progress.exchange is not None:
            progress.exchange.release_memory(gateway.callers.account)
        gateway.in_flight -= 1
        gateway.telemetry.in_flight.set(gateway.in_flight)


async def _handle(
    gateway: Gateway, request: web.BaseRequest, started_s: float, progress: Progress
) -> web.StreamResponse:
    try:
        progress.exchange = exchange = await admit(gateway, request, started_s)
    except RefusedError as exc:
        return refuse(gateway, request, None, exc.refusal)
    gateway.exchanges.add(exchange)
    try:
        if exchange.takes_up:
            log_taken_up(exchange)
        _check_quarantine(gateway, exchange, time.monotonic())
        if gateway.stop is not None:
            _admit_while_draining(gateway, exchange, gateway.stop, time.monotonic())
        answer = await _serve(gateway, exchange)
    except RefusedError as exc:
        return refuse(gateway, request, exchange, exc.refusal)
    except (CallerDisconnectedError, asyncio.CancelledError):
        count_outcome(gateway, exchange, "caller_left")
        log_event(
            _log,
            Event.CALLER_LEFT,
            request_id=exchange.facts.request_id,
            events=exchange.events.event_count,
        )
        raise asyncio.CancelledError from None
    finally:
        gateway.exchanges.discard(exchange)
    if not isinstance(answer, web.Response):
        return answer
    try:
        account = gateway.callers.account
        return await send_answer(account, request, answer, exchange.answer_hold)
    except ConnectionError:
        raise asyncio.CancelledError from None


def _check_quarantine(gateway: Gateway, exchange: Exchange, now_s: float) -> None:
    """Refuse a quarantined request before anything is reserved.

    :raises RefusedError: if endpoints crashed repeatedly while running the request.
    """
    if suspect_state_of(gateway, exchange, now_s) is SuspectState.QUARANTINED:
        raise RefusedError(quarantine_refusal(gateway, exchange, now_s))


def _admit_while_draining(
    gateway: Gateway, exchange: Exchange, stop: PlannedStop, now_s: float
) -> None:
    """Admit a request during a planned stop.

    :raises RefusedError: if the request might still run when the process exits.
    """
    lasting = Lasting(
        most_s=exchange.deadline_at_s - now_s,
        likely_s=gateway.durations.p95_s(exchange.route.name),
        stream=exchange.route.stream,
        once=not exchange.route.is_retry_safe,
    )
    if gateway.closing or not stop.can_admit(lasting, now_s):
        detail = f"this entry stops; {lasting}"
        raise RefusedError(did_not_run(Reason.DRAINING, 0.0, detail))
    exchange.shorten_deadline(stop.drain_deadline_s)
    log_admitted_while_draining(gateway, exchange, stop, now_s)


async def _serve(gateway: Gateway, exchange: Exchange) -> web.StreamResponse:
    reservation: Reservation | None = None
    try:
        async with asyncio.timeout_at(loop_time(exchange.deadline_at_s)) as timeout:
            exchange.timeout = timeout
            if exchange.takes_up:
                await find_origin(gateway, exchange)
            reservation = await reserve(gateway, exchange)
            exchange.reserved_at_s = time.monotonic()
            return await _run_attempts(gateway, exchange)
    except TimeoutError:
        if exchange.response is not None:
            return abort_stream(gateway, exchange, "the time is up")
        raise RefusedError(_timeout_refusal(exchange)) from None
    finally:
        exchange.timeout = None
        settle(gateway, exchange, reservation)


def _timeout_refusal(exchange: Exchange) -> Refusal:
    if exchange.may_have_run:
        return may_have_run(Reason.DEADLINE, None, "no answer in time")
    return did_not_run(
        Reason.QUEUE_TIMEOUT, RETRY_ELSEWHERE_AFTER_S, "not sent in time"
    )


async def _run_attempts(gateway: Gateway, exchange: Exchange) -> web.StreamResponse:
    now_s = time.monotonic()
    if exchange.deadline_at_s <= now_s:
        # An expired asyncio timeout takes effect at the next suspension only, which
        # comes after the request was sent.
        raise TimeoutError
    budget = gateway.retry_budget(exchange.service, now_s)
    budget.record_request()
    while True:
        result = await make_attempt(gateway, exchange)
        match result:
            case Success(None):
                assert exchange.response is not None
                await finish_stream(exchange)
                record_answer(gateway, exchange, exchange.response.status)
                return exchange.response
            case Success(BufferedAnswer() as answer):
                # To a stream that has begun, no answer but another stream fits.
                begun = exchange.response is not None
                failed = begun or answer.status >= 500
                retry = failed and exchange.route.is_retry_safe
                if retry and _within_limits(exchange) and budget.try_acquire():
                    continue
                if begun:
                    detail = f"an endpoint that should go on answered {answer.status}"
                    return abort_stream(gateway, exchange, detail)
                record_answer(gateway, exchange, answer.status)
                return make_response(gateway, answer)
            case Failure(failure):
                retry = _is_retryable(exchange, failure) and _within_limits(exchange)
                # A request that was never sent added no load, so the next attempt
                # takes nothing from the retry budget.
                if not (retry and (not failure.sent or budget.try_acquire())):
                    return _give_up(gateway, exchange, failure)


def _is_retryable(exchange: Exchange, failure: AttemptFailure) -> bool:
    if failure.is_final:
        return False
    if failure.reason in _NOT_RETRIED_AT_ONCE and not failure.withheld:
        # An immediate retry gives the same result. The loop would occupy the event
        # loop until the deadline and block every other request.
        return False
    if failure.verdict is Verdict.DID_NOT_RUN and not exchange.may_have_run:
        return True
    if exchange.response is not None:
        return exchange.route.resumable
    return exchange.route.is_retry_safe


def _within_limits(exchange: Exchange) -> bool:
    left_s = exchange.deadline_at_s - time.monotonic()
    sends = len(exchange.tried) - exchange.unreached + exchange.sent_unknown
    return (
        sends < exchange.route.max_attempts
        and exchange.unreached < MAX_CONNECT_FAILURES
        and left_s > RETRY_ELSEWHERE_AFTER_S
    )


def _give_up(
    gateway: Gateway, exchange: Exchange, failure: AttemptFailure
) -> web.StreamResponse:
    if exchange.response is not None:
        return abort_stream(gateway, exchange, failure.detail)
    if exchange.may_have_run:
        raise RefusedError(may_have_run(failure.reason, None, failure.detail))
    if failure.reason is Reason.QUARANTINED:
        raise RefusedError(quarantine_refusal(gateway, exchange, time.monotonic()))
    retry_after_s = failure.retry_after_s
    if retry_after_s is None:
        retry_after_s = (
            NO_ENDPOINT_RETRY_AFTER_S
            if failure.reason in (Reason.NO_ENDPOINT, Reason.ISOLATED)
            else RETRY_ELSEWHERE_AFTER_S
        )
    reason = failure.reason
    if reason is Reason.UPSTREAM_FAILED:
        reason = Reason.NO_ENDPOINT
    raise RefusedError(did_not_run(reason, retry_after_s, failure.detail))
