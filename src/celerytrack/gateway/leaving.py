"""The parts of an entry's planned stop, in order."""

import asyncio
import logging
import time
from collections.abc import Callable

from celerytrack.events import Event, log_event
from celerytrack.gateway.listeners import Listeners
from celerytrack.gateway.state import Gateway
from celerytrack.planned_stop import PlannedStop

_log = logging.getLogger(__name__)

LAST_ROW_MOST_S = 1.0
"""Longest wait for the row that gives the unspent tokens back: a slow store takes it
within that; one that is away is not waited for."""
LOGGED_MOST = 20
"""Requests in progress that one log line names."""
TOLD_TIMES = 3
"""How often the other entries are told directly: datagrams are lost."""
TELL_AGAIN_S = 0.1
ANSWERED_WITHIN_S = 0.2
"""How long requests that an unplanned end ends may take to be answered."""
LOOK_S = 0.02
"""How often a planned stop looks whether what it waits for is over."""


async def leave(gateway: Gateway, stop: PlannedStop, listeners: Listeners) -> None:
    """Send the callers elsewhere, and see the requests in progress to their end."""
    log_event(_log, Event.PROCESS_STOPPING, in_flight=gateway.in_flight)
    for exchange in gateway.exchanges:
        exchange.end_by(stop.drain_deadline_s)
    gateway.keeper.leave()
    for _ in range(TOLD_TIMES):
        gateway.tell_leaving()
        await asyncio.sleep(TELL_AGAIN_S)
    await asyncio.sleep(stop.accepts_until_s - time.monotonic())
    log_stage(gateway, stop, listeners, "callers gone")
    await _until(lambda: not gateway.in_flight, stop.close_deadline_s)
    gateway.closing = True
    log_stage(gateway, stop, listeners, "requests over")
    last_row_s = min(stop.close_deadline_s, time.monotonic() + LAST_ROW_MOST_S)
    await gateway.keeper.publish_last(last_row_s)
    log_stage(gateway, stop, listeners, "last row")
    await _until(lambda: not listeners.unsent_bytes(), stop.close_deadline_s)
    log_stage(gateway, stop, listeners, "answers sent")


async def end_now(gateway: Gateway, now_s: float) -> None:
    """End the requests in progress, each with an answer, and take nothing more: a
    process that was fenced may not serve on."""
    gateway.stop = PlannedStop(now_s, 0.0)
    gateway.closing = True
    for exchange in gateway.exchanges:
        exchange.end_by(now_s)
    await _until(lambda: not gateway.in_flight, now_s + ANSWERED_WITHIN_S)


def log_stage(
    gateway: Gateway, stop: PlannedStop, listeners: Listeners, stage: str
) -> None:
    """Say how far a planned stop is, and which requests it still waits for."""
    log_event(
        _log,
        Event.STOP_STAGE,
        stage=stage,
        after_ms=round((time.monotonic() - stop.began_s) * 1_000),
        in_flight=gateway.in_flight,
        unsent_bytes=listeners.unsent_bytes(),
        requests=[e.facts.request_id for e in gateway.exchanges][:LOGGED_MOST],
    )


async def _until(holds: Callable[[], bool], ends_s: float) -> None:
    """Wait until ``holds``, but no longer than ``ends_s`` on the steady clock."""
    while not holds():
        left_s = ends_s - time.monotonic()
        if left_s <= 0:
            return
        await asyncio.sleep(min(LOOK_S, left_s))
