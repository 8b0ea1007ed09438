"""The way of one request: match, check the key, reserve, choose, send, settle."""

import asyncio
import logging
import math
import time

from aiohttp import web
from returns.result import Failure, Success

from celerytrack.events import Event, log_event
from celerytrack.gateway.attempts import AttemptResult, CallerGoneError, attempt
from celerytrack.gateway.exchange import AttemptFailure, Exchange, PlainAnswer
from celerytrack.gateway.refusals import refusal_response
from celerytrack.gateway.state import Gateway
from celerytrack.ids import AccountId
from celerytrack.platform.http import RequestError, decode_request
from celerytrack.prepaid import Reservation
from celerytrack.routes import RoutingTable, pick_service
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run, may_have_run

_log = logging.getLogger(__name__)

DEFAULT_DEADLINE_S = 30.0
"""Deadline of a caller that names none: the longest route timeout listed is
12 s."""
ANSWER_MARGIN_S = 0.03
"""An answer goes out this long before the deadline, so that it arrives: the
way to callers takes 3 ms, and timers fire late on a busy instance."""
SOON_S = 0.1
"""When to come back after a refusal that another entry may well not give."""
CUT_LASTS_S = 3.0
"""When to come back while this entry is cut off from the log and the others
have no tokens to give: cuts last seconds, and a caller has one more try."""
TOKENS_RETURN_S = 5.0
"""When to come back if neither the total nor the other entries have the tokens:
they return as requests end below their largest cost, or by a top-up."""
SHORTLY_S = 0.5
"""When to come back while a service has no endpoint: registrations are back
within two seconds of an outage's end."""


MOST_UNSENT = 3
"""Endpoints that may fail to take the connection before a request is given up:
more than a third of a service going dark at once is not what this helps with."""


class RefusedError(Exception):
    """The request ends with a refusal or failure of our own."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


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
        if gateway.closed:
            detail = "this entry stops; ask for addresses again"
            raise RefusedError(did_not_run(Reason.DRAINING, 0.0, detail))
        exchange = await _admit(gateway, request, started_s)
    except RefusedError as exc:
        return _refuse(gateway, request, None, exc.refusal)
    try:
        return await _serve(gateway, exchange)
    except RefusedError as exc:
        return _refuse(gateway, request, exchange, exc.refusal)
    except (CallerGoneError, asyncio.CancelledError):
        _count(gateway, exchange, "caller_left")
        log_event(
            _log,
            Event.CALLER_LEFT,
            request_id=exchange.facts.request_id,
            events=exchange.events.events,
        )
        raise asyncio.CancelledError from None


async def _admit(
    gateway: Gateway, request: web.BaseRequest, started_s: float
) -> Exchange:
    """The checks before anything is reserved.

    :raises RefusedError: saying what is wrong with the request.
    """
    table = gateway.table
    if table is None or not gateway.endpoints_known:
        detail = "no configuration read yet"
        raise RefusedError(did_not_run(Reason.NO_CONFIG, SHORTLY_S, detail))
    try:
        facts = decode_request(request.headers)
    except RequestError as exc:
        raise RefusedError(did_not_run(Reason.BAD_REQUEST, None, str(exc))) from None
    body = await _read_body(request, table)
    # What is in force when the whole request is read decides.
    table = gateway.table or table
    route = table.match(facts.host, request.raw_path.split("?", 1)[0])
    if route is None:
        raise RefusedError(did_not_run(Reason.NO_ROUTE, None, "no such route"))
    account_id: AccountId | None = None
    urgency = route.priority
    if table.needs_key and not route.public:
        account = table.account_by_key(facts.key) if facts.key else None
        if account is None:
            raise RefusedError(did_not_run(Reason.BAD_KEY, None, "unknown key"))
        account_id = account.account_id
        urgency = route.priority if account.priority is None else account.priority
    deadline_s = facts.deadline_s or DEFAULT_DEADLINE_S
    return Exchange(
        request=request,
        facts=facts,
        body=body,
        route=route,
        service=pick_service(route, gateway.rng.random()),
        account=account_id,
        urgency=urgency,
        started_s=started_s,
        ends_s=started_s + min(deadline_s, route.timeout_s) - ANSWER_MARGIN_S,
    )


async def _read_body(request: web.BaseRequest, table: RoutingTable) -> bytes:
    if not request.body_exists:
        return b""
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge:
        detail = f"a body may have {table.body_bytes} bytes"
        raise RefusedError(did_not_run(Reason.BODY_TOO_LARGE, None, detail)) from None


async def _serve(gateway: Gateway, exchange: Exchange) -> web.StreamResponse:
    held = await _reserve(gateway, exchange)
    try:
        async with asyncio.timeout_at(_loop_time(exchange.ends_s)):
            return await _attempts(gateway, exchange)
    except TimeoutError:
        if exchange.response is not None:
            return _cut(gateway, exchange, "the time is up")
        raise RefusedError(_timed_out(exchange)) from None
    finally:
        _settle(gateway, exchange, held)


def _loop_time(monotonic_s: float) -> float:
    loop = asyncio.get_running_loop()
    return loop.time() + monotonic_s - time.monotonic()


def _timed_out(exchange: Exchange) -> Refusal:
    if exchange.may_have_run:
        return may_have_run(Reason.DEADLINE, None, "no answer in time")
    return did_not_run(Reason.QUEUE_TIMEOUT, SOON_S, "not sent in time")


async def _reserve(gateway: Gateway, exchange: Exchange) -> Reservation | None:
    """Set the request's largest cost aside.

    :raises RefusedError: ``did_not_run``: for good only if the total cannot
        cover the request, whatever other entries hold.
    """
    facts, account = exchange.facts, exchange.account
    tokens = facts.input_tokens + facts.output_tokens
    book = gateway.keeper.book
    if account is None or not tokens or not book.limited(account):
        return None
    table = gateway.table
    urgent = table is not None and exchange.route.priority <= table.most_urgent
    held = await gateway.keeper.reserve(account, tokens, urgent)
    if held is not None:
        return held
    if book.exhausted(account, tokens):
        detail = f"{tokens} tokens do not fit what is left"
        raise RefusedError(did_not_run(Reason.BUDGET_EXHAUSTED, None, detail))
    detail = (
        f"{tokens} tokens, {book.left_tokens(account, time.monotonic())} in hand here"
    )
    after_s = TOKENS_RETURN_S if gateway.keeper.reachable else CUT_LASTS_S
    raise RefusedError(did_not_run(Reason.TOKENS_ELSEWHERE, after_s, detail))


def _settle(gateway: Gateway, exchange: Exchange, held: Reservation | None) -> None:
    if held is None:
        return
    book = gateway.keeper.book
    if not exchange.may_have_run:
        book.unreserve(held)
        return
    assert gateway.table is not None
    service = gateway.table.services.get(exchange.service)
    per_event = service.engine.event_tokens if service and service.engine else 1
    # One event more than was relayed: it may have been on its way to the
    # caller when the stream ended.
    whole = exchange.response is not None
    out = (exchange.events.events + (1 if whole else 0)) * per_event
    book.commit(held, exchange.facts.input_tokens + out, time.monotonic())


async def _attempts(gateway: Gateway, exchange: Exchange) -> web.StreamResponse:
    budget = gateway.retry_budget(exchange.service, time.monotonic())
    budget.request()
    while True:
        result = await _one_attempt(gateway, exchange)
        match result:
            case Success(None):
                assert exchange.response is not None
                await exchange.response.write_eof()
                _answered(gateway, exchange, exchange.response.status)
                return exchange.response
            case Success(PlainAnswer() as answer):
                again = answer.status >= 500 and exchange.route.may_repeat
                if not (again and _may_go_on(exchange) and budget.take()):
                    _answered(gateway, exchange, answer.status)
                    return _plain(gateway, answer)
            case Failure(failure):
                again = _repeatable(exchange, failure) and _may_go_on(exchange)
                # What was never sent adds no load, so it costs no retry.
                if not (again and (not failure.sent or budget.take())):
                    return _give_up(gateway, exchange, failure)


def _repeatable(exchange: Exchange, failure: AttemptFailure) -> bool:
    if failure.reason is Reason.NO_ENDPOINT:
        # Nothing changes by asking again at once: the loop would hold the
        # processor until the deadline, and every other request with it.
        return False
    if failure.verdict is Verdict.DID_NOT_RUN and not exchange.may_have_run:
        return True
    if exchange.response is not None:
        return exchange.route.resumable
    return exchange.route.may_repeat


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
    table = gateway.table
    assert table is not None
    service = table.services.get(exchange.service)
    connections = service.max_connections if service else 1
    book = gateway.endpoints
    chosen = book.choose(
        exchange.need, gateway.entries(now_s), connections, exchange.tried, now_s
    )
    if chosen is None:
        detail = "none has room"
        return Failure(
            AttemptFailure(
                Reason.NO_ENDPOINT, Verdict.DID_NOT_RUN, False, detail, sent=False
            )
        )
    endpoint, predicted_s = chosen
    ran_before = exchange.may_have_run
    exchange.tried.append(endpoint.endpoint_id)
    exchange.may_have_run = True
    sent = book.send(endpoint, exchange.need, predicted_s, now_s)
    try:
        result = await attempt(gateway, exchange, endpoint, sent)
    finally:
        sent.end(time.monotonic(), not exchange.facts.parts)
    match result:
        case Success(answer):
            if answer is not None and answer.status >= 500:
                book.failed(endpoint, False, time.monotonic())
            else:
                book.succeeded(endpoint)
        case Failure(failure):
            exchange.unsent += not failure.sent
            _failed(gateway, exchange, endpoint.endpoint_id, failure)
            book.failed(endpoint, failure.hard, time.monotonic())
            if failure.verdict is Verdict.DID_NOT_RUN:
                exchange.may_have_run = ran_before
    return result


def _failed(
    gateway: Gateway, exchange: Exchange, endpoint: str, failure: AttemptFailure
) -> None:
    gateway.telemetry.attempts_failed.labels(endpoint, failure.reason.value).inc()
    log_event(
        _log,
        Event.ATTEMPT_FAILED,
        request_id=exchange.facts.request_id,
        endpoint=endpoint,
        reason=failure.reason.value,
        verdict=failure.verdict.value,
        detail=failure.detail,
        events=exchange.events.events,
    )


def _give_up(
    gateway: Gateway, exchange: Exchange, failure: AttemptFailure
) -> web.StreamResponse:
    if exchange.response is not None:
        return _cut(gateway, exchange, failure.detail)
    if exchange.may_have_run:
        raise RefusedError(may_have_run(failure.reason, None, failure.detail))
    after_s = SHORTLY_S if failure.reason is Reason.NO_ENDPOINT else SOON_S
    reason = failure.reason
    if reason is Reason.UPSTREAM_FAILED:
        reason = Reason.NO_ENDPOINT
    raise RefusedError(did_not_run(reason, after_s, failure.detail))


def _cut(gateway: Gateway, exchange: Exchange, detail: str) -> web.StreamResponse:
    """End a begun answer so that it does not look whole."""
    assert exchange.response is not None
    _count(gateway, exchange, "cut")
    log_event(
        _log,
        Event.STREAM_CUT,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        events=exchange.events.events,
        detail=detail,
        tried=exchange.tried,
    )
    transport = exchange.request.transport
    if transport is not None:
        transport.close()
    return exchange.response


def _plain(gateway: Gateway, answer: PlainAnswer) -> web.StreamResponse:
    response = web.Response(
        status=answer.status, headers=answer.headers, body=answer.body
    )
    if gateway.leaving:
        response.force_close()
    return response


def _answered(gateway: Gateway, exchange: Exchange, status: int) -> None:
    _count(gateway, exchange, "answered" if status < 500 else "endpoint_failed")
    log_event(
        _log,
        Event.ANSWERED,
        request_id=exchange.facts.request_id,
        route=exchange.route.name,
        status=status,
        tried=exchange.tried,
        events=exchange.events.events,
        took_ms=round((time.monotonic() - exchange.started_s) * 1_000),
    )


def _refuse(
    gateway: Gateway,
    request: web.BaseRequest,
    exchange: Exchange | None,
    refusal: Refusal,
) -> web.StreamResponse:
    ran = refusal.verdict is Verdict.MAY_HAVE_RUN
    log_event(
        _log,
        Event.FAILED if ran else Event.REFUSED,
        request_id=exchange.facts.request_id if exchange else None,
        path=request.path,
        reason=refusal.reason.value,
        verdict=refusal.verdict.value,
        detail=refusal.detail,
        tried=exchange.tried if exchange else [],
        account=exchange.account if exchange else None,
        rows_age_ms=_rows_age_ms(gateway),
        config_version=gateway.table.version if gateway.table else None,
    )
    _count(gateway, exchange, refusal.reason.value)
    return refusal_response(refusal, gateway.leaving)


def _rows_age_ms(gateway: Gateway) -> int | None:
    age_s = gateway.keeper.members.read_age_s(time.monotonic())
    return round(age_s * 1_000) if math.isfinite(age_s) else None


def _count(gateway: Gateway, exchange: Exchange | None, outcome: str) -> None:
    route = exchange.route.name if exchange else "none"
    gateway.telemetry.outcomes.labels(route, outcome).inc()
