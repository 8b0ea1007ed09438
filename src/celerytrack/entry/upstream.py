"""Sends one request to replicas; decides whether a failed attempt may have run the
request, and whether another replica is tried."""

import asyncio
import enum
import logging
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from returns.result import Failure, Result, Success

from celerytrack.entry.admission import (
    AdmittedRequest,
    suspect_state_of,
)
from celerytrack.entry.calls import (
    Post,
    direct_post,
    replica_unreachable,
    replica_withheld,
)
from celerytrack.entry.placement import AttemptHistory, place
from celerytrack.entry.reach import ended_if_links_fail
from celerytrack.entry.relay import relay
from celerytrack.entry.shared_deadline import DeadlineExceededError
from celerytrack.entry.state import EntryState
from celerytrack.events import Event, log_event
from celerytrack.ids import ReplicaId, RequestId, ServiceName
from celerytrack.limits.room import LeaseOutcome
from celerytrack.routing.replica_load import Ask, Attempt, ReplicaLoad
from celerytrack.routing.replicas import Placement, predict_first_token_s
from celerytrack.routing.retries import backoff_s, may_retry
from celerytrack.settings import WorkClass
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run, may_have_run

_log = logging.getLogger(__name__)

T = TypeVar("T")

AttemptCall = Callable[[Attempt, Post], Awaitable[Result[T, Refusal]]]
"""Makes one attempt: posts to its replica and handles the answer."""

MAX_PROBE_S = 60.0
"""Longest time for which a request counts as probed if the entry that runs the probe
does not report its end."""
MAX_ATTEMPTS_WITHOUT_TOKENS = 3
"""Consecutive attempts of one request that may end without a token of the answer."""
_NOT_RUN_STATUSES = frozenset({400, 404, 408, 421, 429, 503})
"""Statuses by which a replica guarantees that it did not run the request."""


class NoRetryReason(enum.Enum):
    """Why a failed request is not retried at another replica."""

    ATTEMPTS = "attempts"
    NOT_IDEMPOTENT = "not_idempotent"
    RETRY_BUDGET = "retry_budget"
    NO_REPLICA = "no_replica"


def bad_status(status: int) -> Refusal:
    """The refusal if the replica answered with a status other than 200."""
    detail = f"back end answered {status}"
    if status in _NOT_RUN_STATUSES:
        return did_not_run(Reason.UPSTREAM_FAILED, 1.0, detail)
    return may_have_run(Reason.UPSTREAM_FAILED, 1.0, detail)


def links_lost() -> Refusal:
    """The refusal if this entry lost its links while an attempt was in progress."""
    detail = "this entry reaches no back end any more"
    return may_have_run(Reason.UPSTREAM_CUT, 1.0, detail)


def stop_deadline_exceeded() -> Refusal:
    """The refusal if the entry stops before the replica's answer is complete."""
    detail = "the entry stopped before the answer was whole; ask /v1/route again"
    return may_have_run(Reason.DEADLINE, 0.0, detail)


def draining_before_send() -> Refusal:
    """The refusal if the entry stops before the request was sent to a replica."""
    detail = "entry is draining; ask /v1/route again"
    return did_not_run(Reason.DRAINING, 0.0, detail)


async def try_replicas(
    state: EntryState,
    admitted: AdmittedRequest,
    ask: Ask,
    attempt: AttemptCall[T],
) -> Result[T, Refusal]:
    """Run ``attempt`` on one replica after another until one succeeds.

    :returns: the first success, or the refusal that the caller gets.
    """
    state.retries.record_request()
    history = AttemptHistory(answer_at_s=time.monotonic() + admitted.work.ttft_target_s)
    while True:
        if state.attempts_deadline.has_passed(time.monotonic()):
            return Failure(history.refusal or draining_before_send())
        try:
            sent, result = await _attempt(state, admitted, history, ask, attempt)
        except DeadlineExceededError:
            return Failure(stop_deadline_exceeded())
        match result:
            case Success(_):
                return result
            case Failure(refusal) if sent is None:
                return Failure(history.refusal or refusal)
            case Failure(refusal) if refusal == replica_withheld():
                continue
            case Failure(refusal):
                assert sent is not None
                history.record_failure(sent, refusal)
                why = _reason_not_to_retry(state, admitted.work, refusal, history)
                if why is not None:
                    _log_not_retried(admitted.request_id, why, refusal)
                    return Failure(history.refusal or refusal)
        await asyncio.sleep(backoff_s(max(history.failed_in_row - 1, 0), state.rng))


async def try_replicas_once(
    state: EntryState,
    admitted: AdmittedRequest,
    ask: Ask,
    avoid: frozenset[ReplicaId],
    attempt: AttemptCall[T],
) -> Result[T, Refusal]:
    """Send a request of another entry to one replica, from here.

    Only a replica that received nothing is followed by another.

    :param avoid: replicas that are not to be chosen.
    """
    answer_at_s = time.monotonic() + admitted.work.ttft_target_s
    history = AttemptHistory(answer_at_s, avoid=avoid)
    for _ in range(MAX_ATTEMPTS_WITHOUT_TOKENS):
        try:
            sent, result = await _attempt_directly(
                state, admitted, history, ask, attempt
            )
        except DeadlineExceededError:
            return Failure(stop_deadline_exceeded())
        match result:
            case Failure(refusal) if sent is not None and refusal in (
                replica_unreachable(),
                replica_withheld(),
            ):
                history.avoid |= {sent.replica.replica_id}
            case _:
                break
    return result


async def _attempt(
    state: EntryState,
    admitted: AdmittedRequest,
    history: AttemptHistory,
    ask: Ask,
    attempt: AttemptCall[T],
) -> tuple[Attempt | None, Result[T, Refusal]]:
    """Make one attempt, from here or through another entry.

    :returns: the attempt, ``None`` if there was none, and its result.
    :raises DeadlineExceededError: if the entry stops before its end.
    """
    if await _may_send_directly(state, admitted.work):
        return await _attempt_directly(state, admitted, history, ask, attempt)
    return await _attempt_elsewhere(state, admitted, history, ask, attempt)


async def _may_send_directly(state: EntryState, work: WorkClass) -> bool:
    """Whether this entry reaches the replicas, once a doubt of it is settled."""
    if not state.reach.tracker:
        return True
    service = ServiceName(work.model)
    await state.reach.settled(service)
    running = sum(
        replica.own.running
        for replica in state.view.replicas.values()
        if replica.model == work.model
    )
    return state.reach.tracker.has_direct_room(service, running)


async def _attempt_elsewhere(
    state: EntryState,
    admitted: AdmittedRequest,
    history: AttemptHistory,
    ask: Ask,
    attempt: AttemptCall[T],
) -> tuple[Attempt | None, Result[T, Refusal]]:
    """Make one attempt through another entry, or from here if none helps while load
    returns to links that work again."""
    state_now = suspect_state_of(state, admitted, time.monotonic())
    if state_now in (SuspectState.QUARANTINED, SuspectState.PROBE_ONLY):
        return None, Failure(_quarantine_refusal(state, admitted))
    next_ask = history.next_ask(ask)
    ran_before = admitted.progress.may_have_run
    admitted.progress.may_have_run = True
    async with state.attempts_deadline.scope():
        sent, result = await relay(state, admitted, next_ask, history.avoid, attempt)
    _record_progress(admitted, result, ran_before)
    if sent is None and not state.reach.is_down(ServiceName(admitted.work.model)):
        return await _attempt_directly(state, admitted, history, ask, attempt)
    return sent, result


async def _attempt_directly(
    state: EntryState,
    admitted: AdmittedRequest,
    history: AttemptHistory,
    ask: Ask,
    attempt: AttemptCall[T],
) -> tuple[Attempt | None, Result[T, Refusal]]:
    """Choose a replica and send the request there from here.

    :returns: the attempt, ``None`` if there was none, and its result.
    """
    suspect_state = suspect_state_of(state, admitted, time.monotonic())
    if suspect_state is SuspectState.QUARANTINED:
        return None, Failure(_quarantine_refusal(state, admitted))
    placed = await place(state, admitted, history, ask, suspect_state)
    if isinstance(placed, Refusal):
        if history.refusal is not None:
            _log_not_retried(admitted.request_id, NoRetryReason.NO_REPLICA, placed)
        return None, Failure(placed)
    replica = placed.replica
    if (
        suspect_state is SuspectState.PROBE_ONLY
        and not await state.suspects.begin_probe(
            admitted, replica.replica_id, MAX_PROBE_S
        )
    ):
        state.notices.give_back(placed)
        return None, Failure(_quarantine_refusal(state, admitted))
    now_s = time.time()
    first_token_s = predict_first_token_s(
        replica, replica.load(now_s), ask, Placement()
    )
    sent = replica.begin_attempt(ask, first_token_s, now_s)
    if replica.leaving or not state.notices.may_send(replica, time.monotonic()):
        sent.finish(time.time())
        state.notices.give_back(placed)
        state.suspects.cancel_probe(admitted)
        return sent, Failure(replica_withheld())
    outcome = LeaseOutcome.ABANDONED
    ran_before = admitted.progress.may_have_run
    admitted.progress.may_have_run = True
    try:
        result = await _send(state, admitted, sent, suspect_state, attempt)
        _record_progress(admitted, result, ran_before)
        ran = isinstance(result, Success)
        outcome = LeaseOutcome.RAN if ran else LeaseOutcome.FAILED
        if _was_not_sent(result):
            state.notices.give_back(placed)
    finally:
        state.notices.end_lease(placed, outcome)
    _record_outcome(state, admitted, replica.replica_id, result)
    match result:
        case Success(_):
            replica.record_success()
            state.reach.record_answer(ServiceName(replica.model))
        case Failure(refusal):
            if not _is_no_fault(state, replica, refusal):
                replica.record_failure(time.time())
            _log_attempt_failed(admitted.request_id, replica.replica_id, refusal)
    return sent, result


def _record_progress(
    admitted: AdmittedRequest, result: Result[T, Refusal], ran_before: bool
) -> None:
    """Note that an attempt did not run the request, if that is certain."""
    match result:
        case Failure(refusal) if refusal.verdict is Verdict.DID_NOT_RUN:
            admitted.progress.may_have_run = ran_before


def _was_not_sent(result: Result[T, Refusal]) -> bool:
    match result:
        case Failure(refusal):
            return refusal in (replica_withheld(), replica_unreachable())
    return False


async def _send(
    state: EntryState,
    admitted: AdmittedRequest,
    sent: Attempt,
    suspect_state: SuspectState,
    attempt: AttemptCall[T],
) -> Result[T, Refusal]:
    """Run an attempt from here, and count it while it runs.

    :raises DeadlineExceededError: if the entry stops before its end.
    """
    replica = sent.replica
    end_attempt = state.notices.begin_attempt(replica.replica_id)
    suspected = suspect_state is not SuspectState.CLEAR
    if suspected:
        state.suspects.begin_suspect(replica.replica_id)
    post = direct_post(state, replica, admitted.request_id)
    may_repeat = admitted.work.idempotent
    try:
        async with state.attempts_deadline.scope():
            with ended_if_links_fail(state, replica.model, may_repeat) as scope:
                async with scope:
                    return await attempt(sent, post)
    except TimeoutError:
        if not scope.expired():
            raise
        return Failure(links_lost())
    except BaseException:
        # The caller disconnected or the process stops: the probe has no result.
        state.suspects.cancel_probe(admitted)
        raise
    finally:
        sent.finish(time.time())
        end_attempt()
        if suspected:
            state.suspects.end_suspect(replica.replica_id)


def _is_no_fault(state: EntryState, replica: ReplicaLoad, refusal: Refusal) -> bool:
    """Whether a failed attempt is no sign of a fault of the replica."""
    if refusal.reason is Reason.OVERLOADED:
        return True
    return refusal in (replica_withheld(), links_lost()) or _is_backpressure(
        state, replica, refusal
    )


def _is_backpressure(state: EntryState, replica: ReplicaLoad, refusal: Refusal) -> bool:
    """Whether a replica that is limited or backs off rejected a request, which is no
    sign of a fault."""
    rejected = refusal.verdict is Verdict.DID_NOT_RUN
    return (
        rejected
        and refusal != replica_unreachable()
        and (
            state.notices.is_limited(replica.replica_id)
            or state.notices.is_backing_off(replica)
        )
    )


def _quarantine_refusal(state: EntryState, admitted: AdmittedRequest) -> Refusal:
    return state.suspects.quarantine_refusal(admitted, time.monotonic())


def _record_outcome(
    state: EntryState,
    admitted: AdmittedRequest,
    replica: ReplicaId,
    result: Result[T, Refusal],
) -> None:
    """Report the outcome of an attempt to the tracking of crashing requests."""
    suspects = state.suspects
    match result:
        case Success(_):
            suspects.record_success(admitted, admitted.work.model, time.monotonic())
        case Failure(_) if _ends_by_itself(state, state.view.replicas[replica]):
            suspects.cancel_probe(admitted)
        case Failure(refusal) if refusal == links_lost():
            suspects.cancel_probe(admitted)
        case Failure(refusal) if refusal.verdict is Verdict.MAY_HAVE_RUN:
            address = state.view.addresses[replica]
            model = admitted.work.model
            suspects.check_for_crash(admitted, replica, address, model)
        case Failure(_):
            suspects.cancel_probe(admitted)


def _ends_by_itself(state: EntryState, replica: ReplicaLoad) -> bool:
    """Whether a replica that ends is no sign against the requests that it ran."""
    return state.notices.is_leaving(replica) or state.notices.is_brittle(replica)


def _reason_not_to_retry(
    state: EntryState, work: WorkClass, refusal: Refusal, history: AttemptHistory
) -> NoRetryReason | None:
    """Why the failed attempt is not retried; ``None`` if it is, which takes a token
    of the retry budget unless the answer has started."""
    if history.failed_in_row == MAX_ATTEMPTS_WITHOUT_TOKENS:
        return NoRetryReason.ATTEMPTS
    if not may_retry(refusal, work.idempotent):
        return NoRetryReason.NOT_IDEMPOTENT
    # A started answer can only be aborted, not refused, and a caller that retries an
    # aborted answer makes the engines generate all of it again.
    if not history.streaming and not state.retries.try_acquire():
        return NoRetryReason.RETRY_BUDGET
    return None


def _log_attempt_failed(
    request_id: RequestId, replica: ReplicaId, refusal: Refusal
) -> None:
    log_event(
        _log,
        Event.ATTEMPT_FAILED,
        request_id=request_id,
        endpoint=replica,
        reason=refusal.reason.value,
        verdict=refusal.verdict.value,
        detail=refusal.detail,
    )


def _log_not_retried(
    request_id: RequestId, why: NoRetryReason, refusal: Refusal
) -> None:
    log_event(
        _log,
        Event.REQUEST_GIVEN_UP,
        logging.WARNING,
        request_id=request_id,
        why=why.value,
        detail=refusal.detail,
    )
