"""What the load tool has the replica stand-ins say of themselves, and its check."""

import asyncio
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs

from celerytrack.settings import BackendKind, FleetSettings, ReplicaSpec
from celerytrack.standins.limits import allowed_requests
from celerytrack.standins.notices import MAX_DURING_BACKOFF


@attrs.frozen
class Said:
    """What replicas are to say of themselves.

    :ivar limit_per_s: rate limit; ``None`` for none.
    :ivar leaving: whether they leave.
    :ivar backoff_s: backoff that rejections ask for; ``None`` for no rejections.
    :ivar rejects_share: share of the requests that are rejected.
    :ivar bears_per_s: rejections a second that they bear; ``None`` if they are not
        brittle.
    :ivar room: requests that a brittle plain service takes at once.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    backoff_s: float | None = None
    rejects_share: float = 0.0
    bears_per_s: float | None = None
    room: int | None = None


@attrs.frozen
class BrittleCheck:
    """What a brittle replica had to turn away.

    :ivar worst: most rejections in any second.
    """

    replica_id: str
    bears_per_s: float
    worst: int

    @property
    def is_kept(self) -> bool:
        """Whether it bore them."""
        return self.worst <= self.bears_per_s


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


@attrs.frozen
class NoticeCheck:
    """What arrived at a replica that left or asked for backoffs.

    :ivar late: requests of entries that had been told long enough that it leaves.
    :ivar worst_backoff: most requests of one entry in the rest of a backoff.
    """

    replica_id: str
    late: int
    worst_backoff: int

    @property
    def is_kept(self) -> bool:
        """Whether nothing arrived that should not."""
        return self.late == 0 and self.worst_backoff <= MAX_DURING_BACKOFF


async def say(
    fleet: FleetSettings, said: Said, replica_ids: frozenset[str] | None = None
) -> None:
    """Have replicas say something of themselves.

    :param replica_ids: which ones; ``None`` for all.
    """
    specs = [
        spec
        for spec in fleet.replicas
        if replica_ids is None or spec.replica_id in replica_ids
    ]
    async with aiohttp.ClientSession() as http:
        await asyncio.gather(*(_say(http, spec, said) for spec in specs))


async def _say(http: aiohttp.ClientSession, spec: ReplicaSpec, said: Said) -> None:
    knobs = {
        "limit_per_s": said.limit_per_s,
        "says_leaving": said.leaving,
        "backoff_s": said.backoff_s,
        "rejects_share": said.rejects_share,
        "bears_per_s": said.bears_per_s,
        "room": said.room,
    }
    async with http.post(f"http://{spec.address}/_faults", json=knobs) as answer:
        answer.raise_for_status()


async def set_versions(
    fleet: FleetSettings, versions: Sequence[str], cut_share: float
) -> None:
    """Have engines state software versions, by turns, and break some answers off.

    :param versions: none for no version.
    :param cut_share: share of the answers that break off.
    """
    engines = [s for s in fleet.replicas if s.kind is BackendKind.ENGINE]
    async with aiohttp.ClientSession() as http:
        for number, spec in enumerate(engines):
            version = versions[number % len(versions)] if versions else ""
            knobs = {"version": version, "cut_share": cut_share}
            url = f"http://{spec.address}/_faults"
            async with http.post(url, json=knobs) as answer:
                answer.raise_for_status()


async def check_limits(fleet: FleetSettings) -> list[LimitCheck]:
    """Read what arrived at the replicas that name a limit."""
    checks = []
    for spec, stats in await _read_stats(fleet):
        found = stats.get("limit", {})
        limit_per_s = found.get("limit_per_s")
        if limit_per_s is not None:
            worst, allowed = found["worst_window"], allowed_requests(limit_per_s)
            checks.append(LimitCheck(spec.replica_id, limit_per_s, worst, allowed))
    return checks


async def check_brittle(fleet: FleetSettings) -> list[BrittleCheck]:
    """Read what the replicas that are brittle had to turn away."""
    checks = []
    for spec, stats in await _read_stats(fleet):
        found = stats.get("brittle", {})
        if found.get("bears_per_s") is not None:
            check = BrittleCheck(spec.replica_id, found["bears_per_s"], found["worst"])
            checks.append(check)
    return checks


async def check_notices(fleet: FleetSettings) -> list[NoticeCheck]:
    """Read what arrived at the replicas that leave or ask for backoffs."""
    checks = []
    for spec, stats in await _read_stats(fleet):
        found = stats.get("notices", {})
        if found.get("says_leaving") or found.get("backoff_s") is not None:
            check = NoticeCheck(spec.replica_id, found["late"], found["worst_backoff"])
            checks.append(check)
    return checks


async def _read_stats(
    fleet: FleetSettings,
) -> list[tuple[ReplicaSpec, dict[str, Any]]]:
    async with aiohttp.ClientSession() as http:
        stats = await asyncio.gather(*(_stats(http, spec) for spec in fleet.replicas))
    return list(zip(fleet.replicas, stats, strict=True))


async def _stats(http: aiohttp.ClientSession, spec: ReplicaSpec) -> dict[str, Any]:
    try:
        async with http.get(f"http://{spec.address}/_stats") as answer:
            return dict(await answer.json())
    except aiohttp.ClientError:
        return {}
