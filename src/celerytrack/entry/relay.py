"""Sends a request through another entry while this one reaches no replica of a model,
for the own interface."""

import logging
import time
from collections.abc import Awaitable, Callable, Collection
from typing import Any, TypeVar

import aiohttp
import attrs
from returns.result import Failure, Result

from celerytrack.entry.admission import AdmittedRequest
from celerytrack.entry.calls import (
    CONNECT_ERRORS,
    CONNECTION_ERRORS,
    CallFailedError,
    Post,
    replica_failed,
)
from celerytrack.entry.reach import potential_helpers
from celerytrack.entry.relay_format import (
    MAX_TRIED,
    RELAY_PATH,
    RelayedCall,
    RelayOrder,
    encode_call,
)
from celerytrack.entry.state import EntryState
from celerytrack.events import Event, log_event
from celerytrack.ids import EntryId, ReplicaId, ServiceName
from celerytrack.reachability.helpers import MAX_HELPERS, Helper
from celerytrack.reachability.relayed import (
    UNHANDLED_STATUSES,
    RelayOutcome,
    decode_outcome,
)
from celerytrack.routing.replica_load import Ask, Attempt, ReplicaLoad
from celerytrack.strict import UnreadableError
from celerytrack.verdict import Reason, Refusal, did_not_run

_log = logging.getLogger(__name__)
T = TypeVar("T")

RETRY_AFTER_S = 0.5


def links_down() -> Refusal:
    """The refusal of a request that neither this entry nor another can send."""
    detail = "this entry reaches no back end, and no other entry helps"
    return did_not_run(Reason.ISOLATED, RETRY_AFTER_S, detail)


@attrs.define
class _Relayed:
    """One attempt through another entry, and what is known of it.

    :ivar outcome: what the other entry said, once it has answered.
    :ivar unreached: whether it could not be reached.
    """

    helper: Helper
    outcome: RelayOutcome | None = None
    unreached: bool = False


async def relay(
    state: EntryState,
    admitted: AdmittedRequest,
    ask: Ask,
    tried: Collection[ReplicaId],
    attempt: Callable[[Attempt, Post], Awaitable[Result[T, Refusal]]],
) -> tuple[Attempt | None, Result[T, Refusal]]:
    """Make one attempt through another entry.

    :returns: the attempt, at the replica that the other entry chose, ``None`` if no
        entry sent the request, and its result.
    """
    service = ServiceName(ask.model)
    result: Result[T, Refusal] = Failure(links_down())
    asked: set[EntryId] = set()
    for _ in range(MAX_HELPERS):
        now_s = time.monotonic()
        helper = state.helpers.choose(
            potential_helpers(state, now_s), service, asked, now_s
        )
        if helper is None:
            break
        asked.add(helper.entry_id)
        relayed = _Relayed(helper)
        sent = _attempt_at(ReplicaId(f"through {helper.entry_id}"), ask)
        state.helpers.begin(helper)
        try:
            result = await attempt(sent, _post(state, admitted, ask, tried, relayed))
        finally:
            state.helpers.end(helper)
        _log_relayed(admitted, relayed, result)
        if relayed.outcome is not None and relayed.outcome.endpoint is not None:
            replica_id = ReplicaId(relayed.outcome.endpoint)
            sent.replica.replica_id = replica_id
        if not _was_refused(relayed):
            if relayed.outcome is not None:
                state.helpers.record_served(helper.entry_id, service, time.monotonic())
            return sent, result
        _record_refused(state, relayed, service, time.monotonic())
    return None, result


def _record_refused(
    state: EntryState, relayed: _Relayed, service: ServiceName, now_s: float
) -> None:
    entry, outcome = relayed.helper.entry_id, relayed.outcome
    if outcome is None or outcome.reason is None:
        state.helpers.record_unreachable(entry, service, now_s)
        return
    named = None if outcome.helper is None else EntryId(outcome.helper)
    state.helpers.record_refused(entry, service, outcome.reason, named, now_s)


def _attempt_at(replica_id: ReplicaId, ask: Ask) -> Attempt:
    """An attempt that counts for no replica here: the other entry counts it."""
    return Attempt(ReplicaLoad(replica_id, zone="", model=ask.model), 0.0, 0, 0.0)  # type: ignore[arg-type]


def _was_refused(relayed: _Relayed) -> bool:
    if relayed.unreached:
        return True
    outcome = relayed.outcome
    return outcome is not None and outcome.reason is not None and not outcome.sent


def _post(
    state: EntryState,
    admitted: AdmittedRequest,
    ask: Ask,
    tried: Collection[ReplicaId],
    relayed: _Relayed,
) -> Post:
    order = RelayOrder(
        sender=state.entry_id,
        account=admitted.account.account_id,
        work_class=admitted.work.name,
        request_id=admitted.request_id,
        tried=[str(replica_id) for replica_id in sorted(tried)][:MAX_TRIED],
        version=ask.version,
    )

    async def post(path: str, body: Any) -> aiohttp.ClientResponse:
        call = RelayedCall(order, admitted.body, body)
        url = f"http://{relayed.helper.address}{RELAY_PATH}"
        try:
            answer = await state.relay_session.post(url, data=encode_call(call))
        except CONNECT_ERRORS:
            relayed.unreached = True
            raise CallFailedError(links_down()) from None
        except CONNECTION_ERRORS:
            raise CallFailedError(replica_failed()) from None
        try:
            relayed.outcome = decode_outcome(answer.headers)
        except UnreadableError:
            answer.close()
            if answer.status not in UNHANDLED_STATUSES:
                raise CallFailedError(replica_failed()) from None
            relayed.unreached = True
            raise CallFailedError(links_down()) from None
        if relayed.outcome.reason is not None:
            answer.close()
            raise CallFailedError(_refusal_of(relayed.outcome, relayed.helper))
        return answer

    return post


def _refusal_of(outcome: RelayOutcome, helper: Helper) -> Refusal:
    assert outcome.reason is not None
    detail = f"through {helper.entry_id}: {outcome.detail}"
    retry_after_s = outcome.retry_after_s
    if retry_after_s is None:
        retry_after_s = RETRY_AFTER_S
    return Refusal(outcome.reason, outcome.verdict, retry_after_s, detail)


def _log_relayed(
    admitted: AdmittedRequest, relayed: _Relayed, result: Result[Any, Refusal]
) -> None:
    refusal = result.failure() if isinstance(result, Failure) else None
    outcome = relayed.outcome
    log_event(
        _log,
        Event.RELAYED,
        request_id=admitted.request_id,
        service=admitted.work.model,
        through=relayed.helper.entry_id,
        endpoint=None if outcome is None else outcome.endpoint,
        outcome="answered" if refusal is None else refusal.reason.value,
        verdict=None if refusal is None else refusal.verdict.value,
        detail=None if refusal is None else refusal.detail,
    )
