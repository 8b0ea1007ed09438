"""Waits for a read of the registrations where the last one is too old."""

import asyncio
import time

from celerytrack.gateway.state import Gateway

READ_WITHIN_S = 0.3
"""Longest that a request waits for a read, which usually takes some milliseconds."""


async def current_view_s(gateway: Gateway) -> float:
    """Have the registrations read if what is known is too old, as after the process
    stood still.

    On a link that is too slow the next read would come no sooner: nothing is awaited.

    :returns: the time now.
    """
    until_s = time.monotonic() + READ_WITHIN_S
    while True:
        now_s = time.monotonic()
        is_soon = gateway.endpoints_read_time_s < READ_WITHIN_S and now_s < until_s
        if not is_soon or not gateway.is_endpoint_view_stale(now_s):
            return now_s
        gateway.read_endpoints_now()
        gateway.endpoints_read.clear()
        try:
            async with asyncio.timeout(until_s - now_s):
                await gateway.endpoints_read.wait()
        except TimeoutError:
            continue
