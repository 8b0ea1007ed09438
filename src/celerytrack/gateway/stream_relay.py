"""Relays a stream of events from an endpoint to the caller."""

import time
from typing import cast

import aiohttp
from aiohttp import web
from aiohttp.http_writer import StreamWriter
from returns.result import Success

from celerytrack.callers.answers import READ_BYTES, write_events
from celerytrack.event_order import Disorder, Standing
from celerytrack.gateway.answer_ends import (
    ENDED_EARLY,
    PROCESS_ENDED,
    ended_early,
    ended_with_process,
    protocol_of,
    was_reset,
)
from celerytrack.gateway.attempt_failures import (
    CONNECTION_ERRORS,
    AttemptResult,
    connection_failure,
    unusable_answer,
)
from celerytrack.gateway.exchange import Exchange
from celerytrack.gateway.origins import may_be_other_version, record_began
from celerytrack.gateway.outcomes import log_disorder
from celerytrack.gateway.relay_format import answered_headers
from celerytrack.gateway.state import Gateway
from celerytrack.platform.http import returned_headers
from celerytrack.routing.endpoint import Dispatch
from celerytrack.streams import EventBatch, OversizedEventError
from celerytrack.unframed_answers import mark_begun, mark_whole, send_at_once
from celerytrack.verdict import Reason, Verdict


class CallerDisconnectedError(Exception):
    """The caller closed the connection."""


async def relay_stream(
    gateway: Gateway,
    exchange: Exchange,
    dispatch: Dispatch | None,
    response: aiohttp.ClientResponse,
) -> AttemptResult:
    """Relay an endpoint's events as they arrive, those of one run and each once.

    :param dispatch: ``None`` if another entry sent the request to the endpoint.
    :raises CallerDisconnectedError: if the caller disconnects meanwhile.
    """
    events = exchange.events
    events.max_event_bytes = gateway.settings.answer_limits.event_bytes
    events.resume(exchange.resume_from if exchange.route.resumable else None)
    try:
        return await _relay_events(gateway, exchange, dispatch, response)
    finally:
        if events.order.disorder is not None:
            log_disorder(gateway, exchange, events.order.disorder, events.order.repeats)


async def _relay_events(
    gateway: Gateway,
    exchange: Exchange,
    dispatch: Dispatch | None,
    response: aiohttp.ClientResponse,
) -> AttemptResult:
    protocol = protocol_of(response)
    events = exchange.events
    has_passed_on = False
    while True:
        try:
            data = await response.content.read(READ_BYTES)
        except CONNECTION_ERRORS as exc:
            return connection_failure(Reason.UPSTREAM_CUT, Verdict.MAY_HAVE_RUN, exc)
        if not data:
            break
        if dispatch is not None:
            gateway.reach.record_heard(exchange.service, time.monotonic())
        if dispatch and not has_passed_on:
            # Before the event counts as one that the caller has.
            if await may_be_other_version(gateway, exchange, dispatch):
                return unusable_answer("another process may have the address")
        try:
            received = events.feed(data)
        except OversizedEventError:
            return unusable_answer("an event is too large")
        if received is None:
            continue
        has_passed_on = has_passed_on or received.count > 0
        await _pass_on(gateway, exchange, dispatch, response, received)
        if received.disorder is not None:
            return _out_of_order(received.disorder)
    if events.has_partial or was_reset(response, protocol):
        return unusable_answer("a stream ended in the middle of an event")
    if ended_early(response):
        return unusable_answer(ENDED_EARLY)
    endpoint = None if dispatch is None else dispatch.endpoint
    if await ended_with_process(gateway, endpoint, response, exchange.deadline_at_s):
        return unusable_answer(PROCESS_ENDED)
    if (received := events.finish()) is not None:
        await _pass_on(gateway, exchange, dispatch, response, received)
    if exchange.response is None:
        return unusable_answer("a stream without events")
    if events.lacks_event:
        return unusable_answer("a stream ended without an event that began")
    return Success(None)


def _out_of_order(disorder: Disorder) -> AttemptResult:
    if disorder.standing is Standing.LATE:
        # The caller has a later event, so no endpoint can add the one it lacks.
        return unusable_answer("an event came late", is_final=True)
    if disorder.standing is Standing.OTHER_ANSWER:
        return unusable_answer("another answer began within a stream")
    return unusable_answer("an answer went back to an earlier event")


async def _pass_on(
    gateway: Gateway,
    exchange: Exchange,
    dispatch: Dispatch | None,
    response: aiohttp.ClientResponse,
    received: EventBatch,
) -> None:
    if not received.count:
        return
    if exchange.response is None:
        exchange.first_data_at_s = time.monotonic()
        if dispatch is not None:
            dispatch.record_first_output(exchange.first_data_at_s)
        await _start_stream(gateway, exchange, dispatch, response)
    await _write(gateway, exchange, received.data)


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
    mark_begun(exchange.request)
    try:
        await answer.prepare(exchange.request)
    except ConnectionError:
        raise CallerDisconnectedError from None
    except Exception:
        # Nothing of it was sent, so another answer may be given in its place.
        exchange.response = None
        mark_whole(exchange.request)
        cast(StreamWriter, exchange.request.writer).chunked = False
        raise


async def _write(gateway: Gateway, exchange: Exchange, data: bytes) -> None:
    try:
        account = gateway.callers.account
        await write_events(account, exchange.request, data, exchange.service)
    except ConnectionError:
        raise CallerDisconnectedError from None


async def finish_stream(exchange: Exchange) -> None:
    """End the answer to the caller after a stream was relayed completely.

    :raises CallerDisconnectedError: if the caller has disconnected.
    """
    assert exchange.response is not None
    send_at_once(exchange.request)
    try:
        await exchange.response.write_eof()
        mark_whole(exchange.request)
    except ConnectionError:
        raise CallerDisconnectedError from None
