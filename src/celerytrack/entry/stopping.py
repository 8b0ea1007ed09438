"""How a planned stop spends the time that its supervisor gives it.

Each part of a stop ends at a moment that is set when the stop begins, so that what one
part takes longer is not added to the whole.
"""

import asyncio
import time
from collections.abc import Coroutine
from typing import Any

import attrs

from celerytrack.settings import EntryTuning

EXIT_S = 0.5
"""Left for the event loop and the interpreter to end."""
CONNECTIONS_S = 0.5
"""For closing the connections to the platform and the back ends."""
LISTENER_S = 1.0
"""For closing the listener, with answers on their way."""
LAST_WORDS_S = 0.5
"""For telling callers whose requests are given up."""


@attrs.frozen
class StopTimes:
    """When the parts of a planned stop are over, on the steady clock.

    :ivar began_s: the stop signal came.
    :ivar requests_until_s: requests in progress are given up.
    :ivar told_until_s: their callers were told.
    :ivar ledger_until_s: what the log has not taken is given up.
    :ivar listener_until_s: the listener is closed.
    :ivar connections_until_s: so are the connections.
    """

    began_s: float
    requests_until_s: float
    told_until_s: float
    ledger_until_s: float
    listener_until_s: float
    connections_until_s: float


def plan_stop(tuning: EntryTuning, now_s: float) -> StopTimes:
    """The times of a stop that begins now."""
    requests_until_s = now_s + tuning.drain_grace_s
    connections_until_s = now_s + tuning.stop_grace_s - EXIT_S
    listener_until_s = connections_until_s - CONNECTIONS_S
    return StopTimes(
        began_s=now_s,
        requests_until_s=requests_until_s,
        told_until_s=requests_until_s + LAST_WORDS_S,
        ledger_until_s=listener_until_s - LISTENER_S,
        listener_until_s=listener_until_s,
        connections_until_s=connections_until_s,
    )


async def finish_by(until_s: float, ending: Coroutine[Any, Any, None]) -> bool:
    """Run ``ending`` until then at most; whether it came to its end."""
    try:
        await asyncio.wait_for(ending, max(0.0, until_s - time.monotonic()))
    except TimeoutError:
        return False
    return True
