"""The stages of an entry's planned stop."""

import asyncio
import logging
import time
from collections.abc import Callable

from celerytrack.events import Event, log_event
from celerytrack.gateway.listeners import Listeners
from celerytrack.gateway.state import Gateway
from celerytrack.planned_stop import PlannedStop

_log = logging.getLogger(__name__)

LAST_ROW_TIMEOUT_S = 1.0
"""Longest wait for the row that returns the unspent tokens. A slow store accepts it
within this time; an unreachable store is not waited for."""
MAX_LOGGED_REQUESTS = 20
"""Requests in progress that are named in one log line."""
LEAVING_MESSAGE_COUNT = 3
"""How many times the other entries are notified directly, since datagrams may be
lost."""
LEAVING_MESSAGE_INTERVAL_S = 0.1
ABORT_ANSWER_TIMEOUT_S = 0.2
"""Time to answer the requests that an unplanned stop aborts."""
POLL_INTERVAL_S = 0.02
"""Interval at which a planned stop checks the condition that it waits for."""


async def drain(gateway: Gateway, stop: PlannedStop, listeners: Listeners) -> None:
    """Drain the entry: redirect callers, then wait for the requests in progress."""
    log_event(_log, Event.PROCESS_STOPPING, in_flight=gateway.in_flight)
    for exchange in gateway.exchanges:
        exchange.shorten_deadline(stop.drain_deadline_s)
    gateway.share_sync.publish_leaving()
    for _ in range(LEAVING_MESSAGE_COUNT):
        gateway.announce_leaving()
        await asyncio.sleep(LEAVING_MESSAGE_INTERVAL_S)
    await asyncio.sleep(stop.accepts_until_s - time.monotonic())
    log_stage(gateway, stop, listeners, "callers gone")
    await _wait_until(lambda: not gateway.in_flight, stop.close_deadline_s)
    gateway.closing = True
    log_stage(gateway, stop, listeners, "requests over")
    last_row_timeout_at_s = min(
        stop.close_deadline_s, time.monotonic() + LAST_ROW_TIMEOUT_S
    )
    await gateway.share_sync.publish_final_row(last_row_timeout_at_s)
    log_stage(gateway, stop, listeners, "last row")
    await _wait_until(lambda: not listeners.unsent_bytes(), stop.close_deadline_s)
    log_stage(gateway, stop, listeners, "answers sent")


async def abort_requests(gateway: Gateway, now_s: float) -> None:
    """Abort the requests in progress, each with an answer, and admit no more.

    A fenced process must not continue to serve.
    """
    gateway.stop = PlannedStop(now_s, 0.0)
    gateway.closing = True
    for exchange in gateway.exchanges:
        exchange.shorten_deadline(now_s)
    await _wait_until(lambda: not gateway.in_flight, now_s + ABORT_ANSWER_TIMEOUT_S)


def log_stage(
    gateway: Gateway, stop: PlannedStop, listeners: Listeners, stage: str
) -> None:
    """Log the stage of a planned stop and the requests that it still waits for."""
    log_event(
        _log,
        Event.STOP_STAGE,
        stage=stage,
        after_ms=round((time.monotonic() - stop.began_s) * 1_000),
        in_flight=gateway.in_flight,
        unsent_bytes=listeners.unsent_bytes(),
        requests=[e.facts.request_id for e in gateway.exchanges][:MAX_LOGGED_REQUESTS],
    )


async def _wait_until(condition: Callable[[], bool], timeout_at_s: float) -> None:
    """Wait for ``condition``, at most until ``timeout_at_s`` on the monotonic clock."""
    while not condition():
        left_s = timeout_at_s - time.monotonic()
        if left_s <= 0:
            return
        await asyncio.sleep(min(POLL_INTERVAL_S, left_s))
