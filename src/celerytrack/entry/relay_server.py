"""Serves requests that other entries send through this one, for the own interface.

They arrive on an address of their own that no caller is given, from entries of the
instance list only. One attempt is made, never through a third entry; its cost is
reserved and billed where the caller is.
"""

import logging
import time
from typing import Any

import aiohttp
import attrs
from aiohttp import web
from returns.result import Failure, Result, Success

from celerytrack.callers.account import MemoryAccount
from celerytrack.callers.answers import READ_BYTES, write_events
from celerytrack.callers.bodies import BodyReader, BodyRefusedError
from celerytrack.callers.sites import CallerSite
from celerytrack.callers.unpacking import parsed_json_bytes
from celerytrack.entry.admission import AdmittedRequest
from celerytrack.entry.calls import (
    CONNECTION_ERRORS,
    CallFailedError,
    Post,
    replica_failed,
    replica_unreachable,
    replica_withheld,
)
from celerytrack.entry.json_ends import may_go_on
from celerytrack.entry.relay import links_down
from celerytrack.entry.relay_format import (
    RELAY_PATH,
    REPLICA_PATH,
    RelayedCall,
    decode_call,
)
from celerytrack.entry.request_bodies import BODY_TIMEOUT_S
from celerytrack.entry.state import EntryState
from celerytrack.entry.unforeseen import answer_unforeseen, follow_progress
from celerytrack.entry.upstream import bad_status, try_replicas_once
from celerytrack.events import Event, log_event
from celerytrack.ids import EntryId, ReplicaId, RequestId, ServiceName
from celerytrack.origins.origin import VERSION_HEADER
from celerytrack.process_end import ConnectResult, probe_address
from celerytrack.prompts import prompt_blocks, prompt_text
from celerytrack.reachability.relayed import (
    MAX_IN_PROGRESS,
    RELAYED_HEADER,
    RelayOutcome,
    encode_outcome,
)
from celerytrack.routing.replica_load import Ask, Attempt
from celerytrack.settings import BackendKind
from celerytrack.strict import UnreadableError
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run

_log = logging.getLogger(__name__)

MAX_BODY_BYTES = 8 * 1024 * 1024
"""Two bodies of the largest size that a caller may send."""


@attrs.define
class _Answer:
    """The answer of a replica, once its head was passed on.

    :ivar replica: the replica that was chosen.
    """

    response: web.StreamResponse | None = None
    replica: ReplicaId | None = None


async def open_relay(state: EntryState) -> web.AppRunner | None:
    """Take requests of other entries, if this entry has an address for them."""
    if not state.spec.relay_address:
        return None
    app = make_relay_app(state)
    # An entry that closes its connection gives its request up.
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
    await runner.setup()
    table = state.callers.table("relay")
    await CallerSite(runner, state.spec.relay_address, table).start()
    return runner


def make_relay_app(state: EntryState) -> web.Application:
    """The application on the address for other entries."""

    async def relay(request: web.Request) -> web.StreamResponse:
        return await _handle_relayed(state, request)

    async def replica(request: web.Request) -> web.StreamResponse:
        return await _handle_replica_query(state, request)

    def fault(refusal: Refusal) -> web.Response:
        # An earlier release knows no other reason.
        return _refuse(attrs.evolve(refusal, reason=Reason.UPSTREAM_FAILED))

    app = web.Application()
    answer_unforeseen(app, state.metrics, fault)
    app.add_routes([web.post(RELAY_PATH, relay), web.get(REPLICA_PATH, replica)])
    return app


async def _handle_replica_query(
    state: EntryState, request: web.Request
) -> web.StreamResponse:
    """Whether this entry reaches a replica that it knows."""
    address = state.view.addresses.get(ReplicaId(request.query.get("replica", "")))
    if address is None:
        return web.Response(status=404)
    reached = await probe_address(address) is ConnectResult.ACCEPTED
    return web.Response(status=204 if reached else 503)


async def _handle_relayed(
    state: EntryState, request: web.Request
) -> web.StreamResponse:
    if not _is_from_an_entry(state, request):
        return _refuse(did_not_run(Reason.NO_CONFIG, None, "sent by no known entry"))
    if state.draining:
        return _refuse(did_not_run(Reason.DRAINING, None, "this entry stops"))
    if state.relays_in_progress >= MAX_IN_PROGRESS:
        detail = "too many requests of other entries"
        return _refuse(did_not_run(Reason.NO_CAPACITY, None, detail))
    state.relays_in_progress += 1
    state.begin_request()
    timeout_at_s = time.monotonic() + BODY_TIMEOUT_S
    reader = BodyReader(state.callers.account, request, MAX_BODY_BYTES, timeout_at_s)
    try:
        raw = await reader.read()
        reader.grow(parsed_json_bytes(raw))
        call = decode_call(raw)
        admitted = _admit(state, request, call)
        follow_progress(request, admitted.progress)
        return await _serve(state, request, call, admitted)
    except (UnreadableError, _NotAdmittedError) as exc:
        return _refuse(did_not_run(Reason.NO_CONFIG, None, str(exc)))
    except BodyRefusedError as exc:
        if exc.refusal.reason is Reason.BODY_TOO_LARGE:
            return web.Response(status=exc.refusal.http_status)
        # An earlier release knows no other reason.
        return _refuse(attrs.evolve(exc.refusal, reason=Reason.NO_CAPACITY))
    finally:
        state.callers.account.close(reader.hold)
        state.end_request()
        state.relays_in_progress -= 1


class _NotAdmittedError(Exception):
    """The request is not one of a known entry for a known class and account."""


def _admit(
    state: EntryState, request: web.Request, call: RelayedCall
) -> AdmittedRequest:
    order = call.order
    if not _is_known(state, request, order.sender_id):
        raise _NotAdmittedError("sent by no known entry")
    config = state.config.config
    if config is None:
        raise _NotAdmittedError("no configuration read yet")
    work = config.work_class(order.work_class)
    accounts = [a for a in config.accounts if a.account_id == order.account]
    if work is None or not accounts:
        raise _NotAdmittedError("no such class or account here")
    request_id = RequestId(order.request_id)
    return AdmittedRequest(call.caller_body, accounts[0], work, None, request_id, "")


def _is_from_an_entry(state: EntryState, request: web.Request) -> bool:
    """Whether a request comes from an entry's address, before its body is read."""
    return any(_is_known(state, request, sender) for sender in state.view.entries)


def _is_known(state: EntryState, request: web.Request, sender: EntryId) -> bool:
    info = state.view.entries.get(sender)
    if info is None or request.transport is None:
        return False
    peer = request.transport.get_extra_info("peername")
    return peer is not None and info.peer_address.rsplit(":", 1)[0] == peer[0]


async def _serve(
    state: EntryState,
    request: web.Request,
    call: RelayedCall,
    admitted: AdmittedRequest,
) -> web.StreamResponse:
    work = admitted.work
    is_engine = work.kind is BackendKind.ENGINE
    path = "/v1/chat/completions" if is_engine else f"/call/{work.name}"
    blocks = prompt_blocks(prompt_text(call.caller_body)) if is_engine else ()
    answer = _Answer()

    async def attempt(sent: Attempt, post: Post) -> Result[None, Refusal]:
        answer.replica = sent.replica.replica_id
        try:
            upstream = await post(path, call.replica_body)
        except CallFailedError as exc:
            return Failure(exc.refusal)
        if upstream.status != 200:
            upstream.release()
            return Failure(bad_status(upstream.status))
        account = state.callers.account
        return await _pass_on(account, request, sent, upstream, answer)

    service = ServiceName(work.model)
    if state.reach.is_down(service):
        helper = state.helpers.proven(service, time.monotonic())
        return _refuse(links_down(), helper=helper)
    ask = Ask(work.model, work.priority, blocks, call.order.version)
    started_s = time.monotonic()
    result = await try_replicas_once(
        state, admitted, ask, call.order.tried_ids, attempt
    )
    _log_served(call, answer, result, time.monotonic() - started_s)
    match result:
        case Failure(refusal):
            if answer.response is None:
                return _refuse(refusal, answer.replica)
            if request.transport is not None:
                request.transport.close()
    assert answer.response is not None
    return answer.response


async def _pass_on(
    account: MemoryAccount,
    request: web.Request,
    sent: Attempt,
    upstream: aiohttp.ClientResponse,
    answer: _Answer,
) -> Result[None, Refusal]:
    """Pass a replica's answer on as it arrives.

    :raises ConnectionError: if the other entry has gone.
    """
    outcome = RelayOutcome(sent.replica.replica_id, sent=True)
    headers = {RELAYED_HEADER: encode_outcome(outcome)}
    for name in ("Content-Type", VERSION_HEADER):
        if name in upstream.headers:
            headers[name] = upstream.headers[name]
    answer.response = web.StreamResponse(status=upstream.status, headers=headers)
    complete = False
    last_byte = b""
    try:
        await answer.response.prepare(request)
        while True:
            try:
                data = await upstream.content.read(READ_BYTES)
            except CONNECTION_ERRORS:
                return Failure(replica_failed())
            if not data:
                break
            if not sent.answered:
                sent.record_first_token(time.time())
            await write_events(account, request, data, sent.replica.model)
            last_byte = data[-1:]
        if may_go_on(upstream, last_byte):
            return Failure(replica_failed())
        await answer.response.write_eof()
        complete = True
    finally:
        if complete:
            upstream.release()
        else:
            upstream.close()
    return Success(None)


def _refuse(
    refusal: Refusal,
    replica: ReplicaId | None = None,
    helper: EntryId | None = None,
) -> web.Response:
    ran = refusal.verdict is Verdict.MAY_HAVE_RUN
    arrived = replica is not None and refusal not in (
        replica_unreachable(),
        replica_withheld(),
    )
    outcome = RelayOutcome(
        replica,
        refusal.reason,
        refusal.verdict,
        ran or arrived,
        refusal.retry_after_s,
        refusal.detail,
        helper,
    )
    headers = {RELAYED_HEADER: encode_outcome(outcome)}
    return web.Response(status=502 if ran else 503, headers=headers)


def _log_served(
    call: RelayedCall, answer: _Answer, result: Result[Any, Refusal], took_s: float
) -> None:
    refusal = result.failure() if isinstance(result, Failure) else None
    log_event(
        _log,
        Event.RELAY_SERVED,
        request_id=call.order.request_id,
        sender=call.order.sender,
        endpoint=answer.replica,
        outcome="answered" if refusal is None else refusal.reason.value,
        took_ms=round(took_s * 1_000),
    )
