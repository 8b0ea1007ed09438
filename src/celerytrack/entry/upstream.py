"""Sending one request to back ends: what a failed attempt proves, and when
another replica is tried."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
from returns.result import Failure, Result, Success

from celerytrack.entry.admission import place
from celerytrack.entry.refusals import RefusedError
from celerytrack.entry.state import EntryState
from celerytrack.entry.time_limit import TimeIsUpError
from celerytrack.ids import ReplicaId
from celerytrack.replica_load import Ask, Attempt
from celerytrack.retries import backoff_s, may_retry
from celerytrack.routing import Placement, predicted_s
from celerytrack.settings import WorkClass
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run, may_have_run

T = TypeVar("T")

ATTEMPTS = 3
"""Replicas tried for one request before it is given up."""
NEVER_CONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors raised before a connection was made: the back end saw nothing."""
CONNECTION_FAILED = (aiohttp.ClientError, TimeoutError, ConnectionError)
"""Errors of a connection that existed: the request may have been read."""
_NOT_RUN_STATUSES = frozenset({400, 404, 408, 421, 429, 503})
"""Statuses by which a back end promises that it did not run the request."""


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


async def try_replicas(
    state: EntryState,
    work: WorkClass,
    ask: Ask,
    attempt: Callable[[Attempt], Awaitable[Result[T, Refusal]]],
) -> Result[T, Refusal]:
    """Make ``attempt`` on one replica after another until one succeeds.

    :returns: the first success, or why the request was given up. Once an
        attempt may have run, that stands, however the later ones end.
    """
    state.retries.request()
    tried: frozenset[ReplicaId] = frozenset()
    verdict: Refusal | None = None
    for number in range(ATTEMPTS):
        if state.attempts_limit.is_over(time.monotonic()):
            return Failure(verdict or not_begun())
        try:
            replica = place(state, work, ask, tried)
        except RefusedError as exc:
            return Failure(verdict or exc.refusal)
        now_s = time.time()
        guess_s = predicted_s(replica, replica.load(now_s), ask, Placement())
        sent = replica.send(ask, guess_s, now_s)
        try:
            async with state.attempts_limit.bounded():
                result = await attempt(sent)
        except TimeIsUpError:
            return Failure(out_of_time())
        finally:
            sent.ended(time.time())
        match result:
            case Success(_):
                replica.succeeded()
                return result
            case Failure(refusal):
                replica.failed(time.time())
                if verdict is None or refusal.verdict is Verdict.MAY_HAVE_RUN:
                    verdict = refusal
                given_up = (
                    number == ATTEMPTS - 1
                    or not may_retry(refusal, work.idempotent)
                    or not state.retries.take()
                )
                if given_up:
                    return Failure(verdict)
        tried |= {replica.replica_id}
        await asyncio.sleep(backoff_s(number, state.rng))
    raise AssertionError("the last attempt returns")
