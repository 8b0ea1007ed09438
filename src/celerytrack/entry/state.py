"""What one entry instance knows, and the tasks that keep it up to date."""

import asyncio
import logging
import random
import time
import uuid

import aiohttp

from celerytrack.entry.answers import AnswerCache
from celerytrack.entry.claims import Claims
from celerytrack.entry.config_follower import ConfigFollower
from celerytrack.entry.fleet_view import EntryInfo, FleetView
from celerytrack.entry.ledger_keeper import LedgerKeeper
from celerytrack.entry.metrics import EntryMetrics
from celerytrack.entry.peers import HEARTBEAT_S, PeerLink, PeerNews
from celerytrack.entry.stopping import StopTimes, plan_stop
from celerytrack.entry.suspects import EntrySuspects
from celerytrack.entry.time_limit import TimeLimit
from celerytrack.events import Event, log_event
from celerytrack.findings import Findings
from celerytrack.ids import EntryId
from celerytrack.logclient import LogClient
from celerytrack.replica_load import Load
from celerytrack.retries import RetryBudget
from celerytrack.routing import make_chooser, rendezvous
from celerytrack.settings import FleetSettings, GrantPolicy

_log = logging.getLogger(__name__)

HEARD_AT_START_S = 0.5
"""Longest wait for the others' heartbeats at a start: several of each."""
_DRAIN_LEDGER_S = 10.0
"""Longest a drain waits for the log to take the last bills and settles."""


class EntryState:
    """One entry instance: its state and its tasks.

    :param fleet: the layout read at start.
    :param entry_id: which entry of ``fleet`` this process is.
    """

    def __init__(self, fleet: FleetSettings, entry_id: str) -> None:
        self.spec = fleet.entry(entry_id)
        self.tuning = fleet.tuning
        self.entry_id = EntryId(entry_id)
        self.boot_id = uuid.uuid4().hex[:8]
        self.log = LogClient(fleet.platform.log_address, entry_id)
        self.config = ConfigFollower(self.log, fleet.tuning.snapshot_every_s)
        self.link = PeerLink(self.spec.peer_address, self._news, self._heard)
        self.view = FleetView(
            fleet.platform.instances_address,
            fleet.tuning.instance_poll_s,
            self.link.connect,
        )
        self.keeper = LedgerKeeper(
            self.log,
            self.entry_id,
            self.boot_id,
            self._grant_policy,
            fleet.tuning,
            self._is_chosen,
            lambda entry: self.view.is_gone(entry, time.monotonic()),
        )
        self.claims = Claims(self.keeper.writer, lambda: self.keeper.ledger)
        self.answers = AnswerCache()
        self.choose = make_chooser(fleet.tuning.placement)
        self.retries = RetryBudget()
        self.rng = random.Random(self.boot_id)
        self.metrics = EntryMetrics()
        self.draining = False
        self.in_flight = 0
        self.attempts_limit = TimeLimit()
        self.suspects = EntrySuspects(self.entry_id)
        self._idle = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self._upstream: aiohttp.ClientSession | None = None

    @property
    def upstream(self) -> aiohttp.ClientSession:
        """The session to engines and services."""
        assert self._upstream is not None, "not started"
        return self._upstream

    def usable_entries(self, now_s: float) -> dict[EntryId, EntryInfo]:
        """The entries to name to callers now, this one included."""
        live = {e: i for e, i in self.view.entries.items() if i.usable(now_s)}
        if self.draining:
            live.pop(self.entry_id, None)
        else:
            me = EntryInfo(self.entry_id, self.spec.address, self.spec.zone)
            live[self.entry_id] = self.view.entries.get(self.entry_id) or me
        return live

    def enter(self) -> None:
        """Count a request in flight."""
        self.in_flight += 1
        self.metrics.in_flight.set(self.in_flight)

    def leave(self) -> None:
        """A request ended."""
        self.in_flight -= 1
        self.metrics.in_flight.set(self.in_flight)
        if self.in_flight == 0:
            self._idle.set()

    async def start(self) -> None:
        """Read the platform's state and start the tasks."""
        self._upstream = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(
                total=None,
                sock_connect=2.0,
                sock_read=self.tuning.upstream_timeout_s,
            ),
        )
        await self.view.refresh()
        self._tasks = [
            asyncio.create_task(self.config.run()),
            asyncio.create_task(self.view.run()),
        ]
        self._tasks += self.link.start()
        await self._hear_the_others()
        self._tasks += await self.keeper.start()
        await asyncio.wait_for(self.config.wait_for_config(), 30.0)
        log_event(
            _log,
            Event.PROCESS_STARTED,
            entry=self.entry_id,
            address=self.spec.address,
            zone=self.spec.zone,
            config_version=self.config.version,
        )

    async def _hear_the_others(self) -> None:
        """Wait for a heartbeat of each entry listed: a request that is known to end
        replicas must be known here too."""
        ends_s = time.monotonic() + HEARD_AT_START_S
        while (now_s := time.monotonic()) < ends_s:
            others = (i for e, i in self.view.entries.items() if e != self.entry_id)
            if all(info.runs(now_s) for info in others):
                return
            await asyncio.sleep(HEARTBEAT_S / 2)

    async def drain(self) -> None:
        """Take no new work, finish streams, bill, settle; the process goes on.

        Nothing ends it, so a request that takes longer is not given up.
        """
        self._take_no_more()
        await self._idle_until(time.monotonic() + self.tuning.drain_grace_s)
        await self.keeper.settle_all(time.monotonic() + _DRAIN_LEDGER_S)

    async def stop(self) -> StopTimes:
        """Planned stop: the same within the time left before the process is killed.

        A drain may have begun before: what it waits for is waited for here again.

        :returns: the times of the stop, of which closing is left.
        """
        times = plan_stop(self.tuning, time.monotonic())
        self._take_no_more()
        self.attempts_limit.set_end(times.requests_until_s)
        await self._idle_until(times.told_until_s)
        self.log_stage("requests over", times)
        await self.keeper.settle_all(times.ledger_until_s)
        self.log_stage("ledger written", times)
        return times

    async def close(self) -> None:
        """Cancel the tasks and close sessions."""
        self.link.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(
            *self._tasks,
            self.upstream.close(),
            self.view.close(),
            self.log.close(),
            return_exceptions=True,
        )

    def log_stage(self, stage: str, times: StopTimes) -> None:
        """Say how far the planned stop is, and what it leaves undone."""
        log_event(
            _log,
            Event.STOP_STAGE,
            stage=stage,
            after_ms=round((time.monotonic() - times.began_s) * 1_000),
            in_flight=self.in_flight,
            ledger_backlog=self.keeper.writer.backlog,
        )

    def _take_no_more(self) -> None:
        if self.draining:
            return
        self.draining = True
        log_event(
            _log, Event.ENTRY_DRAINING, entry=self.entry_id, in_flight=self.in_flight
        )

    async def _idle_until(self, until_s: float) -> None:
        """Wait for the requests in progress, until then at most."""
        if not self.in_flight:
            return
        self._idle.clear()
        try:
            await asyncio.wait_for(self._idle.wait(), until_s - time.monotonic())
        except TimeoutError:
            return

    def _news(self, seq: int) -> PeerNews:
        loads = {
            r: replica.own
            for r, replica in self.view.replicas.items()
            if replica.own != Load()
        }
        findings = self.suspects.findings(time.monotonic())
        return PeerNews(
            self.entry_id, self.boot_id, seq, self.draining, loads, findings
        )

    def _heard(self, news: PeerNews) -> None:
        if news.entry == self.entry_id:
            return
        now_s = time.monotonic()
        self.view.heard(news, now_s)
        # An entry that tells nothing has no trial any more either.
        self.suspects.hear(news.findings or Findings(news.entry), now_s)

    def _grant_policy(self) -> GrantPolicy:
        return self.config.config.grant if self.config.config else GrantPolicy()

    def _is_chosen(self, duty: str) -> bool:
        """Whether this entry does the fleet's duty named ``duty``.

        Rendezvous over the live entries: one entry does it as a rule; two
        may for a moment when their views differ, which every duty bears.
        """
        # Over the entries that answer: the instance list shows a dead entry
        # live for a while, and a duty given to it would be nobody's.
        live = list(self.usable_entries(time.monotonic()))
        return rendezvous(duty, live or [self.entry_id], 1)[0] == self.entry_id
