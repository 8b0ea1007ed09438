"""Rate limits that endpoints name in their answers."""

import logging
import time

from celerytrack.endpoint import Dispatch
from celerytrack.endpoint_limits import LimitChange
from celerytrack.events import Event, log_event
from celerytrack.gateway.state import Gateway
from celerytrack.platform.http import AnswerFacts, LimitError, decode_limit

_log = logging.getLogger(__name__)


def record_limit(gateway: Gateway, dispatch: Dispatch, facts: AnswerFacts) -> None:
    """Record the limit that an answer names, or that it names none.

    Only answers that are certainly the endpoint's own count.
    """
    if facts.limit is None and not gateway.limits:
        return
    if facts.wrong_endpoint or facts.request_id is None:
        return
    if facts.limit is not None and (facts.sealed or facts.did_not_run):
        _record_named(gateway, dispatch, facts.limit)
    elif facts.limit is None and facts.sealed:
        registration = dispatch.endpoint.registration
        change = gateway.limits.record_absent(
            registration.endpoint_id, registration.born_ms, dispatch.sent_at_s
        )
        if change is not None:
            _log_change(change)


def _record_named(gateway: Gateway, dispatch: Dispatch, text: str) -> None:
    registration = dispatch.endpoint.registration
    try:
        limit_per_s = decode_limit(text)
    except LimitError as exc:
        log_event(
            _log,
            Event.LIMIT_UNREADABLE,
            logging.WARNING,
            endpoint=registration.endpoint_id,
            detail=str(exc),
        )
        return
    change = gateway.limits.record_named(
        registration.endpoint_id,
        registration.born_ms,
        limit_per_s,
        dispatch.sent_at_s,
        time.monotonic(),
    )
    if change is not None:
        _log_change(change)


def _log_change(change: LimitChange) -> None:
    event = Event.LIMIT_CHANGED
    if change.old_per_s is None:
        event = Event.LIMIT_BEGAN
    elif change.new_per_s is None:
        event = Event.LIMIT_ENDED
    log_event(
        _log,
        event,
        endpoint=change.endpoint_id,
        limit_per_s=change.new_per_s,
        old_per_s=change.old_per_s,
    )
