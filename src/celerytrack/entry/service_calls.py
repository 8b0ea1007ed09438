"""``POST /v1/services/{class}``: a call to a plain service, JSON in and out."""

import asyncio
import json
import logging
import time
from typing import Any

from aiohttp import web
from returns.result import Failure, Result, Success

from celerytrack.answer_limits import AnswerBytes, AnswerTooLargeError
from celerytrack.bounded_connection import AnswerNotHeldError, read_body
from celerytrack.callers.answers import AnswerReading, send_answer
from celerytrack.callers.unpacking import parsed_json_bytes
from celerytrack.entry.admission import AdmittedRequest, choose_replica, handle, reserve
from celerytrack.entry.answers import StoredAnswer
from celerytrack.entry.calls import (
    CONNECTION_ERRORS,
    CallFailedError,
    Post,
    replica_failed,
)
from celerytrack.entry.charging import charge
from celerytrack.entry.claims import Claim, ClaimState
from celerytrack.entry.json_ends import JSON_TYPE, may_go_on
from celerytrack.entry.refusals import RefusedError
from celerytrack.entry.state import EntryState
from celerytrack.entry.upstream import (
    bad_status,
    try_replicas,
)
from celerytrack.events import Event, log_event
from celerytrack.ids import ServiceName
from celerytrack.routing.replica_load import Ask
from celerytrack.settings import BackendKind
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run, may_have_run

_log = logging.getLogger(__name__)


async def service_call(state: EntryState, request: web.Request) -> web.StreamResponse:
    started_s = time.monotonic()

    async def replay(stored: StoredAnswer) -> web.StreamResponse:
        replayed = web.json_response(text=stored.text, headers={"X-Replayed": "1"})
        return await send_answer(state.callers.account, request, replayed)

    async def serve(admitted: AdmittedRequest) -> web.StreamResponse:
        text = json.dumps(await _serve(state, admitted))
        name, rid = admitted.work.name, admitted.request_id
        state.metrics.ttft.labels(name).observe(time.monotonic() - started_s)
        state.metrics.requests.labels(name, "done").inc()
        if admitted.key is not None:
            state.answers.put(admitted.cache_key, StoredAnswer(rid, text=text))
        whole = web.json_response(text=text, headers={"X-Request-Id": rid})
        return await send_answer(state.callers.account, request, whole)

    return await handle(state, request, BackendKind.SERVICE, replay, serve)


async def _serve(state: EntryState, admitted: AdmittedRequest) -> Any:
    if not admitted.work.idempotent:
        # A call that is known to have started must not be refused with
        # did_not_run below, for lack of budget or of a replica.
        known = state.claims.find_claim(admitted.cache_key)
        if known is not None:
            return _stored_answer(known)
    cost = admitted.work.service_cost_tokens
    reservation = await reserve(state, admitted, cost)
    ask = Ask(admitted.work.model, admitted.work.priority)
    claim = Claim(ClaimState.OWNED)
    try:
        # Check that some replica has room before the intent is recorded, so that a
        # call refused for lack of capacity can still be retried.
        if not state.reach.is_down(ServiceName(ask.model)):
            choose_replica(state, admitted.work, ask, frozenset())
        if not admitted.work.idempotent:
            claim = await _claim(state, admitted)
        if claim.state is ClaimState.FINISHED:
            state.grant_manager.escrow.release(reservation)
            return _stored_answer(claim)
        answer = await _send(state, admitted, ask)
    except RefusedError as exc:
        state.grant_manager.escrow.release(reservation)
        if claim.claim_id and exc.refusal.verdict is Verdict.DID_NOT_RUN:
            # The call was never sent, so free its key. If the claim remained, every
            # retry at another entry would be refused with may_have_run forever.
            state.claims.abandon(admitted.cache_key, claim.claim_id)
        raise
    except asyncio.CancelledError:
        state.grant_manager.escrow.release(reservation)
        raise
    except Exception:
        state.grant_manager.escrow.release(reservation)
        if claim.claim_id and not admitted.progress.may_have_run:
            state.claims.abandon(admitted.cache_key, claim.claim_id)
        raise
    if claim.claim_id:
        state.claims.finish(admitted.cache_key, claim.claim_id, answer)
    await charge(state, admitted, reservation, cost)
    return answer


async def _send(state: EntryState, admitted: AdmittedRequest, ask: Ask) -> Any:
    reading = AnswerReading(state.callers.account, admitted.hold)
    try:
        sent = await try_replicas(
            state,
            admitted,
            ask,
            lambda sent, post: _attempt(
                post, admitted, state.answer_bytes[sent.replica.replica_id], reading
            ),
        )
    finally:
        state.callers.account.close(reading.hold)
    match sent:
        case Failure(refusal):
            raise RefusedError(refusal)
    return sent.unwrap()


async def _claim(state: EntryState, admitted: AdmittedRequest) -> Claim:
    """Claim a non-idempotent call for this attempt.

    :returns: an owned claim, or a finished one with its answer.
    :raises RefusedError: ``may_have_run`` if another attempt owns the call,
        ``did_not_run`` if the intent could not be recorded.
    """
    claim = await state.claims.claim(admitted.cache_key)
    match claim.state:
        case ClaimState.OWNED:
            log_event(_log, Event.INTENT_RECORDED, request_id=admitted.request_id)
        case ClaimState.STARTED:
            _stored_answer(claim)
        case ClaimState.UNREACHABLE:
            detail = "the intent could not be recorded"
            raise RefusedError(did_not_run(Reason.LEDGER_UNREACHABLE, 2.0, detail))
    return claim


def _stored_answer(claim: Claim) -> Any:
    """The stored answer of a call that another attempt owns.

    :raises RefusedError: ``may_have_run`` if no answer is stored yet.
    """
    if claim.state is ClaimState.FINISHED:
        return claim.answer
    detail = "this call was started before"
    raise RefusedError(may_have_run(Reason.DUPLICATE_IN_FLIGHT, 2.0, detail))


async def _attempt(
    post: Post,
    admitted: AdmittedRequest,
    answer_bytes: AnswerBytes,
    reading: AnswerReading,
) -> Result[Any, Refusal]:
    try:
        async with await post(f"/call/{admitted.work.name}", admitted.body) as answer:
            if answer.status != 200:
                return Failure(bad_status(answer.status))
            if answer.content_type != JSON_TYPE:
                return Failure(replica_failed())
            body = await read_body(answer, answer_bytes, reading)
            if may_go_on(answer, body[-1:]):
                return Failure(replica_failed())
            reading.begin(parsed_json_bytes(body))
            return Success(json.loads(body))
    except CallFailedError as exc:
        return Failure(exc.refusal)
    except AnswerNotHeldError:
        detail = "callers hold all the memory that they may"
        return Failure(may_have_run(Reason.OVERLOADED, 1.0, detail))
    except (*CONNECTION_ERRORS, AnswerTooLargeError, ValueError, RecursionError):
        return Failure(replica_failed())
