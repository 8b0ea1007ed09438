"""The one place that answers a request whose handling raised what isn't foreseen."""

import logging

import attrs
from aiohttp import web

from celerytrack.events import Event, log_event
from celerytrack.faults import describe, place_of, refusal_of
from celerytrack.gateway.admission import RETRY_ELSEWHERE_AFTER_S
from celerytrack.gateway.exchange import Exchange
from celerytrack.gateway.outcomes import abort_connection, count_outcome
from celerytrack.gateway.refusals import refusal_response
from celerytrack.gateway.state import Gateway
from celerytrack.verdict import Refusal

_log = logging.getLogger(__name__)


@attrs.define
class Progress:
    """How far a request has come.

    :ivar exchange: ``None`` until it is admitted: nothing was sent by then.
    """

    exchange: Exchange | None = None


def answer_unforeseen(
    gateway: Gateway, progress: Progress, exc: Exception
) -> web.StreamResponse:
    """Answer with the verdict; a stream that has begun is aborted."""
    refusal = record_fault(gateway, progress, exc)
    exchange = progress.exchange
    if exchange is not None and exchange.response is not None:
        count_outcome(gateway, exchange, "cut")
        abort_connection(exchange)
        return exchange.response
    count_outcome(gateway, exchange, refusal.reason.value)
    return refusal_response(refusal, gateway.leaving)


def record_fault(gateway: Gateway, progress: Progress, exc: Exception) -> Refusal:
    """Count the exception and log it in one line; returns the request's refusal."""
    exchange = progress.exchange
    may_run = exchange is not None and exchange.may_have_run
    refusal = refusal_of(exc, may_run, RETRY_ELSEWHERE_AFTER_S)
    gateway.telemetry.faults.inc()
    log_event(
        _log,
        Event.REQUEST_FAULTED,
        logging.ERROR,
        request_id=exchange.facts.request_id if exchange else None,
        place=place_of(exc),
        verdict=refusal.verdict.value,
        begun=exchange is not None and exchange.response is not None,
        tried=exchange.tried if exchange else [],
        detail=describe(exc),
    )
    return refusal
