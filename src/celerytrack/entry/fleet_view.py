"""The task that keeps this entry's view of the fleet: which entries and
replicas exist, which are leaving, and how loaded each replica is.

The instance list lags, so a replica's own load report and an entry's
refusal to take work are also read; a replica marked leaving is taken out of
routing at once.
"""

import asyncio
import logging
import time
from typing import Any

import aiohttp
import attrs

from celerytrack.events import Event, log_event
from celerytrack.ids import EntryId, ReplicaId, Zone
from celerytrack.routing import ReplicaLoad

_log = logging.getLogger(__name__)


@attrs.define
class EntryInfo:
    """Another entry (or this one) as the instance list shows it."""

    entry_id: EntryId
    address: str
    zone: Zone
    leaving: bool = False
    draining: bool = False
    answered_at_s: float = 0.0
    """When it last answered a health probe (monotonic seconds)."""

    def usable(self, now_s: float, within_s: float) -> bool:
        """Whether to name this entry to callers at ``now_s``."""
        recent = now_s - self.answered_at_s <= within_s
        return recent and not self.leaving and not self.draining


class FleetView:
    """Follows the instance list and replicas' load reports.

    :param instances_address: ``host:port`` of the instance list.
    :param poll_s: how often to read both.
    """

    def __init__(self, instances_address: str, poll_s: float) -> None:
        self._url = f"http://{instances_address}/instances"
        self._poll_s = poll_s
        self.replicas: dict[ReplicaId, ReplicaLoad] = {}
        self.addresses: dict[ReplicaId, str] = {}
        self.entries: dict[EntryId, EntryInfo] = {}
        self._session: aiohttp.ClientSession | None = None

    async def refresh(self) -> None:
        """Read the instance list and the replicas' loads once."""
        if self._session is None:
            self._session = aiohttp.ClientSession()
        try:
            timeout = aiohttp.ClientTimeout(total=self._poll_s * 2)
            async with self._session.get(self._url, timeout=timeout) as resp:
                data = await resp.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return
        for item in data["instances"]:
            self._take(item)
        await asyncio.gather(
            *(self._poll_load(r) for r in list(self.replicas)),
            *(self._probe(e) for e in list(self.entries.values())),
        )

    async def run(self) -> None:
        """Refresh forever."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._poll_s)

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    def mark_leaving(self, replica_id: ReplicaId) -> None:
        """Take a replica out of routing (it refused work as leaving)."""
        if replica_id in self.replicas and not self.replicas[replica_id].leaving:
            self.replicas[replica_id].leaving = True
            log_event(_log, Event.REPLICA_LEAVING, replica=replica_id)

    def _take(self, item: dict[str, Any]) -> None:
        leaving = item["state"] != "live"
        if item["role"] == "entry":
            entry_id = EntryId(item["id"])
            known_entry = self.entries.get(entry_id)
            if known_entry is None:
                known_entry = EntryInfo(entry_id, item["address"], Zone(item["zone"]))
                self.entries[entry_id] = known_entry
            known_entry.leaving = leaving
            return
        replica_id = ReplicaId(item["id"])
        known = self.replicas.get(replica_id)
        if known is None:
            known = ReplicaLoad(replica_id, Zone(item["zone"]), item["model"])
            self.replicas[replica_id] = known
            self.addresses[replica_id] = item["address"]
            log_event(_log, Event.REPLICA_JOINED, replica=replica_id)
        if leaving and not known.leaving:
            self.mark_leaving(replica_id)
        elif not leaving:
            known.leaving = False

    async def _probe(self, info: EntryInfo) -> None:
        # The instance list lags and shows a crashed entry live for a while;
        # naming it to callers would send them to a dead address. A health
        # probe each round tells which entries answer now.
        assert self._session is not None
        try:
            timeout = aiohttp.ClientTimeout(total=self._poll_s)
            async with self._session.get(
                f"http://{info.address}/healthz", timeout=timeout
            ) as resp:
                health = await resp.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return
        info.answered_at_s = time.monotonic()
        info.draining = bool(health.get("draining"))

    async def _poll_load(self, replica_id: ReplicaId) -> None:
        assert self._session is not None
        url = f"http://{self.addresses[replica_id]}/load"
        try:
            timeout = aiohttp.ClientTimeout(total=self._poll_s)
            async with self._session.get(url, timeout=timeout) as resp:
                report = await resp.json()
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return
        load = self.replicas[replica_id]
        if "capacity" in report:
            load.capacity = int(report["capacity"])
        running = int(report.get("running", 0)) + int(report.get("queued", 0))
        load.report(running, float(report.get("at_s", time.time())))
