"""The steady clock as the event loop counts it."""

import asyncio
import time


def loop_time(monotonic_s: float) -> float:
    """A time of the steady clock as the running event loop counts it."""
    loop = asyncio.get_running_loop()
    return loop.time() + monotonic_s - time.monotonic()
