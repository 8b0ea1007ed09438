"""The entry process: listeners, background tasks, startup and planned stop."""

import asyncio
import json
import logging
import pathlib
import signal
import time

import attrs
from aiohttp import web

from celerytrack.events import Event, log_event
from celerytrack.gateway.draining import abort_requests, drain, log_stage
from celerytrack.gateway.endpoint_queries import handle_endpoint_query
from celerytrack.gateway.listeners import Listeners
from celerytrack.gateway.peer_requests import ENDPOINT_PATH, handle_peer_request
from celerytrack.gateway.pipeline import handle
from celerytrack.gateway.relay_format import is_relayed
from celerytrack.gateway.relay_server import handle_relayed
from celerytrack.gateway.row_writer import FencedError
from celerytrack.gateway.state import Gateway
from celerytrack.gateway.tail import KeyedTail
from celerytrack.gateway.watches import make_config_tail, make_endpoint_tail
from celerytrack.ids import Zone
from celerytrack.membership.members import (
    ADDRESS_TTL_S,
    Member,
    MemberState,
    choose_addresses,
)
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
"""Interval of reads of the endpoints' registrations: two seconds after an endpoint
begins to drain it must get no new requests, even if the store answers slowly."""
CONFIG_LONG_POLL_S = 1.0
"""Longest time the store may hold a read of the configuration open. If the store starts
to reject this instance while it holds a read, that read is never answered although its
connection looks healthy, and routes long in force are denied. With this wait and the
timeout of a call, a change is seen within two seconds."""
CONFIG_PAUSE_S = 0.3
"""Pause between two reads of the configuration. While large versions follow each other,
continuous reads would use up the bandwidth of a slow link and delay registrations by
seconds."""
ABORT_TIMEOUT_S = 1.0
"""Time to close listeners and connections in an unplanned stop."""


class EntryServer:
    """One entry process.

    :param gateway: the state of the process.
    :param settings_path: settings file, reloaded on SIGHUP.
    """

    def __init__(self, gateway: Gateway, settings_path: pathlib.Path) -> None:
        self._gateway = gateway
        self._settings_path = settings_path
        self._listeners = Listeners()
        self._tasks: list[asyncio.Task[None]] = []
        self._stop = asyncio.Event()

    async def run(self) -> int:
        """Serve until SIGTERM and return the exit status."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        # The settings may have changed between their first read and the installation
        # of the SIGHUP handler.
        self._reload()
        await self._listen()
        self._start_tasks()
        log_event(_log, Event.PROCESS_STARTED, boot=self._gateway.boot_id)
        stopped = asyncio.create_task(self._stop.wait())
        done, _ = await asyncio.wait(
            [stopped, *self._tasks], return_when=asyncio.FIRST_COMPLETED
        )
        if stopped not in done:
            status = self._log_task_end(done)
            await self._abort_requests()
            return status
        await self._drain()
        log_event(_log, Event.PROCESS_STOPPED, in_flight=self._gateway.in_flight)
        return 0

    def _log_task_end(self, done: "set[asyncio.Task[None]] | set[asyncio.Task]") -> int:
        # Without one of its tasks the process no longer follows the store, so it
        # exits to be restarted.
        for task in done:
            exc = task.exception()
            level = logging.ERROR
            reason = "fenced" if isinstance(exc, FencedError) else "task ended"
            log_event(_log, Event.PROCESS_STOPPING, level, why=reason, detail=repr(exc))
        return 1

    # -- start --------------------------------------------------------------

    async def _listen(self) -> None:
        settings = self._gateway.settings
        for name, address, handler in (
            ("front", settings.front_address, self._front),
            ("readiness", settings.readiness_address, self._readiness),
            ("directory", settings.directory_address, self._directory),
            ("peer", settings.peer_address, self._peer),
            ("metrics", settings.metrics_address, self._metrics),
        ):
            table = self._gateway.callers.table(name)
            await self._listeners.open(address, handler, table)
        await self._gateway.peer_messenger.open(settings.peer_address)

    def _start_tasks(self) -> None:
        gateway = self._gateway
        loops = (
            gateway.callers.run(),
            gateway.share_sync.run(),
            gateway.suspect_sync.run(),
            gateway.notices.run(),
            gateway.reach.run(),
            gateway.origins.run(),
            gateway.version_acks.run(),
            gateway.version_records.run(),
            self._follow(make_config_tail(gateway), CONFIG_PAUSE_S, CONFIG_LONG_POLL_S),
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
        settings = _keep_identity(settings, self._gateway.settings)
        self._gateway.settings = settings
        self._gateway.share_sync.members.link_mbps = settings.link_mbps
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
        addresses = choose_addresses(self._serving_members(), zone, self._gateway.rng)
        if not addresses:
            return web.Response(status=503)
        ttl_s = min(ADDRESS_TTL_S, self._gateway.settings.max_ttl_s)
        body = json.dumps(encode_addresses(addresses, ttl_s)).encode()
        return web.Response(body=body, content_type="application/json")

    async def _peer(self, request: web.BaseRequest) -> web.StreamResponse:
        if is_relayed(request.headers):
            return await handle_relayed(self._gateway, request)
        if request.path == ENDPOINT_PATH:
            return await handle_endpoint_query(self._gateway, request)
        share_sync = self._gateway.share_sync
        transfer, known_row = (
            share_sync.reservations.transfer,
            share_sync.budgets.restore_hold.known_row,
        )
        return await handle_peer_request(transfer, known_row, request)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        self._gateway.crash_findings.update_metrics()
        body = self._gateway.telemetry.render()
        return web.Response(body=body, content_type="text/plain")

    def _serving_members(self) -> list[Member]:
        gateway = self._gateway
        members = gateway.share_sync.members.live_peers(time.monotonic())
        front = gateway.settings.front_address
        if gateway.ready and front is not None:
            zone = gateway.settings.zone
            link_mbps = gateway.settings.link_mbps
            own = Member(gateway.entry_id, 0, front, "", zone, MemberState.SERVING)
            members.append(attrs.evolve(own, link_mbps=link_mbps))
        return members

    # -- planned stop -------------------------------------------------------

    async def _drain(self) -> None:
        gateway = self._gateway
        stop = gateway.stop
        assert stop is not None
        await drain(gateway, stop, self._listeners)
        await self.abort(stop.close_timeout_s)
        log_stage(gateway, stop, self._listeners, "closed")

    async def _abort_requests(self) -> None:
        await abort_requests(self._gateway, time.monotonic())
        await self.abort()

    def stop(self) -> None:
        """Begin a planned stop, as on SIGTERM."""
        gateway = self._gateway
        if gateway.stop is None:
            grace_s = gateway.settings.grace_s
            gateway.stop = PlannedStop(time.monotonic(), grace_s)
        self._stop.set()

    async def abort(self, within_s: float = ABORT_TIMEOUT_S) -> None:
        """Cancel the tasks and close the listeners and connections at once.

        :param within_s: timeout, after which open connections are left to the exit of
            the process: a peer that reads nothing can keep one open indefinitely.
        """
        for task in self._tasks:
            task.cancel()
        try:
            async with asyncio.timeout(within_s):
                await self._listeners.close()
                await self._gateway.close()
        except TimeoutError:
            log_event(_log, Event.STOP_OVERRAN, logging.WARNING, within_s=within_s)


def _keep_identity(new: ProcessSettings, old: ProcessSettings) -> ProcessSettings:
    """Return ``new`` with the identity and addresses of ``old``.

    A reload does not move listeners.
    """
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
