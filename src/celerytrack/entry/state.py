"""The state of one entry instance and the tasks that keep it up to date."""

import asyncio
import logging
import random
import time
import uuid
from collections import defaultdict

import aiohttp

from celerytrack.answer_limits import DEFAULT_LIMITS, AnswerBytes
from celerytrack.callers.callers import Callers
from celerytrack.callers.metrics import register_callers
from celerytrack.entry.answers import AnswerCache
from celerytrack.entry.claims import Claims
from celerytrack.entry.config_follower import ConfigFollower
from celerytrack.entry.fleet_view import EntryInfo, FleetView
from celerytrack.entry.grant_manager import GrantManager
from celerytrack.entry.identified_answers import IdentifiedResponse
from celerytrack.entry.metrics import EntryMetrics
from celerytrack.entry.notices import EntryNotices
from celerytrack.entry.peers import HEARTBEAT_S, Heartbeat, PeerLink
from celerytrack.entry.reach import (
    is_reached_elsewhere,
    make_reach,
    record_link_news,
)
from celerytrack.entry.shared_deadline import SharedDeadline
from celerytrack.entry.stopping import StopTimes, plan_stop
from celerytrack.entry.suspects import EntrySuspects
from celerytrack.events import Event, log_event
from celerytrack.findings import Findings
from celerytrack.http_session import make_http_session
from celerytrack.ids import EndpointId, EntryId, ReplicaId, ServiceName
from celerytrack.limits.metrics import register_limits
from celerytrack.logclient import LogClient
from celerytrack.notices.metrics import register_notices
from celerytrack.notices.owners import Peer
from celerytrack.reachability.helpers import HelperChoice
from celerytrack.routing.rendezvous import rendezvous
from celerytrack.routing.replica_load import Load, ReplicaLoad
from celerytrack.routing.replicas import make_chooser
from celerytrack.routing.retries import RetryBudget
from celerytrack.settings import FleetSettings, GrantPolicy

_log = logging.getLogger(__name__)

STARTUP_HEARTBEAT_WAIT_S = 0.5
"""Longest wait at startup for the peers' heartbeats; each sends several meanwhile."""
UPSTREAM_IDLE_S = 15.0
"""Idle time after which a connection to a replica or an entry is not reused."""
RELAY_CONNECT_TIMEOUT_S = 0.3
"""Time limit for a connection to another entry."""
_DRAIN_LEDGER_S = 10.0
"""Longest a drain waits for the log to accept the last bills and settles."""


class EntryState:
    """One entry instance: its state and its tasks.

    :param fleet: the deployment's settings, read at startup.
    :param entry_id: the entry of ``fleet`` that this process is.
    """

    def __init__(self, fleet: FleetSettings, entry_id: str) -> None:
        self.spec = fleet.entry(entry_id)
        self.tuning = fleet.tuning
        self.entry_id = EntryId(entry_id)
        self.boot_id = uuid.uuid4().hex[:8]
        self.log = LogClient(fleet.platform.log_address, entry_id)
        self.config = ConfigFollower(self.log, fleet.tuning.snapshot_every_s)
        self.link = PeerLink(
            self.spec.peer_address, self._make_heartbeat, self._apply_heartbeat
        )
        self.view = FleetView(
            fleet.platform.instances_address,
            fleet.tuning.instance_poll_s,
            self.link.connect,
            self.record_heard,
            self.record_unreached,
        )
        self.grant_manager = GrantManager(
            self.log,
            self.entry_id,
            self.boot_id,
            self._grant_policy,
            fleet.tuning,
            self._is_elected,
            lambda entry: self.view.is_gone(entry, time.monotonic()),
        )
        self.claims = Claims(
            self.grant_manager.writer, lambda: self.grant_manager.ledger
        )
        self.answers = AnswerCache()
        self.callers = Callers(fleet.tuning.callers)
        self.choose = make_chooser(fleet.tuning.placement)
        self.retries = RetryBudget()
        self.rng = random.Random(self.boot_id)
        self.metrics = EntryMetrics()
        self.draining = False
        self.answer_bytes: defaultdict[ReplicaId, AnswerBytes] = defaultdict(
            lambda: AnswerBytes(DEFAULT_LIMITS)
        )
        self.in_flight = 0
        self.attempts_deadline = SharedDeadline()
        self.suspects = EntrySuspects(
            self.entry_id, lambda replica_id: is_reached_elsewhere(self, replica_id)
        )
        self.notices = EntryNotices(
            self.entry_id,
            self.spec.peer_address,
            self._notice_peers,
            self.view.age_s,
            self.rng,
            lambda news: record_link_news(self, news),
        )
        self.helpers = HelperChoice(self.spec.zone, self.rng)
        self.relays_in_progress = 0
        self.reach = make_reach(self)
        self.ended_with_links: defaultdict[str, set[asyncio.Timeout]]
        self.ended_with_links = defaultdict(set)
        register_limits(self.metrics.registry, self.notices.sync.limits)
        register_notices(self.metrics.registry, self.notices.sync)
        register_callers(self.metrics.registry, self.callers)
        self._idle = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._upstream: aiohttp.ClientSession | None = None
        self._relay_session: aiohttp.ClientSession | None = None

    @property
    def upstream(self) -> aiohttp.ClientSession:
        """The HTTP session for engines and services."""
        assert self._upstream is not None, "start() has not been called"
        return self._upstream

    @property
    def relay_session(self) -> aiohttp.ClientSession:
        """The HTTP session for requests through other entries."""
        assert self._relay_session is not None, "start() has not been called"
        return self._relay_session

    def usable_entries(self, now_s: float) -> dict[EntryId, EntryInfo]:
        """The entries whose addresses callers may be given, this one included."""
        live = {e: i for e, i in self.view.entries.items() if i.is_usable(now_s)}
        if self.draining:
            live.pop(self.entry_id, None)
        else:
            info = EntryInfo(self.entry_id, self.spec.address, self.spec.zone)
            live[self.entry_id] = self.view.entries.get(self.entry_id) or info
        return live

    def begin_request(self) -> None:
        """Count a request in flight."""
        self.in_flight += 1
        self.metrics.in_flight.set(self.in_flight)

    def end_request(self) -> None:
        """Count a request that ended."""
        self.in_flight -= 1
        self.metrics.in_flight.set(self.in_flight)
        if self.in_flight == 0:
            self._idle.set()

    async def start(self) -> None:
        """Read the platform's state and start the tasks."""
        self._upstream = make_http_session(
            UPSTREAM_IDLE_S,
            aiohttp.ClientTimeout(
                total=None,
                sock_connect=2.0,
                sock_read=self.tuning.upstream_timeout_s,
            ),
            may_send=self._may_send_to,
            on_connected=self._on_connected,
            headers={"X-Client": self.entry_id},
            response_class=IdentifiedResponse,
        )
        self._relay_session = make_http_session(
            UPSTREAM_IDLE_S,
            aiohttp.ClientTimeout(
                total=None,
                sock_connect=RELAY_CONNECT_TIMEOUT_S,
                sock_read=self.tuning.upstream_timeout_s,
            ),
        )
        await self.view.refresh()
        self._tasks = [
            asyncio.create_task(self.config.run()),
            asyncio.create_task(self.view.run()),
            asyncio.create_task(self.callers.run()),
        ]
        self._tasks += self.link.start()
        self._tasks.append(asyncio.create_task(self.notices.run()))
        self._tasks.append(asyncio.create_task(self.reach.run()))
        await self._wait_for_peers()
        self._tasks += await self.grant_manager.start()
        await asyncio.wait_for(self.config.wait_for_config(), 30.0)
        log_event(
            _log,
            Event.PROCESS_STARTED,
            entry=self.entry_id,
            address=self.spec.address,
            zone=self.spec.zone,
            config_version=self.config.version,
        )

    async def _wait_for_peers(self) -> None:
        """Wait for a heartbeat of each listed entry, for a limited time.

        This entry must know the requests that its peers know to crash replicas
        before it serves.
        """
        until_s = time.monotonic() + STARTUP_HEARTBEAT_WAIT_S
        while (now_s := time.monotonic()) < until_s:
            peers = (i for e, i in self.view.entries.items() if e != self.entry_id)
            if all(info.is_alive(now_s) for info in peers):
                return
            await asyncio.sleep(HEARTBEAT_S / 2)

    async def drain(self) -> None:
        """Accept no new requests, finish the current ones, bill and settle.

        The process keeps running, so requests that outlast the grace time are not
        aborted.
        """
        self._start_draining()
        await self._wait_idle(time.monotonic() + self.tuning.drain_grace_s)
        await self.grant_manager.settle_all(time.monotonic() + _DRAIN_LEDGER_S)

    async def stop(self) -> StopTimes:
        """Drain within the time that is left before the supervisor kills the process.

        An earlier :meth:`drain` may still be waiting; the same requests and records
        are waited for here again.

        :returns: the schedule of the stop; the closing stages are left to the caller.
        """
        times = plan_stop(self.tuning, time.monotonic())
        self._start_draining()
        self.attempts_deadline.set(times.requests_until_s)
        await self._wait_idle(times.answers_until_s)
        self.log_stage("requests over", times)
        await self.grant_manager.settle_all(times.ledger_until_s)
        self.log_stage("ledger written", times)
        return times

    async def close(self) -> None:
        """Cancel the tasks and close the sessions."""
        self.link.close()
        self.notices.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(
            *self._tasks,
            self.upstream.close(),
            self.relay_session.close(),
            self.view.close(),
            self.log.close(),
            return_exceptions=True,
        )

    def log_stage(self, stage: str, times: StopTimes) -> None:
        """Log that a stage of the planned stop has ended, and what is unfinished."""
        log_event(
            _log,
            Event.STOP_STAGE,
            stage=stage,
            after_ms=round((time.monotonic() - times.began_s) * 1_000),
            in_flight=self.in_flight,
            ledger_backlog=self.grant_manager.writer.backlog,
        )

    def _start_draining(self) -> None:
        if self.draining:
            return
        self.draining = True
        self.notices.sync.begin_leaving()
        log_event(
            _log, Event.ENTRY_DRAINING, entry=self.entry_id, in_flight=self.in_flight
        )

    async def _wait_idle(self, until_s: float) -> None:
        """Wait for the requests in progress, until ``until_s`` at most."""
        if not self.in_flight:
            return
        self._idle.clear()
        try:
            await asyncio.wait_for(self._idle.wait(), until_s - time.monotonic())
        except TimeoutError:
            return

    def _make_heartbeat(self, seq: int) -> Heartbeat:
        loads = {
            r: replica.own
            for r, replica in self.view.replicas.items()
            if replica.own != Load()
        }
        findings = self.suspects.heartbeat_findings(time.monotonic())
        return Heartbeat(
            self.entry_id, self.boot_id, seq, self.draining, loads, findings
        )

    def _apply_heartbeat(self, heartbeat: Heartbeat) -> None:
        if heartbeat.entry == self.entry_id:
            return
        now_s = time.monotonic()
        self.view.record_heartbeat(heartbeat, now_s)
        # A heartbeat without findings also means that its entry runs no probe.
        self.suspects.merge(heartbeat.findings or Findings(heartbeat.entry), now_s)

    def _may_send_to(self, address: str) -> bool:
        """Whether the replica at an address may be sent a request now."""
        there = [
            self.view.replicas[replica_id]
            for replica_id, known in self.view.addresses.items()
            if known == address
        ]
        now_s = time.monotonic()
        # Another replica may have the address of one that has left.
        staying = [replica for replica in there if not replica.leaving]
        return bool(staying) and all(
            self.notices.may_send(replica, now_s) for replica in staying
        )

    def record_heard(self, replica: ReplicaLoad) -> None:
        """Record that a replica answered."""
        self.reach.record_heard(ServiceName(replica.model), time.monotonic())

    def record_unreached(self, replica: ReplicaLoad, sent: bool) -> bool:
        """Record that a replica was not reached, or a connection to it broke.

        :param sent: whether there was a connection.
        :returns: whether it may be the replica's fault: not while this entry reaches
            none.
        """
        service = ServiceName(replica.model)
        endpoint_id = EndpointId(replica.replica_id)
        self.reach.record_failure(service, endpoint_id, sent, time.monotonic())
        return not self.reach.is_down(service)

    def _on_connected(self, address: str) -> None:
        for replica_id, known in self.view.addresses.items():
            if known == address:
                model = self.view.replicas[replica_id].model
                self.reach.record_connected(ServiceName(model))

    def _notice_peers(self, now_s: float) -> list[Peer]:
        return [
            Peer(entry_id, info.peer_address, info.boot_id)
            for entry_id, info in self.view.entries.items()
            if entry_id != self.entry_id and info.is_usable(now_s)
        ]

    def _grant_policy(self) -> GrantPolicy:
        return self.config.config.grant if self.config.config else GrantPolicy()

    def _is_elected(self, task: str) -> bool:
        """Whether this entry runs the fleet's singleton task named ``task``.

        Rendezvous hashing elects one of the live entries. Two entries may run a task
        for a moment while their views differ, and every task tolerates that.
        """
        # Only entries with recent heartbeats count. The instance list shows a dead
        # entry as live for a while, and a task that it was elected for would not run.
        live = list(self.usable_entries(time.monotonic()))
        return rendezvous(task, live or [self.entry_id], 1)[0] == self.entry_id
