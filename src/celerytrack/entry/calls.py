"""How one attempt reaches a replica: from here, or through another entry."""

import logging
import time
from collections.abc import Awaitable, Callable
from typing import Any

import aiohttp

from celerytrack.entry.identified_answers import REQUEST_ID_HEADER, is_own_answer
from celerytrack.entry.state import EntryState
from celerytrack.events import Event, log_event
from celerytrack.http_session import WithheldError
from celerytrack.ids import RequestId, ServiceName
from celerytrack.routing.replica_load import ReplicaLoad
from celerytrack.verdict import Reason, Refusal, did_not_run, may_have_run

_log = logging.getLogger(__name__)

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors raised before a connection was made: the replica received nothing."""
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, ConnectionError)
"""Errors of an established connection: the replica may have read the request."""

Post = Callable[[str, Any], Awaitable[aiohttp.ClientResponse]]
"""Posts a JSON body to a path of the replica of an attempt.

It raises :class:`CallFailedError` if there is no answer of the replica.
"""


class CallFailedError(Exception):
    """There is no answer of a replica."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.detail)
        self.refusal = refusal


def replica_unreachable() -> Refusal:
    """The refusal if no connection to the replica could be made."""
    return did_not_run(Reason.UPSTREAM_FAILED, 1.0, "back end unreachable")


def replica_withheld() -> Refusal:
    """The refusal if the replica said, before the request was sent, that it wants
    none."""
    return did_not_run(Reason.BACKING_OFF, 0.0, "back end wants no requests")


def replica_failed() -> Refusal:
    """The refusal if the connection failed after the replica may have read the
    request."""
    return may_have_run(Reason.UPSTREAM_FAILED, 1.0, "back end failed")


def direct_post(state: EntryState, replica: ReplicaLoad, request_id: RequestId) -> Post:
    """Post to a replica from this entry."""
    service = ServiceName(replica.model)

    async def post(path: str, body: Any) -> aiohttp.ClientResponse:
        url = f"http://{state.view.addresses[replica.replica_id]}{path}"
        sent_at_s = time.monotonic()
        try:
            answer = await state.upstream.post(
                url, json=body, headers={REQUEST_ID_HEADER: request_id}
            )
        except WithheldError:
            raise CallFailedError(replica_withheld()) from None
        except CONNECT_ERRORS:
            state.record_unreached(replica, sent=False)
            raise CallFailedError(replica_unreachable()) from None
        except CONNECTION_ERRORS:
            state.record_unreached(replica, sent=True)
            raise CallFailedError(replica_failed()) from None
        state.reach.record_heard(service, time.monotonic())
        if not is_own_answer(answer):
            answer.close()
            _log_not_own(answer, replica, request_id)
            raise CallFailedError(replica_failed())
        state.notices.record_answer(replica, answer, sent_at_s, request_id)
        return answer

    return post


def _log_not_own(
    answer: aiohttp.ClientResponse, replica: ReplicaLoad, request_id: RequestId
) -> None:
    log_event(
        _log,
        Event.ANSWER_NOT_OWN,
        logging.WARNING,
        request_id=request_id,
        endpoint=replica.replica_id,
        status=answer.status,
        answers=answer.headers.get(REQUEST_ID_HEADER),
    )
