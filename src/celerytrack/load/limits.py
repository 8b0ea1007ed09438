"""Rate limits that the load tool has the replica stand-ins name, and their check."""

import asyncio
from typing import Any

import aiohttp
import attrs

from celerytrack.settings import FleetSettings, ReplicaSpec
from celerytrack.standins.limits import allowed_requests


@attrs.frozen
class LimitCheck:
    """What arrived at a replica that named a limit.

    :ivar worst_window: most requests in any window since the limit had to be kept.
    :ivar allowed: most that may arrive.
    """

    replica_id: str
    limit_per_s: float
    worst_window: int
    allowed: float

    @property
    def is_kept(self) -> bool:
        """Whether the limit was kept."""
        return self.worst_window <= self.allowed


async def name_limits(fleet: FleetSettings, limit_per_s: float | None) -> None:
    """Have each replica name a limit; ``None`` ends it."""
    async with aiohttp.ClientSession() as http:
        await asyncio.gather(
            *(_name_limit(http, spec, limit_per_s) for spec in fleet.replicas)
        )


async def _name_limit(
    http: aiohttp.ClientSession, spec: ReplicaSpec, limit_per_s: float | None
) -> None:
    url = f"http://{spec.address}/_faults"
    async with http.post(url, json={"limit_per_s": limit_per_s}) as answer:
        answer.raise_for_status()


async def check_limits(fleet: FleetSettings) -> list[LimitCheck]:
    """Read what arrived at the replicas that name a limit."""
    async with aiohttp.ClientSession() as http:
        stats = await asyncio.gather(*(_limit_stats(http, s) for s in fleet.replicas))
    checks = []
    for spec, found in zip(fleet.replicas, stats, strict=True):
        limit_per_s = found.get("limit_per_s")
        if limit_per_s is not None:
            worst, allowed = found["worst_window"], allowed_requests(limit_per_s)
            checks.append(LimitCheck(spec.replica_id, limit_per_s, worst, allowed))
    return checks


async def _limit_stats(
    http: aiohttp.ClientSession, spec: ReplicaSpec
) -> dict[str, Any]:
    try:
        async with http.get(f"http://{spec.address}/_stats") as answer:
            return dict((await answer.json())["limit"])
    except aiohttp.ClientError:
        return {}
