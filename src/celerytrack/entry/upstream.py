"""Sending one request to back ends: what a failed attempt proves, and when
another replica is tried."""

import asyncio
import enum
import logging
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
import attrs
from returns.result import Failure, Result, Success

from celerytrack.entry.admission import Admitted, place, standing_of
from celerytrack.entry.refusals import RefusedError
from celerytrack.entry.state import EntryState
from celerytrack.entry.time_limit import TimeIsUpError
from celerytrack.events import Event, log_event
from celerytrack.ids import ReplicaId, RequestId
from celerytrack.replica_load import Ask, Attempt, ReplicaLoad
from celerytrack.retries import backoff_s, may_retry
from celerytrack.routing import Placement, predicted_s
from celerytrack.settings import WorkClass
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run, may_have_run

_log = logging.getLogger(__name__)

T = TypeVar("T")

TRIAL_MOST_S = 60.0
"""Longest that a request is held to be tried alone, unless its entry says otherwise."""
ATTEMPTS = 3
"""Replicas tried in a row, without a token of the answer, for one request."""
NEVER_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors raised before a connection was made: the back end saw nothing."""
CONNECTION_FAILED = (aiohttp.ClientError, TimeoutError, ConnectionError)
"""Errors of a connection that existed: the request may have been read."""
_NOT_RUN_STATUSES = frozenset({400, 404, 408, 421, 429, 503})
"""Statuses by which a back end promises that it did not run the request."""


class GivenUp(enum.Enum):
    """Why a request is not tried at another replica."""

    ATTEMPTS = "attempts"
    NOT_IDEMPOTENT = "not_idempotent"
    RETRY_BUDGET = "retry_budget"
    NO_REPLICA = "no_replica"


def unreachable() -> Refusal:
    """No connection to the back end could be made."""
    return did_not_run(Reason.UPSTREAM_FAILED, 1.0, "back end unreachable")


def failed() -> Refusal:
    """The connection failed after the request may have been read."""
    return may_have_run(Reason.UPSTREAM_FAILED, 1.0, "back end failed")


def bad_status(status: int) -> Refusal:
    """The back end answered with another status than 200."""
    detail = f"back end answered {status}"
    if status in _NOT_RUN_STATUSES:
        return did_not_run(Reason.UPSTREAM_FAILED, 1.0, detail)
    return may_have_run(Reason.UPSTREAM_FAILED, 1.0, detail)


def out_of_time() -> Refusal:
    """The entry stops, and the back end has not answered in the time left."""
    detail = "the entry stopped before the answer was whole; ask /v1/route again"
    return may_have_run(Reason.DEADLINE, 0.0, detail)


def not_begun() -> Refusal:
    """The entry stops, and no time is left to send the request anywhere."""
    detail = "entry is draining; ask /v1/route again"
    return did_not_run(Reason.DRAINING, 0.0, detail)


@attrs.define
class _Tries:
    """What the attempts of one request have come to so far.

    :ivar begun: its caller has a part of the answer.
    :ivar fruitless: the last attempts in a row that brought it nothing.
    :ivar avoid: replicas that failed it since its last token.
    :ivar refusal: what it is answered if no attempt succeeds; once one may
        have run, that stands, however the later ones end.
    """

    begun: bool = False
    fruitless: int = 0
    avoid: frozenset[ReplicaId] = frozenset()
    refusal: Refusal | None = None

    def ask(self, ask: Ask) -> Ask:
        """What the next attempt asks for: a begun answer is not shed for more
        urgent requests, which could still be refused."""
        return attrs.evolve(ask, priority=0) if self.begun else ask

    def failed(self, sent: Attempt, refusal: Refusal) -> None:
        """Count an attempt that failed: one that brought the answer further
        is as good as a fresh start."""
        if sent.answered:
            self.begun = True
            self.fruitless = 0
            self.avoid = frozenset()
        else:
            self.fruitless += 1
        self.avoid |= {sent.replica.replica_id}
        if self.refusal is None or refusal.verdict is Verdict.MAY_HAVE_RUN:
            self.refusal = refusal


async def try_replicas(
    state: EntryState,
    admitted: Admitted,
    ask: Ask,
    attempt: Callable[[Attempt], Awaitable[Result[T, Refusal]]],
) -> Result[T, Refusal]:
    """Make ``attempt`` on one replica after another until one succeeds.

    :returns: the first success, or why the request was given up.
    """
    state.retries.request()
    tries = _Tries()
    work, request_id = admitted.work, admitted.request_id
    while True:
        if state.attempts_limit.is_over(time.monotonic()):
            return Failure(tries.refusal or not_begun())
        standing = standing_of(state, admitted, time.monotonic())
        if standing is SuspectState.QUARANTINED:
            return Failure(tries.refusal or _held_back(state, admitted))
        try:
            replica = _place(state, admitted, tries, ask, standing)
        except RefusedError as exc:
            if tries.refusal is not None:
                _log_given_up(request_id, GivenUp.NO_REPLICA, exc.refusal)
            return Failure(tries.refusal or exc.refusal)
        if standing is SuspectState.PROBE_ONLY and not await state.suspects.claim(
            admitted.fingerprint, replica.replica_id, TRIAL_MOST_S
        ):
            return Failure(tries.refusal or _held_back(state, admitted))
        now_s = time.time()
        guess_s = predicted_s(replica, replica.load(now_s), ask, Placement())
        sent = replica.send(ask, guess_s, now_s)
        suspected = standing is not SuspectState.CLEAR
        if suspected:
            state.suspects.sent(replica.replica_id)
        try:
            async with state.attempts_limit.bounded():
                result = await attempt(sent)
        except TimeIsUpError:
            state.suspects.release(admitted)
            return Failure(out_of_time())
        except BaseException:
            # The caller left, or the process ends: the trial showed nothing.
            state.suspects.release(admitted)
            raise
        finally:
            sent.ended(time.time())
            if suspected:
                state.suspects.over(replica.replica_id)
        _note_ending(state, admitted, replica.replica_id, result)
        match result:
            case Success(_):
                replica.succeeded()
                return result
            case Failure(refusal):
                replica.failed(time.time())
                _log_failed(request_id, replica.replica_id, refusal)
                tries.failed(sent, refusal)
                why = _given_up(state, work, refusal, tries)
                if why is not None:
                    _log_given_up(request_id, why, refusal)
                    return Failure(tries.refusal or refusal)
        await asyncio.sleep(backoff_s(max(tries.fruitless - 1, 0), state.rng))


def _place(
    state: EntryState,
    admitted: Admitted,
    tries: _Tries,
    ask: Ask,
    standing: SuspectState,
) -> ReplicaLoad:
    """A replica for the next attempt, apart from suspects where there is room.

    :raises RefusedError: if none has room.
    """
    apart = state.suspects.apart(standing, time.monotonic())
    if apart:
        try:
            return place(state, admitted.work, tries.ask(ask), tries.avoid | apart)
        except RefusedError:
            pass
    return place(state, admitted.work, tries.ask(ask), tries.avoid)


def _held_back(state: EntryState, admitted: Admitted) -> Refusal:
    return state.suspects.held_back(admitted.fingerprint, time.monotonic())


def _note_ending(
    state: EntryState,
    admitted: Admitted,
    replica: ReplicaId,
    result: Result[T, Refusal],
) -> None:
    """Hold against a request, or for it, how its attempt ended."""
    suspects = state.suspects
    match result:
        case Success(_):
            suspects.ended_well(admitted, time.monotonic())
        case Failure(refusal) if refusal.verdict is Verdict.MAY_HAVE_RUN:
            address = state.view.addresses[replica]
            model = admitted.work.model
            suspects.broke(admitted.fingerprint, replica, address, model)
        case Failure(_):
            suspects.release(admitted)


def _given_up(
    state: EntryState, work: WorkClass, refusal: Refusal, tries: _Tries
) -> GivenUp | None:
    """Why the attempt that failed is the last; takes the retry if it is not."""
    if tries.fruitless == ATTEMPTS:
        return GivenUp.ATTEMPTS
    if not may_retry(refusal, work.idempotent):
        return GivenUp.NOT_IDEMPOTENT
    # A begun answer cannot be refused any more, only cut, and a caller that
    # comes back for a cut one makes the engines do all of it again.
    if not tries.begun and not state.retries.take():
        return GivenUp.RETRY_BUDGET
    return None


def _log_failed(request_id: RequestId, replica: ReplicaId, refusal: Refusal) -> None:
    log_event(
        _log,
        Event.ATTEMPT_FAILED,
        request_id=request_id,
        endpoint=replica,
        reason=refusal.reason.value,
        verdict=refusal.verdict.value,
        detail=refusal.detail,
    )


def _log_given_up(request_id: RequestId, why: GivenUp, refusal: Refusal) -> None:
    log_event(
        _log,
        Event.REQUEST_GIVEN_UP,
        logging.WARNING,
        request_id=request_id,
        why=why.value,
        detail=refusal.detail,
    )
