"""Sends a request to one endpoint and relays the answer."""

import asyncio
import time

import aiohttp
import yarl
from aiohttp import web
from returns.result import Failure, Result, Success

from celerytrack.answer_limits import AnswerBytes, AnswerTooLargeError
from celerytrack.bounded_connection import read_body
from celerytrack.gateway.connections import EndpointGoneError, IncarnationConnections
from celerytrack.gateway.exchange import AttemptFailure, BufferedAnswer, Exchange
from celerytrack.gateway.origins import record_began
from celerytrack.gateway.outcomes import log_disorder, log_unidentified
from celerytrack.gateway.relay_format import answered_headers
from celerytrack.gateway.state import Gateway
from celerytrack.http_session import WithheldError
from celerytrack.notices.answer import NO_NOTICES
from celerytrack.platform.http import (
    SKIPPED_AUTO_HEADERS,
    AnswerFacts,
    Envelope,
    decode_answer,
    forwarded_headers,
    framing_of,
    returned_headers,
)
from celerytrack.platform.notices import decode_notices
from celerytrack.routing.endpoint import Dispatch, Endpoint
from celerytrack.routing.prefill import urgency
from celerytrack.streams import OversizedEventError, RepeatedEventsError
from celerytrack.verdict import Reason, Verdict

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors raised before there was a connection: nothing was sent."""
CONNECTION_ERRORS = (aiohttp.ClientError, OSError)
"""Errors of a connection, after which the request may have run."""

AttemptResult = Result["BufferedAnswer | None", AttemptFailure]
"""``Success(None)`` if a stream was relayed completely."""


class CallerDisconnectedError(Exception):
    """The caller closed the connection."""


async def attempt(
    gateway: Gateway, exchange: Exchange, endpoint: Endpoint, dispatch: Dispatch
) -> AttemptResult:
    """Send ``exchange`` to ``endpoint`` and wait for its answer.

    :raises CallerDisconnectedError: if the caller disconnects during the answer.
    """
    request = exchange.request
    envelope = Envelope(
        endpoint_id=endpoint.endpoint_id,
        left_s=exchange.deadline_at_s - time.monotonic(),
        urgency=urgency(exchange.priority, dispatch.work_s, exchange.route.target_s),
        account=exchange.account,
        last_event_id=exchange.resume_from if exchange.route.stream else None,
    )
    url = yarl.URL(
        f"http://{endpoint.registration.address}{request.raw_path}", encoded=True
    )
    connections = gateway.connections.get(endpoint)
    exchange.links_lost = False
    try:
        async with connections.abort_on_loss() as timeout:
            exchange.attempt_timeout = timeout
            return await _send(gateway, exchange, dispatch, connections, url, envelope)
    except EndpointGoneError:
        if exchange.links_lost:
            return Failure(_links_lost())
        return _unusable_answer("the endpoint started again")
    finally:
        exchange.attempt_timeout = None


async def _send(
    gateway: Gateway,
    exchange: Exchange,
    dispatch: Dispatch,
    connections: IncarnationConnections,
    url: yarl.URL,
    envelope: Envelope,
) -> AttemptResult:
    request = exchange.request
    try:
        response = await connections.session.request(
            request.method,
            url,
            data=exchange.body if has_body(request) else None,
            headers=forwarded_headers(request.headers, envelope),
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
        )
    except WithheldError:
        return Failure(withheld())
    except CONNECT_ERRORS as exc:
        if _was_refused(exc):
            gateway.endpoint_doubts.record_sign(dispatch.endpoint, time.monotonic())
        detail = f"{type(exc).__name__}: {exc}"
        return Failure(
            AttemptFailure(
                Reason.UPSTREAM_FAILED,
                Verdict.DID_NOT_RUN,
                True,
                detail,
                sent=False,
            )
        )
    except CONNECTION_ERRORS as exc:
        return _connection_failure(Reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, exc)
    complete = False
    try:
        result = await handle_response(
            gateway, exchange, dispatch, response, connections.answer_bytes
        )
        complete = isinstance(result, Success)
        return result
    finally:
        # Closing the connection makes the endpoint stop its work, and keeps the rest
        # of an invalid answer away from the next request on this connection.
        if complete:
            response.release()
        else:
            response.close()


def _was_refused(exc: BaseException) -> bool:
    os_error = getattr(exc, "os_error", None)
    return isinstance(os_error, ConnectionRefusedError)


def withheld() -> AttemptFailure:
    """Return the failure of a request that its endpoint's word kept from being sent."""
    detail = "the endpoint said meanwhile that it wants no requests"
    return AttemptFailure(
        Reason.BACKING_OFF,
        Verdict.DID_NOT_RUN,
        False,
        detail,
        sent=False,
        withheld=True,
    )


def _links_lost() -> AttemptFailure:
    detail = "this entry reaches no endpoint any more"
    return AttemptFailure(
        Reason.UPSTREAM_CUT, Verdict.MAY_HAVE_RUN, False, detail, links_down=True
    )


def has_body(request: web.BaseRequest) -> bool:
    """Whether a request is passed on with its body."""
    return request.body_exists or request.method in ("POST", "PUT", "PATCH")


async def handle_response(
    gateway: Gateway,
    exchange: Exchange,
    dispatch: Dispatch | None,
    response: aiohttp.ClientResponse,
    answer_bytes: AnswerBytes,
) -> AttemptResult:
    """Relay an endpoint's answer, or read it.

    :param dispatch: ``None`` if another entry sent the request to the endpoint.
    :param answer_bytes: what answers that are read to their end take.
    :raises CallerDisconnectedError: if the caller disconnects meanwhile.
    """
    facts = decode_answer(response.status, response.headers)
    exchange.framing = framing_of(response.headers)
    if facts.request_id is None:
        log_unidentified(gateway, exchange, response.status, facts.did_not_run)
    if facts.request_id not in (None, exchange.facts.request_id):
        # The connection delivered another answer to an earlier request.
        return _unusable_answer("answer to another request")
    if dispatch is not None:
        gateway.reach.record_heard(exchange.service, time.monotonic())
        _record_notices(gateway, exchange, dispatch, response, facts)
    if facts.did_not_run:
        return Failure(
            AttemptFailure(
                Reason.NO_CAPACITY,
                Verdict.DID_NOT_RUN,
                facts.wrong_endpoint,
                f"refused with {response.status}",
                address_reused=facts.wrong_endpoint,
            )
        )
    if response.status < 300 and not _is_authentic(facts):
        return _unusable_answer("success without signature or id")
    if exchange.route.stream and response.status == 200:
        return await _relay(gateway, exchange, dispatch, response)
    return await _read_answer(dispatch, response, answer_bytes)


def _record_notices(
    gateway: Gateway,
    exchange: Exchange,
    dispatch: Dispatch,
    response: aiohttp.ClientResponse,
    facts: AnswerFacts,
) -> None:
    """Record what the endpoint says of itself.

    An answer is believed if it is acted on or passed on: it is not from another owner
    of the address, and no success without signature.
    """
    notices = decode_notices(response.status, response.headers, time.time())
    if notices is NO_NOTICES and not gateway.notices:
        return
    is_usable = facts.did_not_run or response.status >= 300 or _is_authentic(facts)
    if facts.wrong_endpoint or not is_usable:
        return
    registration = dispatch.endpoint.registration
    gateway.notices.record_answer(
        registration.endpoint_id,
        registration.born_ms,
        notices,
        dispatch.sent_at_s,
        exchange.facts.request_id,
        succeeded=_is_authentic(facts) and not facts.did_not_run,
        now_s=time.monotonic(),
        rejected=facts.did_not_run,
    )


def _is_authentic(facts: AnswerFacts) -> bool:
    return facts.sealed and facts.request_id is not None


async def _read_answer(
    dispatch: Dispatch | None,
    response: aiohttp.ClientResponse,
    answer_bytes: AnswerBytes,
) -> AttemptResult:
    protocol = _protocol(response)
    try:
        body = await read_body(response, answer_bytes)
    except AnswerTooLargeError:
        return _unusable_answer("an answer is too large")
    except CONNECTION_ERRORS as exc:
        return _connection_failure(Reason.UPSTREAM_CUT, Verdict.MAY_HAVE_RUN, exc)
    if _was_reset(response, protocol):
        return _unusable_answer("an answer without length was reset")
    if dispatch is not None:
        dispatch.record_first_output(time.monotonic())
    headers = returned_headers(response.headers)
    return Success(BufferedAnswer(response.status, headers, body))


async def _relay(
    gateway: Gateway,
    exchange: Exchange,
    dispatch: Dispatch | None,
    response: aiohttp.ClientResponse,
) -> AttemptResult:
    protocol = _protocol(response)
    events = exchange.events
    events.max_event_bytes = gateway.settings.answer_limits.event_bytes
    events.resume(exchange.resume_from if exchange.route.resumable else None)
    while True:
        try:
            data = await response.content.readany()
        except CONNECTION_ERRORS as exc:
            return _connection_failure(Reason.UPSTREAM_CUT, Verdict.MAY_HAVE_RUN, exc)
        if not data:
            break
        if dispatch is not None:
            gateway.reach.record_heard(exchange.service, time.monotonic())
        try:
            received = events.feed(data)
        except OversizedEventError:
            return _unusable_answer("an event is too large")
        except RepeatedEventsError:
            return _unusable_answer("a stream that should go on repeats events")
        if received is None:
            continue
        if received.disorder is not None:
            log_disorder(gateway, exchange, received.disorder)
        if exchange.response is None:
            exchange.first_data_at_s = time.monotonic()
            if dispatch is not None:
                dispatch.record_first_output(exchange.first_data_at_s)
            await _start_stream(gateway, exchange, dispatch, response)
        await _write(exchange, received.data)
    if events.has_partial or _was_reset(response, protocol):
        return _unusable_answer("a stream ended in the middle of an event")
    if exchange.response is None:
        return _unusable_answer("a stream without events")
    if events.lacks_event:
        return _unusable_answer("a stream that should go on ended at once")
    return Success(None)


async def _start_stream(
    gateway: Gateway,
    exchange: Exchange,
    dispatch: Dispatch | None,
    response: aiohttp.ClientResponse,
) -> None:
    answer = web.StreamResponse(
        status=response.status, headers=returned_headers(response.headers)
    )
    if gateway.leaving:
        answer.force_close()
    exchange.response = answer
    record_began(gateway, exchange, dispatch)
    if exchange.sender is not None:
        headers = answered_headers(exchange.tried[-1], exchange.writer)
        answer.headers.update(headers)
    else:
        took_s = time.monotonic() - exchange.started_s
        gateway.telemetry.first_answer.labels(exchange.route.name).observe(took_s)
    try:
        await answer.prepare(exchange.request)
    except ConnectionError:
        raise CallerDisconnectedError from None


async def _write(exchange: Exchange, data: bytes) -> None:
    assert exchange.response is not None
    try:
        await exchange.response.write(data)
    except ConnectionError:
        raise CallerDisconnectedError from None


async def finish_stream(exchange: Exchange) -> None:
    """End the answer to the caller after a stream was relayed completely.

    :raises CallerDisconnectedError: if the caller has disconnected.
    """
    assert exchange.response is not None
    try:
        await exchange.response.write_eof()
    except ConnectionError:
        raise CallerDisconnectedError from None


def _protocol(response: aiohttp.ClientResponse) -> asyncio.BaseProtocol | None:
    connection = response.connection
    return None if connection is None else connection.protocol


def _was_reset(
    response: aiohttp.ClientResponse, protocol: asyncio.BaseProtocol | None
) -> bool:
    """Whether a connection reset ended an answer that has no explicit length.

    aiohttp takes any end of the connection as the end of such an answer, so a reset
    would make a truncated answer look complete.
    """
    has_length = (
        "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
    )
    if has_length or protocol is None:
        return False
    exception = getattr(protocol, "exception", lambda: None)()
    return isinstance(exception, aiohttp.ClientOSError)


def _connection_failure(
    reason: Reason, verdict: Verdict, exc: BaseException
) -> AttemptResult:
    detail = f"{type(exc).__name__}: {exc}"
    return Failure(AttemptFailure(reason, verdict, True, detail))


def _unusable_answer(detail: str) -> AttemptResult:
    failure = AttemptFailure(Reason.UPSTREAM_CUT, Verdict.MAY_HAVE_RUN, True, detail)
    return Failure(failure)
