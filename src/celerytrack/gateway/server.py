"""The entry process: its listeners, its tasks, its start and planned stop."""

import asyncio
import json
import logging
import pathlib
import signal
import time

import attrs
from aiohttp import web

from celerytrack.events import Event, log_event
from celerytrack.gateway.gifts import answer_peer
from celerytrack.gateway.leaving import end_now, leave, log_stage
from celerytrack.gateway.listeners import Listeners
from celerytrack.gateway.pipeline import handle
from celerytrack.gateway.row_writer import FencedError
from celerytrack.gateway.state import Gateway
from celerytrack.gateway.tail import KeyedTail
from celerytrack.gateway.watches import make_config_tail, make_endpoint_tail
from celerytrack.ids import Zone
from celerytrack.members import ADDRESS_TTL_S, Member, MemberState, choose_addresses
from celerytrack.planned_stop import PlannedStop
from celerytrack.platform.http import (
    READY_PATH,
    RESOLVE_PATH,
    caller_zone,
    encode_addresses,
)
from celerytrack.platform.settings import (
    ProcessSettings,
    SettingsError,
    load_settings,
)

_log = logging.getLogger(__name__)

ENDPOINT_POLL_S = 0.6
"""How often endpoints' registrations are read: an endpoint that leaves must
get nothing new two seconds later, with a slow answer of the store between."""
CONFIG_WAIT_S = 1.0
"""How long the store may hold a read of the configuration. A read that is held
when the store turns this instance away is never answered, and its connection
looks sound, so that routes long in force are denied. With this wait and the time limit
of a call a change is seen within two seconds."""
CONFIG_PAUSE_S = 0.3
"""Pause between two reads of the configuration. While large versions follow each other,
reading without a pause takes all that a narrow link has left, and registrations come
seconds late."""
ABORTED_WITHIN_S = 1.0
"""How long an unplanned end may take to close what is open."""


class EntryServer:
    """One entry process.

    :param gateway: its state.
    :param settings_path: read again on SIGHUP.
    """

    def __init__(self, gateway: Gateway, settings_path: pathlib.Path) -> None:
        self._gateway = gateway
        self._settings_path = settings_path
        self._listeners = Listeners()
        self._tasks: list[asyncio.Task[None]] = []
        self._stop = asyncio.Event()

    async def run(self) -> int:
        """Serve until SIGTERM; the exit status."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        # They may have changed since they were read, when nobody listened.
        self._reload()
        await self._listen()
        self._start_tasks()
        log_event(_log, Event.PROCESS_STARTED, boot=self._gateway.boot_id)
        stopped = asyncio.create_task(self._stop.wait())
        done, _ = await asyncio.wait(
            [stopped, *self._tasks], return_when=asyncio.FIRST_COMPLETED
        )
        if stopped not in done:
            status = self._task_ended(done)
            await self._end_now()
            return status
        await self._leave()
        log_event(_log, Event.PROCESS_STOPPED, in_flight=self._gateway.in_flight)
        return 0

    def _task_ended(self, done: "set[asyncio.Task[None]] | set[asyncio.Task]") -> int:
        # A task that ends leaves the process deaf: better start anew.
        for task in done:
            exc = task.exception()
            level = logging.ERROR
            kind = "fenced" if isinstance(exc, FencedError) else "task ended"
            log_event(_log, Event.PROCESS_STOPPING, level, why=kind, detail=repr(exc))
        return 1

    # -- start --------------------------------------------------------------

    async def _listen(self) -> None:
        settings = self._gateway.settings
        listeners = self._listeners
        await listeners.open(settings.front_address, self._front)
        await listeners.open(settings.readiness_address, self._readiness)
        await listeners.open(settings.directory_address, self._directory)
        await listeners.open(settings.peer_address, self._peer)
        await listeners.open(settings.metrics_address, self._metrics)
        await self._gateway.notes.open(settings.peer_address)

    def _start_tasks(self) -> None:
        gateway = self._gateway
        loops = (
            gateway.keeper.run(),
            gateway.suspects.run(),
            self._follow(make_config_tail(gateway), CONFIG_PAUSE_S, CONFIG_WAIT_S),
            self._follow(make_endpoint_tail(gateway), ENDPOINT_POLL_S, 0.0),
        )
        self._tasks = [asyncio.create_task(loop) for loop in loops]

    async def _follow(self, tail: KeyedTail, interval_s: float, wait_s: float) -> None:
        await tail.load()
        await tail.follow(interval_s, wait_s)

    def _reload(self) -> None:
        try:
            settings = load_settings(self._settings_path)
        except SettingsError as exc:
            log_event(_log, Event.SETTINGS_REJECTED, logging.ERROR, detail=str(exc))
            return
        settings = _at_its_place(settings, self._gateway.settings)
        self._gateway.settings = settings
        self._gateway.keeper.members.link_mbps = settings.link_mbps
        log_event(_log, Event.SETTINGS_RELOADED)

    # -- listeners ----------------------------------------------------------

    async def _front(self, request: web.BaseRequest) -> web.StreamResponse:
        return await handle(self._gateway, request)

    async def _readiness(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._gateway.ready else 503)

    async def _directory(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path != RESOLVE_PATH:
            return web.Response(status=404)
        zone = Zone(caller_zone(request.query))
        addresses = choose_addresses(self._serving(), zone, self._gateway.rng)
        if not addresses:
            return web.Response(status=503)
        ttl_s = min(ADDRESS_TTL_S, self._gateway.settings.max_ttl_s)
        body = json.dumps(encode_addresses(addresses, ttl_s)).encode()
        return web.Response(body=body, content_type="application/json")

    async def _peer(self, request: web.BaseRequest) -> web.StreamResponse:
        keeper = self._gateway.keeper
        give, known = keeper.reservations.give, keeper.book.guard.known
        return await answer_peer(give, known, request)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        self._gateway.count_suspects()
        body = self._gateway.telemetry.render()
        return web.Response(body=body, content_type="text/plain")

    def _serving(self) -> list[Member]:
        gateway = self._gateway
        members = gateway.keeper.members.live_peers(time.monotonic())
        front = gateway.settings.front_address
        if gateway.ready and front is not None:
            zone = gateway.settings.zone
            link_mbps = gateway.settings.link_mbps
            me = Member(gateway.entry_id, 0, front, "", zone, MemberState.SERVING)
            members.append(attrs.evolve(me, link_mbps=link_mbps))
        return members

    # -- planned stop -------------------------------------------------------

    async def _leave(self) -> None:
        gateway = self._gateway
        stop = gateway.stop
        assert stop is not None
        await leave(gateway, stop, self._listeners)
        await self.abort(stop.close_timeout_s)
        log_stage(gateway, stop, self._listeners, "closed")

    async def _end_now(self) -> None:
        await end_now(self._gateway, time.monotonic())
        await self.abort()

    def stop(self) -> None:
        """Begin a planned stop, as SIGTERM does."""
        gateway = self._gateway
        if gateway.stop is None:
            grace_s = gateway.settings.grace_s
            gateway.stop = PlannedStop(time.monotonic(), grace_s)
        self._stop.set()

    async def abort(self, within_s: float = ABORTED_WITHIN_S) -> None:
        """Close the listeners, the tasks and the connections at once.

        :param within_s: after which what is still open is left to the exit: a peer
            that takes no bytes keeps a connection open for as long as it likes.
        """
        for task in self._tasks:
            task.cancel()
        try:
            async with asyncio.timeout(within_s):
                await self._listeners.close()
                await self._gateway.close()
        except TimeoutError:
            log_event(_log, Event.STOP_OVERRAN, logging.WARNING, within_s=within_s)


def _at_its_place(new: ProcessSettings, old: ProcessSettings) -> ProcessSettings:
    """``new`` with who and where the process is: its listeners stay where they are."""
    return attrs.evolve(
        new,
        entry_id=old.entry_id,
        ip=old.ip,
        zone=old.zone,
        front_address=old.front_address,
        readiness_address=old.readiness_address,
        directory_address=old.directory_address,
        peer_address=old.peer_address,
        metrics_address=old.metrics_address,
        store_address=old.store_address,
    )
