"""Conversion from the monotonic clock to the event loop's clock."""

import asyncio
import time


def loop_time(monotonic_s: float) -> float:
    """Convert a monotonic time to the clock of the running event loop."""
    loop = asyncio.get_running_loop()
    return loop.time() + monotonic_s - time.monotonic()
