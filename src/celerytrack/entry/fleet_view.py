"""The task that maintains this entry's view of the fleet: which entries and replicas
exist, which are leaving, and the load of each replica.

The instance list lags, so the replicas' own load reports and cache events and the
entries' heartbeats are used as well. As soon as a replica is marked as leaving,
it gets no more requests.
"""

import asyncio
import logging
import math
import time
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

import aiohttp
import attrs

from celerytrack.addresses import is_address
from celerytrack.answer_limits import POLL_LIMITS
from celerytrack.entry.peers import Heartbeat
from celerytrack.events import Event, log_event
from celerytrack.http_session import make_http_session
from celerytrack.ids import EntryId, ReplicaId, Zone
from celerytrack.record_faults import RecordFaults
from celerytrack.routing.replica_load import Load, ReplicaLoad
from celerytrack.strict import is_encodable

_log = logging.getLogger(__name__)


POLL_IDLE_S = 15.0
"""Idle time after which a connection for polls is not reused."""
HEARTBEAT_TIMEOUT_S = 1.0
"""Age of the last heartbeat after which an entry no longer counts as running."""


MAX_BORN_MS = 2**53
"""Latest start that a replica may report: far in the future, and exact in JSON."""


MAX_SHOWN_CHARS = 100
"""Most characters of an item of the instance list in a log line."""


MAX_VERSION_CHARS = 100
"""Most characters of a software version that a replica may report."""


MAX_COUNT = 10**9
"""Largest count that a replica may report: far more than one holds, and safe to sum."""


_MALFORMED = (ValueError, KeyError, TypeError, RecursionError)
"""Errors of an answer that is no instance list."""


def _read_count(report: dict[str, Any], name: str, known: int = 0) -> int:
    """A count in a load report, or the known one if it tells none.

    :raises ValueError: if it is none.
    """
    value = report.get(name, known)
    if type(value) not in (int, float) or not 0 <= value <= MAX_COUNT:
        raise ValueError(f"{name} must be a number from 0 to {MAX_COUNT}")
    return int(value)


def read_born_ms(report: dict[str, Any], known_ms: int) -> int:
    """The start that a load report tells, or the known one if it tells none."""
    born_ms = report.get("born_ms")
    if type(born_ms) is int and 0 < born_ms <= MAX_BORN_MS:
        return born_ms
    return known_ms


def _read_address(item: dict[str, Any], name: str) -> str:
    """An address of an item that this entry connects to.

    :raises ValueError: if it is none.
    """
    address = item[name]
    if not isinstance(address, str) or not is_address(address):
        raise ValueError(f"{name} must be IP:PORT")
    return address


class _UnreachedError(Exception):
    """A replica did not answer.

    :ivar sent: whether there was a connection.
    """

    def __init__(self, sent: bool) -> None:
        super().__init__()
        self.sent = sent


@attrs.define
class EntryInfo:
    """An entry of the instance list, this entry included."""

    entry_id: EntryId
    address: str
    zone: Zone
    peer_address: str = ""
    relay_address: str = ""
    """Where it takes requests of other entries; empty if it takes none."""
    leaving: bool = False
    gone: bool = False
    draining: bool = False
    last_heartbeat_s: float = float("-inf")
    """When its last heartbeat arrived (monotonic seconds)."""
    boot_id: str = ""
    """Its incarnation, as in that heartbeat."""

    def is_alive(self, now_s: float) -> bool:
        """Whether its last heartbeat is recent."""
        return now_s - self.last_heartbeat_s <= HEARTBEAT_TIMEOUT_S

    def is_usable(self, now_s: float) -> bool:
        """Whether callers may be given this entry's address at ``now_s``."""
        return self.is_alive(now_s) and not self.leaving and not self.draining


class FleetView:
    """Follows the instance list and the replicas' load reports.

    :param instances_address: ``host:port`` of the instance list.
    :param poll_s: the interval between reads of both.
    :param on_entry: called with the peer address of each newly listed entry.
    :param on_heard: called with a replica that answered.
    :param on_unreached: called with a replica that did not, and whether there was a
        connection to it; returns whether that is held against the replica.
    """

    def __init__(
        self,
        instances_address: str,
        poll_s: float,
        on_entry: Callable[[str], None] = lambda address: None,
        on_heard: Callable[[ReplicaLoad], None] = lambda replica: None,
        on_unreached: Callable[[ReplicaLoad, bool], bool] = lambda replica, sent: True,
    ) -> None:
        self._on_heard = on_heard
        self._on_unreached = on_unreached
        self._on_entry = on_entry
        self._url = f"http://{instances_address}/instances"
        self._poll_s = poll_s
        self.replicas: dict[ReplicaId, ReplicaLoad] = {}
        self.addresses: dict[ReplicaId, str] = {}
        self.entries: dict[EntryId, EntryInfo] = {}
        self._listed = False
        self._read_at_s = time.monotonic()
        self._cache_events_from: dict[ReplicaId, int] = {}
        self._session: aiohttp.ClientSession | None = None
        self._faults = RecordFaults(_log, "instances")

    def versions(self) -> dict[str, dict[str, int]]:
        """How many replicas of each software version each model has, if they state
        any."""
        found: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for replica in self.replicas.values():
            if replica.version and not replica.leaving:
                found[replica.model][replica.version] += 1
        return {model: dict(counts) for model, counts in found.items()}

    def age_s(self, now_s: float) -> float:
        """Time since the instance list was last read."""
        return now_s - self._read_at_s

    def is_gone(self, entry_id: EntryId, now_s: float) -> bool:
        """Whether the platform no longer lists ``entry_id`` as running.

        An entry with recent heartbeats is not gone, whatever the list says.
        """
        info = self.entries.get(entry_id)
        if info is None:
            return self._listed
        return info.gone and not info.is_alive(now_s)

    async def refresh(self) -> None:
        """Read the instance list and the replicas' loads once."""
        if self._session is None:
            self._session = make_http_session(POLL_IDLE_S, limits=POLL_LIMITS)
        try:
            timeout = aiohttp.ClientTimeout(total=self._poll_s * 2)
            async with self._session.get(self._url, timeout=timeout) as resp:
                items = (await resp.json())["instances"]
        except (aiohttp.ClientError, TimeoutError, *_MALFORMED):
            return
        if not isinstance(items, list):
            return
        listed: set[str] = set()
        for item in items:
            with self._faults.caught(str(item)[:MAX_SHOWN_CHARS]):
                self._apply(item)
                listed.add(item["id"])
        self._mark_missing(listed)
        self._listed = True
        self._read_at_s = time.monotonic()
        await asyncio.gather(*(self._poll_replica(r) for r in list(self.replicas)))

    async def run(self) -> None:
        """Refresh forever."""
        while True:
            await self.refresh()
            await asyncio.sleep(self._poll_s)

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()

    def record_heartbeat(self, heartbeat: Heartbeat, now_s: float) -> None:
        """Apply a peer's heartbeat.

        The instance list lags and shows a crashed entry as live for a while; callers
        given its address would reach nothing. Heartbeats show which entries run now,
        and a draining entry reports it at once.
        """
        info = self.entries.get(heartbeat.entry)
        if info is not None:
            info.last_heartbeat_s = now_s
            info.boot_id = heartbeat.boot_id
            info.draining = heartbeat.draining
        wall_s = time.time()
        for replica_id, replica in self.replicas.items():
            replica.record_peer_load(
                heartbeat.entry, heartbeat.loads.get(replica_id, Load()), wall_s
            )

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

    def _apply(self, item: dict[str, Any]) -> None:
        for name, value in item.items():
            if isinstance(value, str) and not is_encodable(value):
                raise ValueError(f"{name} is not UTF-8")
        leaving = item["state"] != "live"
        if item["role"] == "entry":
            entry_id = EntryId(item["id"])
            entry = self.entries.get(entry_id)
            if entry is None:
                zone = Zone(item["zone"])
                peer_address = _read_address(item, "peer_address")
                entry = EntryInfo(entry_id, item["address"], zone, peer_address)
                if item.get("relay_address"):
                    entry.relay_address = _read_address(item, "relay_address")
                self.entries[entry_id] = entry
                self._on_entry(peer_address)
            entry.leaving = leaving
            entry.gone = item["state"] == "gone"
            return
        replica_id = ReplicaId(item["id"])
        replica = self.replicas.get(replica_id)
        if replica is None:
            address = _read_address(item, "address")
            replica = ReplicaLoad(replica_id, Zone(item["zone"]), item["model"])
            self.replicas[replica_id] = replica
            self.addresses[replica_id] = address
            log_event(_log, Event.REPLICA_JOINED, replica=replica_id)
        if leaving:
            self._mark_leaving(replica)
        else:
            replica.leaving = False

    async def _poll_replica(self, replica_id: ReplicaId) -> None:
        load = self.replicas[replica_id]
        try:
            report = await self._get_json(self.addresses[replica_id], "/load")
        except _UnreachedError as exc:
            # The replica is dead or unreachable although the list may still show it
            # as live. Mark it now, so that no request has to fail first.
            if self._on_unreached(load, exc.sent):
                load.record_failure(time.time())
            return
        self._on_heard(load)
        if not isinstance(report, dict):
            load.record_failure(time.time())
            return
        with self._faults.caught(replica_id):
            self._apply_report(load, report)
        if "cache_blocks" in report:
            await self._poll_cache(replica_id)

    def _apply_report(self, load: ReplicaLoad, report: dict[str, Any]) -> None:
        capacity = _read_count(report, "capacity", load.capacity)
        blocks = _read_count(report, "cache_blocks", load.cache.capacity_blocks)
        running = _read_count(report, "running") + _read_count(report, "queued")
        prefill_tokens = _read_count(report, "prefill_tokens")
        at_s = float(report.get("at_s", time.time()))
        if not math.isfinite(at_s):
            raise ValueError("at_s is no time")
        load.version = str(report.get("version", ""))[:MAX_VERSION_CHARS]
        load.born_ms = read_born_ms(report, load.born_ms)
        load.capacity = capacity
        load.cache.capacity_blocks = blocks
        load.report(Load(running, prefill_tokens), at_s)

    async def _poll_cache(self, replica_id: ReplicaId) -> None:
        start = self._cache_events_from.get(replica_id, 0)
        path = f"/cache_events?from={start}"
        try:
            answer = await self._get_json(self.addresses[replica_id], path)
        except _UnreachedError:
            return
        if answer is None:
            return
        with self._faults.caught(replica_id):
            self._apply_cache_events(replica_id, answer)

    def _apply_cache_events(
        self, replica_id: ReplicaId, answer: dict[str, Any]
    ) -> None:
        # An event may arrive after the block was reused or evicted, or never. The
        # index only guides the choice of a replica, so a wrong entry costs one more
        # prefill of a prompt and ages out.
        cache = self.replicas[replica_id].cache
        stored = [block for kind, block in answer["events"] if kind == "stored"]
        cache.touch(stored)
        for kind, block in answer["events"]:
            if kind == "evicted":
                cache.drop(block)
        self._cache_events_from[replica_id] = int(answer["next"])

    async def _get_json(self, address: str, path: str) -> Any:
        """The JSON body, or ``None`` if the answer is invalid.

        :raises _UnreachedError: if no answer arrived in time.
        """
        assert self._session is not None
        timeout = aiohttp.ClientTimeout(total=self._poll_s)
        try:
            async with self._session.get(
                f"http://{address}{path}", timeout=timeout
            ) as resp:
                return await resp.json() if resp.status == 200 else None
        except (ValueError, RecursionError, aiohttp.ContentTypeError):
            return None
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            raise _UnreachedError(sent=False) from None
        except (aiohttp.ClientError, TimeoutError, OSError):
            raise _UnreachedError(sent=True) from None
