"""Serves requests that other entries send through this one.

Only an entry that this one knows may send them, and each is admitted by this entry's
own configuration. One attempt is made, never through a third entry; its tokens are
reserved and settled where the caller is.
"""

import asyncio
import time

import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from celerytrack.callers.answers import send_answer
from celerytrack.gateway.admission import admit
from celerytrack.gateway.exchange import AttemptFailure, BufferedAnswer, Exchange
from celerytrack.gateway.origins import only_origin
from celerytrack.gateway.outcomes import abort_connection, log_relay_served
from celerytrack.gateway.refusals import RefusedError
from celerytrack.gateway.relay_format import (
    RelayOrder,
    answered_headers,
    decode_order,
    failure_headers,
)
from celerytrack.gateway.sending import make_attempt
from celerytrack.gateway.state import Gateway
from celerytrack.gateway.stream_relay import CallerDisconnectedError, finish_stream
from celerytrack.gateway.unforeseen import Progress, record_fault
from celerytrack.ids import EndpointId, EntryId
from celerytrack.loop_time import loop_time
from celerytrack.reachability.relayed import MAX_IN_PROGRESS
from celerytrack.strict import UnreadableError
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run

_OF_THE_REQUEST = {
    Reason.OVERLOADED: Reason.NO_CAPACITY,
    Reason.BODY_TIMEOUT: Reason.DEADLINE,
}
"""Reasons that say nothing of the next request, as other entries know them."""
MAX_UNSENT = 3
"""Endpoints that may be unreachable before a request is refused."""


async def handle_relayed(
    gateway: Gateway, request: web.BaseRequest
) -> web.StreamResponse:
    """Serve a request of another entry."""
    started_s = time.monotonic()
    try:
        order = decode_order(request.headers)
    except UnreadableError as exc:
        return _refuse(Reason.NO_CONFIG, str(exc))
    if not _is_known(gateway, request, order.sender_id):
        return _refuse(Reason.NO_CONFIG, "sent by no known entry")
    if gateway.leaving:
        return _refuse(Reason.DRAINING, "this entry stops")
    if gateway.relays_in_progress >= MAX_IN_PROGRESS:
        return _refuse(Reason.NO_CAPACITY, "too many requests of other entries")
    gateway.relays_in_progress += 1
    gateway.in_flight += 1
    progress = Progress()
    try:
        exchange = await _admit(gateway, request, order, started_s)
        progress.exchange = exchange
        return await _serve(gateway, exchange, len(exchange.tried))
    except RefusedError as exc:
        reason = _OF_THE_REQUEST.get(exc.refusal.reason, Reason.NO_CONFIG)
        return _refuse(reason, f"not admitted here: {exc.refusal.detail}")
    except Exception as exc:
        refusal = record_fault(gateway, progress, exc)
        return _answer_fault(progress.exchange, refusal)
    finally:
        if progress.exchange is not None:
            progress.exchange.release_memory(gateway.callers.account)
        gateway.in_flight -= 1
        gateway.relays_in_progress -= 1


def _answer_fault(exchange: Exchange | None, refusal: Refusal) -> web.StreamResponse:
    """Tell the other entry how a request ended that this one failed to serve."""
    if exchange is not None and exchange.response is not None:
        abort_connection(exchange)
        return exchange.response
    ran = refusal.verdict is Verdict.MAY_HAVE_RUN
    # An earlier release knows no other reason.
    failure = AttemptFailure(
        Reason.UPSTREAM_FAILED, refusal.verdict, False, refusal.detail, sent=ran
    )
    endpoint_id = exchange.tried[-1] if exchange is not None and ran else None
    return _failed(failure, endpoint_id)


def _is_known(gateway: Gateway, request: web.BaseRequest, sender: EntryId) -> bool:
    """Whether a request comes from the address of the entry that it names."""
    member = gateway.share_sync.members.member(sender)
    if member is None or request.transport is None:
        return False
    peer = request.transport.get_extra_info("peername")
    return peer is not None and member.peer_address.rsplit(":", 1)[0] == peer[0]


async def _admit(
    gateway: Gateway, request: web.BaseRequest, order: RelayOrder, started_s: float
) -> Exchange:
    """Admit a request by this entry's configuration, for the service of the order.

    :raises RefusedError: if it is invalid or the route has no such service here.
    """
    exchange = await admit(gateway, request, started_s)
    services = {service for service, _ in exchange.route.services}
    if order.service_name not in services:
        refusal = did_not_run(Reason.NO_CONFIG, None, "no such service here")
        raise RefusedError(refusal)
    last_event_id = order.resume_from or exchange.facts.last_event_id
    origin = order.origin
    if origin is not None and origin.version is None:
        # An earlier release names no version.
        origin = only_origin(gateway, exchange, started_s, started_s) or origin
    return attrs.evolve(
        exchange,
        facts=attrs.evolve(exchange.facts, last_event_id=last_event_id),
        service=order.service_name,
        deadline_at_s=started_s + order.left_s,
        tried=order.tried_ids,
        origin=origin,
        sender=order.sender_id,
    )


async def _serve(
    gateway: Gateway, exchange: Exchange, tried: int
) -> web.StreamResponse:
    gateway.exchanges.add(exchange)
    result: Result[BufferedAnswer | None, AttemptFailure]
    try:
        async with asyncio.timeout_at(loop_time(exchange.deadline_at_s)) as timeout:
            exchange.timeout = timeout
            result = await _attempt_once(gateway, exchange)
    except TimeoutError:
        result = Failure(_timed_out(exchange))
    except CallerDisconnectedError:
        raise asyncio.CancelledError from None
    finally:
        exchange.timeout = None
        gateway.exchanges.discard(exchange)
    endpoint_id = exchange.tried[-1] if len(exchange.tried) > tried else None
    result = result.alt(lambda failure: _with_helper(gateway, exchange, failure))
    log_relay_served(gateway, exchange, endpoint_id, result)
    answer = await _respond(exchange, endpoint_id, result)
    if not isinstance(answer, web.Response):
        return answer
    try:
        account = gateway.callers.account
        return await send_answer(
            account, exchange.request, answer, exchange.answer_hold
        )
    except ConnectionError:
        raise asyncio.CancelledError from None


def _with_helper(
    gateway: Gateway, exchange: Exchange, failure: AttemptFailure
) -> AttemptFailure:
    """Name an entry that helps this one, if it can't help itself."""
    if failure.reason is not Reason.ISOLATED:
        return failure
    helper = gateway.helpers.proven(exchange.service, time.monotonic())
    return attrs.evolve(failure, helper=helper)


async def _attempt_once(
    gateway: Gateway, exchange: Exchange
) -> Result[BufferedAnswer | None, AttemptFailure]:
    """Make attempts until the request was sent once, or can't be."""
    result = await make_attempt(gateway, exchange)
    for _ in range(MAX_UNSENT - 1):
        match result:
            case Failure(failure) if failure.hard and not failure.sent:
                result = await make_attempt(gateway, exchange)
            case _:
                break
    return result


async def _respond(
    exchange: Exchange,
    endpoint_id: EndpointId | None,
    result: Result[BufferedAnswer | None, AttemptFailure],
) -> web.StreamResponse:
    match result:
        case Success(BufferedAnswer() as answer):
            assert endpoint_id is not None
            headers = answer.headers.copy()
            headers.update(answered_headers(endpoint_id, exchange.writer))
            return web.Response(status=answer.status, headers=headers, body=answer.body)
        case Success(None):
            assert exchange.response is not None
            await finish_stream(exchange)
            return exchange.response
        case Failure(failure):
            if exchange.response is not None:
                abort_connection(exchange)
                return exchange.response
            return _failed(failure, endpoint_id)
    raise AssertionError(result)


def _timed_out(exchange: Exchange) -> AttemptFailure:
    verdict = Verdict.MAY_HAVE_RUN if exchange.may_have_run else Verdict.DID_NOT_RUN
    return AttemptFailure(
        Reason.DEADLINE, verdict, False, "the time is up", sent=exchange.may_have_run
    )


def _not_run(reason: Reason, detail: str) -> AttemptFailure:
    return AttemptFailure(reason, Verdict.DID_NOT_RUN, False, detail, sent=False)


def _refuse(reason: Reason, detail: str) -> web.Response:
    return _failed(_not_run(reason, detail), None)


def _failed(failure: AttemptFailure, endpoint_id: EndpointId | None) -> web.Response:
    ran = failure.verdict is Verdict.MAY_HAVE_RUN
    headers = failure_headers(failure, endpoint_id)
    return web.Response(status=502 if ran else 503, headers=headers)
