"""The task that keeps this entry's view of the fleet: which entries and
replicas exist, which are leaving, and how loaded each replica is.

The instance list lags, so replicas' own load reports and cache events and
the entries' heartbeats are taken too; a replica marked leaving is taken out
of routing at once.
"""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs

from celerytrack.entry.peers import PeerNews
from celerytrack.events import Event, log_event
from celerytrack.ids import EntryId, ReplicaId, Zone
from celerytrack.replica_load import Load, ReplicaLoad

_log = logging.getLogger(__name__)


HEARD_WITHIN_S = 1.0
"""How old an entry's last heartbeat may be for it to count as running."""


@attrs.define
class EntryInfo:
    """Another entry (or this one) as the instance list shows it."""

    entry_id: EntryId
    address: str
    zone: Zone
    leaving: bool = False
    gone: bool = False
    draining: bool = False
    heard_at_s: float = float("-inf")
    """When its last heartbeat came (monotonic seconds)."""

    def runs(self, now_s: float) -> bool:
        """Whether a heartbeat of it came lately."""
        return now_s - self.heard_at_s <= HEARD_WITHIN_S

    def usable(self, now_s: float) -> bool:
        """Whether to name this entry to callers at ``now_s``."""
        return self.runs(now_s) and not self.leaving and not self.draining


class FleetView:
    """Follows the instance list and replicas' load reports.

    :param instances_address: ``host:port`` of the instance list.
    :param poll_s: how often to read both.
    :param on_entry: told the peer address of each entry first listed.
    """

    def __init__(
        self,
        instances_address: str,
        poll_s: float,
        on_entry: Callable[[str], None] = lambda address: None,
    ) -> None:
        self._on_entry = on_entry
        self._url = f"http://{instances_address}/instances"
        self._poll_s = poll_s
        self.replicas: dict[ReplicaId, ReplicaLoad] = {}
        self.addresses: dict[ReplicaId, str] = {}
        self.entries: dict[EntryId, EntryInfo] = {}
        self._listed = False
        self._cache_events_from: dict[ReplicaId, int] = {}
        self._session: aiohttp.ClientSession | None = None

    def is_gone(self, entry_id: EntryId, now_s: float) -> bool:
        """Whether the platform says ``entry_id`` no longer runs.

        An entry whose heartbeats come is not gone, whatever the list says.
        """
        info = self.entries.get(entry_id)
        if info is None:
            return self._listed
        return info.gone and not info.runs(now_s)

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
        self._mark_missing({item["id"] for item in data["instances"]})
        self._listed = True
        await asyncio.gather(*(self._poll_replica(r) for r in list(self.replicas)))

    async def run(self) -> None:
        """Refresh forever."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._poll_s)

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    def heard(self, news: PeerNews, now_s: float) -> None:
        """Take a peer's heartbeat.

        The instance list lags and shows a crashed entry live for a while;
        naming it to callers would send them to a dead address. Heartbeats
        tell which entries run now, and a draining one says so at once.
        """
        info = self.entries.get(news.entry)
        if info is not None:
            info.heard_at_s = now_s
            info.draining = news.draining
        wall_s = time.time()
        for replica_id, replica in self.replicas.items():
            replica.heard(news.entry, news.loads.get(replica_id, Load()), wall_s)

    def _mark_leaving(self, replica: ReplicaLoad) -> None:
        if not replica.leaving:
            replica.leaving = True
            log_event(_log, Event.REPLICA_LEAVING, replica=replica.replica_id)

    def _mark_missing(self, listed: set[str]) -> None:
        for entry_id, info in self.entries.items():
            if entry_id not in listed:
                info.gone = True
        for replica_id, replica in self.replicas.items():
            if replica_id not in listed:
                self._mark_leaving(replica)

    def _take(self, item: dict[str, Any]) -> None:
        leaving = item["state"] != "live"
        if item["role"] == "entry":
            entry_id = EntryId(item["id"])
            known_entry = self.entries.get(entry_id)
            if known_entry is None:
                known_entry = EntryInfo(entry_id, item["address"], Zone(item["zone"]))
                self.entries[entry_id] = known_entry
                self._on_entry(item["peer_address"])
            known_entry.leaving = leaving
            known_entry.gone = item["state"] == "gone"
            return
        replica_id = ReplicaId(item["id"])
        known = self.replicas.get(replica_id)
        if known is None:
            known = ReplicaLoad(replica_id, Zone(item["zone"]), item["model"])
            self.replicas[replica_id] = known
            self.addresses[replica_id] = item["address"]
            log_event(_log, Event.REPLICA_JOINED, replica=replica_id)
        if leaving:
            self._mark_leaving(known)
        else:
            known.leaving = False

    async def _poll_replica(self, replica_id: ReplicaId) -> None:
        load = self.replicas[replica_id]
        report = await self._get_json(self.addresses[replica_id], "/load")
        if report is None:
            # Dead or unreachable, though the list may show it live for a
            # while: no request has to find that out.
            load.failed(time.time())
            return
        load.capacity = int(report.get("capacity", load.capacity))
        load.cache.capacity_blocks = int(
            report.get("cache_blocks", load.cache.capacity_blocks)
        )
        running = int(report.get("running", 0)) + int(report.get("queued", 0))
        at_s = float(report.get("at_s", time.time()))
        load.report(Load(running, int(report.get("prefill_tokens", 0))), at_s)
        if "cache_blocks" in report:
            await self._poll_cache(replica_id)

    async def _poll_cache(self, replica_id: ReplicaId) -> None:
        start = self._cache_events_from.get(replica_id, 0)
        path = f"/cache_events?from={start}"
        answer = await self._get_json(self.addresses[replica_id], path)
        if answer is None:
            return
        # An event may come after the block was used again or evicted, or
        # never: the index only guides a choice, so a wrong entry costs one
        # prompt read again and ages out.
        cache = self.replicas[replica_id].cache
        stored = [block for kind, block in answer["events"] if kind == "stored"]
        cache.touch(stored)
        for kind, block in answer["events"]:
            if kind == "evicted":
                cache.drop(block)
        self._cache_events_from[replica_id] = int(answer["next"])

    async def _get_json(self, address: str, path: str) -> Any:
        """The JSON answer, or ``None`` if it did not come in time."""
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=self._poll_s)
        try:
            async with self._session.get(
                f"http://{address}{path}", timeout=timeout
            ) as resp:
                return await resp.json() if resp.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return None
