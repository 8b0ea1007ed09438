"""Schedule of a planned stop within the grace time of the process supervisor.

Each stage of a stop has a deadline that is fixed when the stop begins, so that a slow
stage does not make the whole stop longer.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

import attrs

from celerytrack.settings import EntryTuning

EXIT_S = 0.5
"""Time to end the event loop and the interpreter."""
CONNECTIONS_S = 0.5
"""Time to close the connections to the platform and the replicas."""
LISTENER_S = 1.0
"""Time to close the listener while answers are still being sent."""
FINAL_ANSWERS_S = 0.5
"""Time to answer the callers of requests that are aborted."""


@attrs.frozen
class StopTimes:
    """The deadlines of the stages of a planned stop, on the monotonic clock.

    :ivar began_s: when the stop signal came.
    :ivar requests_until_s: requests in progress are aborted.
    :ivar answers_until_s: their callers have been answered.
    :ivar ledger_until_s: records that the log has not accepted are dropped.
    :ivar listener_until_s: the listener is closed.
    :ivar connections_until_s: the connections are closed.
    """

    began_s: float
    requests_until_s: float
    answers_until_s: float
    ledger_until_s: float
    listener_until_s: float
    connections_until_s: float


def plan_stop(tuning: EntryTuning, now_s: float) -> StopTimes:
    """The schedule of a stop that begins at ``now_s``."""
    requests_until_s = now_s + tuning.drain_grace_s
    connections_until_s = now_s + tuning.stop_grace_s - EXIT_S
    listener_until_s = connections_until_s - CONNECTIONS_S
    return StopTimes(
        began_s=now_s,
        requests_until_s=requests_until_s,
        answers_until_s=requests_until_s + FINAL_ANSWERS_S,
        ledger_until_s=listener_until_s - LISTENER_S,
        listener_until_s=listener_until_s,
        connections_until_s=connections_until_s,
    )


async def finish_by(until_s: float, work: Coroutine[Any, Any, None]) -> bool:
    """Run ``work`` until ``until_s`` at most; returns whether it finished."""
    try:
        await asyncio.wait_for(work, max(0.0, until_s - time.monotonic()))
    except TimeoutError:
        return False
    return True
