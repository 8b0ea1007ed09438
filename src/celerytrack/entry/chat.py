"""``POST /v1/chat/completions``: admit, route, stream, bill."""

import asyncio
import logging
import time
from typing import Any

import aiohttp
import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from celerytrack.answer_limits import AnswerTooLargeError
from celerytrack.callers.answers import READ_BYTES, write_events
from celerytrack.entry.admission import AdmittedRequest, handle, reserve
from celerytrack.entry.answers import StoredAnswer
from celerytrack.entry.calls import (
    CONNECTION_ERRORS,
    CallFailedError,
    Post,
    replica_failed,
)
from celerytrack.entry.charging import charge
from celerytrack.entry.refusals import RefusedError
from celerytrack.entry.request_bodies import MalformedRequestError, check_messages
from celerytrack.entry.state import EntryState
from celerytrack.entry.upstream import (
    bad_status,
    try_replicas,
)
from celerytrack.escrow import GrantReservation
from celerytrack.events import Event, log_event
from celerytrack.origins.origin import VERSION_HEADER
from celerytrack.prompts import count_tokens, prompt_blocks, prompt_text
from celerytrack.routing.replica_load import Ask, Attempt
from celerytrack.settings import BackendKind
from celerytrack.sse import DONE_EVENT, AnswerRelay, event_bytes
from celerytrack.verdict import Reason, Refusal, did_not_run, may_have_run

_log = logging.getLogger(__name__)

REPLAY = ""
"""Place of a stored answer: it holds none of a replica."""
_END_WAIT_S = 0.1
"""Timeout of the wait for the end of an engine's response after its last event."""


class _CallerDisconnectedError(Exception):
    """The caller closed its connection before the answer was complete."""


class _IncompleteStreamError(Exception):
    """The engine's stream ended before the answer was complete."""


class _LacksEventError(Exception):
    """The caller lacks an event before the last one that it has: nothing mends that."""


@attrs.define
class _Answer:
    """One answer in progress.

    :ivar version: software version that wrote the part that the caller has; ``None``
        if it has none.
    """

    admitted: AdmittedRequest
    prompt_tokens: int
    max_tokens: int
    ask: Ask
    started_s: float
    relay: AnswerRelay
    version: str | None = None
    response: web.StreamResponse | None = None

    @property
    def spent_tokens(self) -> int:
        return self.prompt_tokens + min(self.relay.tokens, self.max_tokens)


async def chat(state: EntryState, request: web.Request) -> web.StreamResponse:
    started_s = time.monotonic()

    async def replay(stored: StoredAnswer) -> web.StreamResponse:
        log_event(_log, Event.REQUEST_REPLAYED, request_id=stored.request_id)
        return await _replay(state, request, stored)

    async def serve(admitted: AdmittedRequest) -> web.StreamResponse:
        return await _serve(state, request, _new_answer(admitted, started_s))

    return await handle(state, request, BackendKind.ENGINE, replay, serve)


def _new_answer(admitted: AdmittedRequest, started_s: float) -> _Answer:
    work = admitted.work
    try:
        prompt = prompt_text(check_messages(admitted.body))
    except MalformedRequestError as exc:
        refusal = did_not_run(Reason.BAD_REQUEST, None, str(exc))
        raise RefusedError(refusal) from None
    asked = admitted.body.get("max_tokens")
    if asked is not None and (type(asked) is not int or asked < 1):
        detail = "max_tokens must be a positive integer"
        raise RefusedError(did_not_run(Reason.BAD_REQUEST, None, detail))
    max_tokens = min(asked or work.max_output_tokens, work.max_output_tokens)
    ask = Ask(work.model, work.priority, prompt_blocks(prompt))
    relay = AnswerRelay(admitted.request_id, keeps=admitted.key is not None)
    return _Answer(admitted, count_tokens(prompt), max_tokens, ask, started_s, relay)


async def _serve(
    state: EntryState, request: web.Request, answer: _Answer
) -> web.StreamResponse:
    cost = answer.prompt_tokens + answer.max_tokens
    reservation = await reserve(state, answer.admitted, cost)
    try:
        streamed = await try_replicas(
            state,
            answer.admitted,
            answer.ask,
            lambda sent, post: _stream_from(state, request, sent, post, answer),
        )
    except _CallerDisconnectedError:
        await _bill_disconnected(state, answer, reservation)
        raise ConnectionResetError from None
    except _LacksEventError:
        state.grant_manager.escrow.release(reservation)
        late = may_have_run(Reason.UPSTREAM_CUT, 1.0, "an event came late")
        return await _answer_refusal(state, answer, late)
    except asyncio.CancelledError:
        state.grant_manager.escrow.release(reservation)
        raise
    except Exception:
        await _bill_relayed(state, answer, reservation)
        raise
    match streamed:
        case Failure(refusal):
            state.grant_manager.escrow.release(reservation)
            return await _answer_refusal(state, answer, refusal)
    try:
        await charge(state, answer.admitted, reservation, answer.spent_tokens)
    except RefusedError as exc:
        return await _answer_refusal(state, answer, exc.refusal)
    return await _finish(state, answer)


async def _stream_from(
    state: EntryState,
    request: web.Request,
    sent: Attempt,
    post: Post,
    answer: _Answer,
) -> Result[None, Refusal]:
    """Stream the answer, or the rest of it, from the replica of ``sent``."""
    body = {
        "model": answer.admitted.work.model,
        "messages": answer.admitted.body.get("messages") or [],
        "max_tokens": answer.max_tokens,
        "stream": True,
        "priority": answer.admitted.work.priority,
        # The caller already has these tokens; the engine resumes after them.
        "resume_from": answer.relay.tokens,
    }
    try:
        upstream = await post("/v1/chat/completions", body)
    except CallFailedError as exc:
        return Failure(exc.refusal)
    try:
        if upstream.status != 200:
            return Failure(bad_status(upstream.status))
        if not _is_of_version(upstream, sent, answer):
            return Failure(replica_failed())
        try:
            await _relay_events(state, request, sent, upstream, answer)
        finally:
            _log_disorder(sent, answer)
        return Success(None)
    except _IncompleteStreamError:
        answer.relay.resume()
        return Failure(may_have_run(Reason.UPSTREAM_CUT, 1.0, "engine stream cut"))
    finally:
        # An engine stops generating when its connection closes. The rest of this
        # answer must not be read as the next request's answer, so the connection is
        # reused only if the engine has ended its response.
        if not (answer.relay.complete and await _response_ended(upstream)):
            upstream.close()


def _is_of_version(
    upstream: aiohttp.ClientResponse, sent: Attempt, answer: _Answer
) -> bool:
    """Whether a replica goes on at the version that began the answer.

    What it says now is fresher than its last report.
    """
    version = upstream.headers.get(VERSION_HEADER, "")
    sent.replica.version = version
    if answer.version not in (None, version):
        log_event(
            _log,
            Event.VERSION_REJECTED,
            request_id=answer.admitted.request_id,
            endpoint=sent.replica.replica_id,
            version=version,
            began_at=answer.version,
        )
        return False
    return True


def _log_disorder(sent: Attempt, answer: _Answer) -> None:
    relay = answer.relay
    disorder = relay.order.disorder
    if disorder is None and not relay.is_disordered:
        return
    log_event(
        _log,
        Event.ANSWER_DISORDERED,
        logging.WARNING,
        request_id=answer.admitted.request_id,
        endpoint=sent.replica.replica_id,
        standing="joined" if disorder is None else disorder.standing.value,
        number=None if disorder is None else disorder.number,
        after=relay.order.newest,
        repeats=relay.order.repeats,
        ended=relay.is_disordered,
    )


async def _response_ended(upstream: aiohttp.ClientResponse) -> bool:
    """Whether the engine ends its response after ``[DONE]``."""
    try:
        async with asyncio.timeout(_END_WAIT_S):
            return await upstream.content.readany() == b""
    except CONNECTION_ERRORS:
        return False


async def _relay_events(
    state: EntryState,
    request: web.Request,
    sent: Attempt,
    upstream: aiohttp.ClientResponse,
    answer: _Answer,
) -> None:
    """Relay the engine's events until the answer is complete.

    :raises _IncompleteStreamError: if the engine's stream ends before that.
    :raises _LacksEventError: if an event came after a later one.
    :raises _CallerDisconnectedError: if the caller's connection is closed.
    """
    relay = answer.relay
    tokens_before = relay.tokens
    while not relay.complete:
        try:
            data = await upstream.content.read(READ_BYTES)
        except CONNECTION_ERRORS:
            raise _IncompleteStreamError from None
        if not data:
            raise _IncompleteStreamError
        try:
            out = relay.feed(data)
        except AnswerTooLargeError:
            raise _IncompleteStreamError from None
        if relay.tokens > answer.max_tokens:
            # The engine goes on without end; the caller has paid for no more.
            raise _IncompleteStreamError
        if out:
            _keep(state, answer, len(out))
            await _write(state, request, sent, answer, out, tokens_before)
        if relay.lacks_event:
            sent.replica.record_failure(time.time())
            raise _LacksEventError
        if relay.is_disordered:
            raise _IncompleteStreamError


def _keep(state: EntryState, answer: _Answer, count: int) -> None:
    """Hold the memory of what is kept for a replay, or keep it no longer."""
    hold = answer.admitted.hold
    if not answer.relay.keeps or hold is None:
        return
    if not state.callers.account.try_grow(hold, count, time.monotonic()):
        answer.relay.stop_keeping()


async def _write(
    state: EntryState,
    request: web.Request,
    sent: Attempt,
    answer: _Answer,
    out: bytes,
    tokens_before: int,
) -> None:
    """Write events to the caller.

    :param tokens_before: that the caller had before this attempt.
    :raises _CallerDisconnectedError: if the caller's connection is closed.
    """
    if not sent.answered and answer.relay.tokens > tokens_before:
        sent.record_first_token(time.time())
        answer.version = sent.version = sent.replica.version
    try:
        if answer.response is None:
            answer.response = await _start_response(state, request, answer)
        account = state.callers.account
        await write_events(account, request, out, answer.admitted.work.model)
    except ConnectionError:
        raise _CallerDisconnectedError from None


async def _start_response(
    state: EntryState, request: web.Request, answer: _Answer
) -> web.StreamResponse:
    work, rid = answer.admitted.work, answer.admitted.request_id
    state.metrics.ttft.labels(work.name).observe(time.monotonic() - answer.started_s)
    response = web.StreamResponse(
        headers={"Content-Type": "text/event-stream", "X-Request-Id": rid}
    )
    await response.prepare(request)
    return response


async def _answer_refusal(
    state: EntryState, answer: _Answer, refusal: Refusal
) -> web.StreamResponse:
    """Answer with ``refusal``; as the last event if the stream has started."""
    if answer.response is None:
        raise RefusedError(refusal)
    log_event(
        _log,
        Event.REQUEST_CUT,
        logging.WARNING,
        request_id=answer.admitted.request_id,
        tokens=answer.relay.tokens,
    )
    state.metrics.requests.labels(answer.admitted.work.name, "cut").inc()
    await answer.response.write(event_bytes(refusal.to_json()))
    return answer.response


async def _finish(state: EntryState, answer: _Answer) -> web.StreamResponse:
    admitted, relay = answer.admitted, answer.relay
    if admitted.key is not None and relay.keeps:
        stored = StoredAnswer(admitted.request_id, stream=bytes(relay.relayed))
        state.answers.put(admitted.cache_key, stored)
    assert answer.response is not None
    await answer.response.write(DONE_EVENT)
    state.metrics.requests.labels(admitted.work.name, "done").inc()
    state.metrics.tokens.labels(admitted.work.name).inc(relay.tokens)
    log_event(
        _log,
        Event.REQUEST_DONE,
        logging.DEBUG,
        request_id=admitted.request_id,
        tokens=relay.tokens,
    )
    return answer.response


async def _bill_disconnected(
    state: EntryState, answer: _Answer, reservation: GrantReservation
) -> None:
    """Bill the tokens relayed to a caller that disconnected.

    Otherwise a caller could read every answer but its last event for free. The
    engine has stopped by then, since its connection was closed.
    """
    state.metrics.requests.labels(answer.admitted.work.name, "caller_left").inc()
    await _bill_relayed(state, answer, reservation)


async def _bill_relayed(
    state: EntryState, answer: _Answer, reservation: GrantReservation
) -> None:
    """Bill the tokens that the caller got, and release the rest."""
    if not answer.relay.tokens:
        state.grant_manager.escrow.release(reservation)
        return
    try:
        await charge(state, answer.admitted, reservation, answer.spent_tokens)
    except RefusedError:
        return


async def _replay(
    state: EntryState, request: web.Request, stored: StoredAnswer
) -> web.StreamResponse:
    headers: dict[str, Any] = {
        "Content-Type": "text/event-stream",
        "X-Request-Id": stored.request_id,
        "X-Replayed": "1",
    }
    response = web.StreamResponse(headers=headers)
    await response.prepare(request)
    account = state.callers.account
    for start in range(0, len(stored.stream), READ_BYTES):
        piece = stored.stream[start : start + READ_BYTES]
        await write_events(account, request, piece, REPLAY)
    await response.write(DONE_EVENT)
    return response
