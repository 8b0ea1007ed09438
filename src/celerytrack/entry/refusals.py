"""Turning refusals into HTTP answers."""

import logging

from aiohttp import web

from celerytrack.entry.metrics import EntryMetrics
from celerytrack.events import Event, log_event
from celerytrack.ids import RequestId
from celerytrack.verdict import Refusal

_log = logging.getLogger(__name__)


class RefusedError(Exception):
    """Raised inside a handler to answer with a :class:`Refusal`.

    :param work_class: the class named by the request, for metrics.
    """

    def __init__(self, refusal: Refusal, work_class: str = "?") -> None:
        super().__init__(refusal.reason.value)
        self.refusal = refusal
        self.work_class = work_class


def refusal_response(refusal: Refusal) -> web.Response:
    """The HTTP response for ``refusal``."""
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
    """Count, log and answer with ``refusal``.

    :param request_id: the request's, once it is admitted.
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
