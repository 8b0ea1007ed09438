"""The one place that answers a request whose handling raised what isn't foreseen."""

import logging
from collections.abc import Awaitable, Callable

import attrs
from aiohttp import web

from celerytrack.entry.metrics import EntryMetrics
from celerytrack.events import Event, log_event
from celerytrack.faults import describe, place_of, refusal_of
from celerytrack.verdict import Refusal

_log = logging.getLogger(__name__)

RETRY_AFTER_S = 1.0
_PROGRESS = "progress"
_RESPONSE = "response"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@attrs.define(eq=False)
class Progress:
    """How far a request has come.

    :ivar may_have_run: whether a replica may have run it.
    """

    may_have_run: bool = False


def follow_progress(request: web.Request, progress: Progress) -> None:
    """Take the verdict on ``request`` from ``progress`` if its handling fails."""
    request[_PROGRESS] = progress


async def _note_response(request: web.Request, response: web.StreamResponse) -> None:
    request[_RESPONSE] = response


def answer_unforeseen(
    app: web.Application,
    metrics: EntryMetrics,
    answer: Callable[[Refusal], web.Response],
) -> None:
    """Give requests of ``app`` a verdict if their handling raises what isn't foreseen.

    An answer that has begun is aborted.

    :param answer: makes the response that carries a refusal.
    """

    @web.middleware
    async def guard(request: web.Request, handler: Handler) -> web.StreamResponse:
        try:
            return await handler(request)
        except web.HTTPException:
            raise
        except Exception as exc:
            begun: web.StreamResponse | None = request.get(_RESPONSE)
            if begun is not None and isinstance(exc, ConnectionError):
                # The caller has left.
                raise
            progress: Progress | None = request.get(_PROGRESS)
            may_run = progress is not None and progress.may_have_run
            refusal = refusal_of(exc, may_run, RETRY_AFTER_S)
            _record_fault(metrics, exc, refusal, begun is not None)
            if begun is None:
                return answer(refusal)
            if request.transport is not None:
                request.transport.close()
            return begun

    app.middlewares.append(guard)
    app.on_response_prepare.append(_note_response)


def _record_fault(
    metrics: EntryMetrics, exc: Exception, refusal: Refusal, begun: bool
) -> None:
    metrics.faults.inc()
    if not begun:
        metrics.refusals.labels(refusal.reason.value, refusal.verdict.value).inc()
    log_event(
        _log,
        Event.REQUEST_FAULTED,
        logging.ERROR,
        place=place_of(exc),
        verdict=refusal.verdict.value,
        begun=begun,
        detail=describe(exc),
    )
