"""Sending one request to one endpoint and relaying its answer."""

import asyncio
import time

import aiohttp
import yarl
from aiohttp import web
from returns.result import Failure, Result, Success

from celerytrack.endpoint import Dispatch, Endpoint
from celerytrack.gateway.connections import EndpointLostError, StartConnections
from celerytrack.gateway.exchange import AttemptFailure, Exchange, PlainAnswer
from celerytrack.gateway.state import Gateway
from celerytrack.platform.http import (
    SKIPPED_AUTO_HEADERS,
    AnswerFacts,
    Envelope,
    decode_answer,
    forwarded_headers,
    returned_headers,
)
from celerytrack.prefill import urgency
from celerytrack.verdict import Reason, Verdict

_NOT_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
_BROKEN = (aiohttp.ClientError, OSError)

AttemptResult = Result["PlainAnswer | None", AttemptFailure]
"""``Success(None)`` when a stream was relayed to its end."""


class CallerGoneError(Exception):
    """The caller closed its connection."""


async def attempt(
    gateway: Gateway, exchange: Exchange, endpoint: Endpoint, sent: Dispatch
) -> AttemptResult:
    """Send ``exchange`` to ``endpoint`` and wait for its answer.

    :raises CallerGoneError: if the caller left while the answer was relayed.
    """
    request = exchange.request
    envelope = Envelope(
        endpoint_id=endpoint.endpoint_id,
        left_s=exchange.ends_s - time.monotonic(),
        urgency=urgency(exchange.priority, sent.work_s, exchange.route.target_s),
        account=exchange.account,
        last_event_id=exchange.resume_from if exchange.route.stream else None,
    )
    url = yarl.URL(
        f"http://{endpoint.registration.address}{request.raw_path}", encoded=True
    )
    connections = gateway.connections.of(endpoint.endpoint_id)
    try:
        async with connections.until_lost():
            return await _send(gateway, exchange, sent, connections, url, envelope)
    except EndpointLostError:
        return _spoilt("the endpoint started again")


async def _send(
    gateway: Gateway,
    exchange: Exchange,
    sent: Dispatch,
    connections: StartConnections,
    url: yarl.URL,
    envelope: Envelope,
) -> AttemptResult:
    request = exchange.request
    try:
        response = await connections.session.request(
            request.method,
            url,
            data=exchange.body if _has_body(request) else None,
            headers=forwarded_headers(request.headers, envelope),
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
        )
    except _NOT_CONNECTED as exc:
        detail = f"{type(exc).__name__}: {exc}"
        return Failure(
            AttemptFailure(
                Reason.UPSTREAM_FAILED, Verdict.DID_NOT_RUN, True, detail, sent=False
            )
        )
    except _BROKEN as exc:
        return _failure(Reason.UPSTREAM_FAILED, Verdict.MAY_HAVE_RUN, exc)
    whole = False
    try:
        result = await _take(gateway, exchange, sent, response)
        whole = isinstance(result, Success)
        return result
    finally:
        # An endpoint stops work when its connection closes, and what is left
        # of a spoilt answer must not meet the next request.
        if whole:
            response.release()
        else:
            response.close()


def _has_body(request: web.BaseRequest) -> bool:
    return request.body_exists or request.method in ("POST", "PUT", "PATCH")


async def _take(
    gateway: Gateway,
    exchange: Exchange,
    sent: Dispatch,
    response: aiohttp.ClientResponse,
) -> AttemptResult:
    facts = decode_answer(response.status, response.headers)
    if facts.request_id not in (None, exchange.facts.request_id):
        # A second answer to an earlier request on this connection.
        return _spoilt("answer to another request")
    if facts.did_not_run:
        return Failure(
            AttemptFailure(
                Reason.NO_CAPACITY,
                Verdict.DID_NOT_RUN,
                facts.wrong_endpoint,
                f"refused with {response.status}",
                gone=facts.wrong_endpoint,
            )
        )
    if response.status < 300 and not _genuine(facts):
        return _spoilt("success without signature or id")
    if exchange.route.stream and response.status == 200:
        return await _relay(gateway, exchange, sent, response)
    return await _read_whole(sent, response)


def _genuine(facts: AnswerFacts) -> bool:
    return facts.sealed and facts.request_id is not None


async def _read_whole(
    sent: Dispatch, response: aiohttp.ClientResponse
) -> AttemptResult:
    protocol = _protocol(response)
    try:
        body = await response.read()
    except _BROKEN as exc:
        return _failure(Reason.UPSTREAM_CUT, Verdict.MAY_HAVE_RUN, exc)
    if _was_reset(response, protocol):
        return _spoilt("an answer without length was reset")
    sent.record_first_output(time.monotonic())
    headers = returned_headers(response.headers)
    return Success(PlainAnswer(response.status, headers, body))


async def _relay(
    gateway: Gateway,
    exchange: Exchange,
    sent: Dispatch,
    response: aiohttp.ClientResponse,
) -> AttemptResult:
    protocol = _protocol(response)
    events = exchange.events
    events.reset()
    while True:
        try:
            data = await response.content.readany()
        except _BROKEN as exc:
            return _failure(Reason.UPSTREAM_CUT, Verdict.MAY_HAVE_RUN, exc)
        if not data:
            break
        whole = events.feed(data)
        if whole is None:
            continue
        if exchange.response is None:
            exchange.first_s = time.monotonic()
            sent.record_first_output(exchange.first_s)
            await _open(gateway, exchange, response)
        await _write(exchange, whole.data)
    if events.has_partial or _was_reset(response, protocol):
        return _spoilt("a stream ended in the middle of an event")
    if exchange.response is None:
        return _spoilt("a stream without events")
    return Success(None)


async def _open(
    gateway: Gateway, exchange: Exchange, response: aiohttp.ClientResponse
) -> None:
    answer = web.StreamResponse(
        status=response.status, headers=returned_headers(response.headers)
    )
    if gateway.leaving:
        answer.force_close()
    exchange.response = answer
    name = exchange.route.name
    took_s = time.monotonic() - exchange.started_s
    gateway.telemetry.first_answer.labels(name).observe(took_s)
    try:
        await answer.prepare(exchange.request)
    except ConnectionError:
        raise CallerGoneError from None


async def _write(exchange: Exchange, data: bytes) -> None:
    assert exchange.response is not None
    try:
        await exchange.response.write(data)
    except ConnectionError:
        raise CallerGoneError from None


async def finish(exchange: Exchange) -> None:
    """End the caller's answer, which was relayed whole.

    :raises CallerGoneError: if the caller left just before.
    """
    assert exchange.response is not None
    try:
        await exchange.response.write_eof()
    except ConnectionError:
        raise CallerGoneError from None


def _protocol(response: aiohttp.ClientResponse) -> asyncio.BaseProtocol | None:
    connection = response.connection
    return None if connection is None else connection.protocol


def _was_reset(
    response: aiohttp.ClientResponse, protocol: asyncio.BaseProtocol | None
) -> bool:
    """Whether an answer that ends with its connection ended by a reset.

    The library takes any end of the connection for the end of such an
    answer; a reset on the way would make half an answer look whole.
    """
    framed = (
        "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
    )
    if framed or protocol is None:
        return False
    exception = getattr(protocol, "exception", lambda: None)()
    return isinstance(exception, aiohttp.ClientOSError)


def _failure(reason: Reason, verdict: Verdict, exc: BaseException) -> AttemptResult:
    detail = f"{type(exc).__name__}: {exc}"
    return Failure(AttemptFailure(reason, verdict, True, detail))


def _spoilt(detail: str) -> AttemptResult:
    failure = AttemptFailure(Reason.UPSTREAM_CUT, Verdict.MAY_HAVE_RUN, True, detail)
    return Failure(failure)
