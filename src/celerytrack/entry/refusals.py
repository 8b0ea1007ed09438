"""HTTP responses for refusals."""

import logging

from aiohttp import web

from celerytrack.entry.metrics import EntryMetrics
from celerytrack.events import Event, log_event
from celerytrack.ids import RequestId
from celerytrack.verdict import Refusal

_log = logging.getLogger(__name__)


class RefusedError(Exception):
    """Raised in a handler to answer with a :class:`Refusal`.

    :param work_class: the request's class of work, for metrics.
    """

    def __init__(self, refusal: Refusal, work_class: str = "?") -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal
        self.work_class = work_class


def refusal_response(refusal: Refusal) -> web.Response:
    headers = {}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(refusal.retry_after_s)))
    return web.json_response(
        refusal.to_json(), status=refusal.http_status, headers=headers
    )


def refuse(
    metrics: EntryMetrics,
    work_class: str,
    refusal: Refusal,
    request_id: RequestId | None = None,
) -> web.Response:
    """Count and log ``refusal``, and return its HTTP response.

    :param request_id: ``None`` before the request is admitted.
    """
    metrics.refusals.labels(refusal.reason.value, refusal.verdict.value).inc()
    metrics.requests.labels(work_class, "refused").inc()
    log_event(
        _log,
        Event.REQUEST_REFUSED,
        request_id=request_id,
        work_class=work_class,
        reason=refusal.reason.value,
        verdict=refusal.verdict.value,
        detail=refusal.detail,
    )
    return refusal_response(refusal)
