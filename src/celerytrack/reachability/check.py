"""Checks by connections whether any of several endpoints can be reached."""

import asyncio
import random
from collections.abc import Collection, Sequence

import attrs

from celerytrack.ids import EndpointId
from celerytrack.process_end import ConnectResult, probe_address
from celerytrack.reachability.links import MAX_CHECK_S

FIRST_CONNECTIONS = 1
MORE_CONNECTIONS = 3
"""Connections of a check, at once and after :data:`MORE_AFTER_S`: with endpoints that
fail by themselves among them, one is still likely to accept."""
MORE_AFTER_S = 0.05


@attrs.frozen
class CheckTarget:
    """An endpoint to which a check may connect."""

    endpoint_id: EndpointId
    address: str


def choose_targets(
    endpoints: Sequence[CheckTarget],
    failed: Collection[EndpointId],
    rng: random.Random,
) -> list[CheckTarget]:
    """The endpoints for one check, best first: those that have not failed."""
    shuffled = rng.sample(endpoints, len(endpoints))
    shuffled.sort(key=lambda target: target.endpoint_id in failed)
    return shuffled[: FIRST_CONNECTIONS + MORE_CONNECTIONS]


async def is_any_reached(targets: Sequence[CheckTarget]) -> bool:
    """Whether one of ``targets`` accepts a connection within :data:`MAX_CHECK_S`."""
    first = [_accepts(t, 0.0) for t in targets[:FIRST_CONNECTIONS]]
    more = [_accepts(t, MORE_AFTER_S) for t in targets[FIRST_CONNECTIONS:]]
    tasks = [asyncio.create_task(probe) for probe in (*first, *more)]
    try:
        for next_done in asyncio.as_completed(tasks, timeout=MAX_CHECK_S):
            if await next_done:
                return True
    except TimeoutError:
        return False
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return False


async def _accepts(target: CheckTarget, after_s: float) -> bool:
    await asyncio.sleep(after_s)
    return await probe_address(target.address) is ConnectResult.ACCEPTED
