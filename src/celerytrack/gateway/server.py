"""The entry process: its listeners, its tasks, its start and planned stop."""

import asyncio
import json
import logging
import pathlib
import signal
import time
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from aiohttp import web

from celerytrack.events import Event, log_event
from celerytrack.gateway.gifts import answer_gift
from celerytrack.gateway.pipeline import handle
from celerytrack.gateway.row_writer import FencedError
from celerytrack.gateway.state import Gateway
from celerytrack.gateway.tail import KeyedTail
from celerytrack.gateway.watches import make_config_tail, make_endpoint_tail
from celerytrack.ids import Zone
from celerytrack.members import DEFAULT_TTL_S, Member, MemberState, choose_addresses
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
CALLER_IDLE_S = 60.0
"""Idle time after which a caller's connection is closed: several times as long as
callers reuse theirs, so that none meets our close."""
HEADER_BYTES = 65_536
"""Header bytes taken: four times what callers may send."""
BODY_BYTES = 16 * 1024 * 1024
"""Body bytes read before a request is refused as too large, whatever the
configuration allows: a bound on memory."""
LAST_ROW_MOST_S = 1.0
"""Longest wait for the row that gives the unspent tokens back: a slow store takes it
within that; one that is away is not waited for."""
LOGGED_MOST = 20
"""Requests in progress that one log line names."""
TOLD_TIMES = 3
"""How often the other entries are told directly: datagrams are lost."""
TELL_AGAIN_S = 0.1
LOOK_S = 0.02
"""How often a planned stop looks whether what it waits for is over."""
CANCELLED_WITHIN_S = 0.05
"""How long a request that is in progress when its listener closes may take to end, and
as long again once it was cancelled."""
ABORTED_WITHIN_S = 1.0
"""How long an unplanned end may take to close what is open."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class EntryServer:
    """One entry process.

    :param gateway: its state.
    :param settings_path: read again on SIGHUP.
    """

    def __init__(self, gateway: Gateway, settings_path: pathlib.Path) -> None:
        self._gateway = gateway
        self._settings_path = settings_path
        self._runners: list[web.ServerRunner] = []
        self._servers: list[web.Server] = []
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
            return self._task_ended(done)
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
        await self._open(settings.front_address, self._front, True)
        await self._open(settings.readiness_address, self._readiness)
        await self._open(settings.directory_address, self._directory)
        await self._open(settings.peer_address, self._peer)
        await self._open(settings.metrics_address, self._metrics)
        await self._gateway.notes.open(settings.peer_address)

    async def _open(
        self, address: str | None, handler: Handler, caller: bool = False
    ) -> None:
        if address is None:
            return
        host, port = address.rsplit(":", 1)
        server = web.Server(
            handler,
            request_factory=_make_request,
            access_log=None,
            handler_cancellation=True,
            keepalive_timeout=CALLER_IDLE_S,
            max_line_size=HEADER_BYTES,
            max_field_size=HEADER_BYTES,
            auto_decompress=False,
        )
        self._servers.append(server)
        runner = web.ServerRunner(server, shutdown_timeout=CANCELLED_WITHIN_S)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=1024).start()
        if caller:
            self._runners.insert(0, runner)
        else:
            self._runners.append(runner)

    def _start_tasks(self) -> None:
        gateway = self._gateway
        loops = (
            gateway.keeper.run(),
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
        ttl_s = min(DEFAULT_TTL_S, self._gateway.settings.max_ttl_s)
        body = json.dumps(encode_addresses(addresses, ttl_s)).encode()
        return web.Response(body=body, content_type="application/json")

    async def _peer(self, request: web.BaseRequest) -> web.StreamResponse:
        return await answer_gift(self._gateway.keeper.reservations.give, request)

    async def _metrics(self, request: web.BaseRequest) -> web.StreamResponse:
        body = self._gateway.telemetry.render()
        return web.Response(body=body, content_type="text/plain")

    def _serving(self) -> list[Member]:
        gateway = self._gateway
        members = gateway.keeper.members.live(time.monotonic())
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
        log_event(_log, Event.PROCESS_STOPPING, in_flight=gateway.in_flight)
        for exchange in gateway.exchanges:
            exchange.end_by(stop.answers_end_s)
        gateway.keeper.leave()
        for _ in range(TOLD_TIMES):
            gateway.tell_leaving()
            await asyncio.sleep(TELL_AGAIN_S)
        await asyncio.sleep(stop.serves_until_s - time.monotonic())
        self._log_stage(stop, "callers gone")
        await _until(lambda: not gateway.in_flight, stop.closes_s)
        gateway.closing = True
        self._log_stage(stop, "requests over")
        last_row_s = min(stop.closes_s, time.monotonic() + LAST_ROW_MOST_S)
        await gateway.keeper.publish_last(last_row_s)
        self._log_stage(stop, "last row")
        await _until(lambda: not self._unsent_bytes(), stop.closes_s)
        self._log_stage(stop, "answers sent")
        await self.abort(stop.closing_s)
        self._log_stage(stop, "closed")

    def _unsent_bytes(self) -> int:
        """Bytes of answers that have not left this process."""
        transports = (
            connection.transport
            for server in self._servers
            for connection in server.connections
        )
        return sum(t.get_write_buffer_size() for t in transports if t is not None)

    def _log_stage(self, stop: PlannedStop, stage: str) -> None:
        """Say how far a planned stop is, and which requests it still waits for."""
        gateway = self._gateway
        log_event(
            _log,
            Event.STOP_STAGE,
            stage=stage,
            after_ms=round((time.monotonic() - stop.began_s) * 1_000),
            in_flight=gateway.in_flight,
            unsent_bytes=self._unsent_bytes(),
            requests=[e.facts.request_id for e in gateway.exchanges][:LOGGED_MOST],
        )

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
        closing = asyncio.gather(*(runner.cleanup() for runner in self._runners))
        try:
            async with asyncio.timeout(within_s):
                await closing
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


async def _until(holds: Callable[[], bool], ends_s: float) -> None:
    """Wait until ``holds``, but no longer than ``ends_s`` on the steady clock."""
    while not holds():
        left_s = ends_s - time.monotonic()
        if left_s <= 0:
            return
        await asyncio.sleep(min(LOOK_S, left_s))


def _make_request(
    message: Any, payload: Any, protocol: Any, writer: Any, task: Any
) -> web.BaseRequest:
    # The library takes 1 MiB of a body as a rule; callers may send more.
    loop = asyncio.get_running_loop()
    return web.BaseRequest(
        message, payload, protocol, writer, task, loop, client_max_size=BODY_BYTES
    )
