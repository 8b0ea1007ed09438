"""Sends a request to one endpoint and relays the answer."""

import time

import aiohttp
import yarl
from aiohttp import web
from returns.result import Failure, Success

from celerytrack.answer_limits import AnswerBytes, AnswerTooLargeError
from celerytrack.bounded_connection import (
    AnsweredResponse,
    AnswerNotHeldError,
    read_body,
)
from celerytrack.callers.answers import AnswerReading
from celerytrack.gateway.answer_ends import (
    ENDED_EARLY,
    PROCESS_ENDED,
    ended_early,
    ended_with_process,
    protocol_of,
    was_reset,
)
from celerytrack.gateway.attempt_failures import (
    CONNECT_ERRORS,
    CONNECTION_ERRORS,
    AttemptResult,
    connection_failure,
    links_lost,
    no_memory,
    unusable_answer,
    withheld,
)
from celerytrack.gateway.connections import EndpointGoneError, IncarnationConnections
from celerytrack.gateway.exchange import AttemptFailure, BufferedAnswer, Exchange
from celerytrack.gateway.outcomes import log_unidentified
from celerytrack.gateway.state import Gateway
from celerytrack.gateway.stream_relay import relay_stream
from celerytrack.http_session import WithheldError
from celerytrack.notices.answer import NO_NOTICES
from celerytrack.platform.http import (
    SKIPPED_AUTO_HEADERS,
    AnswerFacts,
    Envelope,
    Framing,
    decode_answer,
    forwarded_headers,
    framing_of,
    returned_headers,
)
from celerytrack.platform.notices import decode_notices
from celerytrack.routing.endpoint import Dispatch, Endpoint
from celerytrack.routing.prefill import urgency
from celerytrack.verdict import Reason, Verdict


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
            return Failure(links_lost())
        return unusable_answer("the endpoint started again")
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
        return connection_failure(Reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, exc)
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
    if dispatch is not None and exchange.framing is Framing.CONNECTION:
        gateway.naming_checks.begin(
            dispatch.endpoint,
            gateway.health_path(exchange.service),
            lambda: protocol_of(response) is not None,
        )
    if facts.request_id is None:
        log_unidentified(gateway, exchange, response.status, facts.did_not_run)
    if facts.request_id not in (None, exchange.facts.request_id):
        # The connection delivered another answer to an earlier request.
        return unusable_answer("answer to another request")
    if facts.request_id is None and not _is_first(response):
        return unusable_answer("an answer without id on a connection used before")
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
        return unusable_answer("success without signature or id")
    if exchange.route.stream and response.status == 200:
        return await relay_stream(gateway, exchange, dispatch, response)
    return await _read_answer(gateway, exchange, dispatch, response, answer_bytes)


def _is_first(response: aiohttp.ClientResponse) -> bool:
    return isinstance(response, AnsweredResponse) and response.is_first


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


def _hold_answer(gateway: Gateway, exchange: Exchange) -> AnswerReading:
    """Hold the memory of an answer that is read, in place of an earlier attempt's."""
    account = gateway.callers.account
    if exchange.answer_hold is not None:
        account.close(exchange.answer_hold)
    reading = AnswerReading(account, exchange.body_hold)
    exchange.answer_hold = reading.hold
    return reading


async def _read_answer(
    gateway: Gateway,
    exchange: Exchange,
    dispatch: Dispatch | None,
    response: aiohttp.ClientResponse,
    answer_bytes: AnswerBytes,
) -> AttemptResult:
    protocol = protocol_of(response)
    try:
        body = await read_body(response, answer_bytes, _hold_answer(gateway, exchange))
    except AnswerNotHeldError:
        return Failure(no_memory())
    except AnswerTooLargeError:
        return unusable_answer("an answer is too large")
    except CONNECTION_ERRORS as exc:
        return connection_failure(Reason.UPSTREAM_CUT, Verdict.MAY_HAVE_RUN, exc)
    if was_reset(response, protocol):
        return unusable_answer("an answer without length was reset")
    if ended_early(response):
        return unusable_answer(ENDED_EARLY)
    endpoint = None if dispatch is None else dispatch.endpoint
    if await ended_with_process(gateway, endpoint, response, exchange.deadline_at_s):
        return unusable_answer(PROCESS_ENDED)
    if dispatch is not None:
        dispatch.record_first_output(time.monotonic())
    headers = returned_headers(response.headers)
    return Success(BufferedAnswer(response.status, headers, body))
