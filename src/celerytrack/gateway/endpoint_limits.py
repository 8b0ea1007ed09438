"""Rate limits that endpoints name in their answers."""

import logging
import time

from celerytrack.endpoint import Dispatch
from celerytrack.events import Event, log_event
from celerytrack.gateway.state import Gateway
from celerytrack.platform.http import AnswerFacts, LimitError, decode_limit

_log = logging.getLogger(__name__)


def record_limit(gateway: Gateway, dispatch: Dispatch, facts: AnswerFacts) -> None:
    """Record the limit that an answer names, or that it names none.

    Only answers that are certainly the endpoint's own count.
    """
    if facts.limit is None and not gateway.limit_sync.tracker:
        return
    if facts.wrong_endpoint or facts.request_id is None:
        return
    if facts.limit is None:
        if facts.sealed:
            _record(gateway, dispatch, None)
    elif facts.sealed or facts.did_not_run:
        _record_named(gateway, dispatch, facts.limit)


def _record_named(gateway: Gateway, dispatch: Dispatch, text: str) -> None:
    try:
        limit_per_s = decode_limit(text)
    except LimitError as exc:
        log_event(
            _log,
            Event.LIMIT_UNREADABLE,
            logging.WARNING,
            endpoint=dispatch.endpoint.endpoint_id,
            detail=str(exc),
        )
        return
    _record(gateway, dispatch, limit_per_s)


def _record(gateway: Gateway, dispatch: Dispatch, limit_per_s: float | None) -> None:
    registration = dispatch.endpoint.registration
    gateway.limit_sync.record_answer(
        registration.endpoint_id,
        registration.born_ms,
        limit_per_s,
        dispatch.sent_at_s,
        time.monotonic(),
    )
