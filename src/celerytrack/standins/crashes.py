"""A back end whose process ends under a marked request, and is back later.

The stand-in's own process goes on: it closes its port and cuts all connections, so that
a caller sees what it would of a process that ended, and serves anew, with nothing of
what it knew, after a stated time.
"""

import asyncio
from collections.abc import Callable

import attrs
from aiohttp import web

from celerytrack.cli._serve import SHUTDOWN_TIMEOUT_S, stop_event

CRASH_CLEANUP_S = 0.1
"""How long the handlers of a process that ended may take to go."""


@attrs.define
class MarkedCrash:
    """What ends a stand-in, and how often it did.

    :ivar marker: a request whose body holds it ends the process; empty for none.
    :ivar restart_delay_s: how long the process is away.
    :ivar starts: how often it started.
    """

    marker: str = ""
    restart_delay_s: float = 2.0
    starts: int = 0
    crashed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def crash_if_marked(self, text: str) -> None:
        """End the process if ``text`` holds the marker; then nothing is answered."""
        if not self.marker or self.marker not in text:
            return
        self.crashed.set()
        await asyncio.Event().wait()


async def serve_with_crashes(
    make_app: Callable[[], web.Application], address: str, marked: MarkedCrash
) -> None:
    """Serve on ``address`` until a stop signal, anew after each end.

    :param make_app: the application of one start.
    """
    stop = stop_event()
    while not stop.is_set():
        marked.crashed.clear()
        marked.starts += 1
        wait_s = CRASH_CLEANUP_S if marked.marker else SHUTDOWN_TIMEOUT_S
        runner = await _start(make_app(), address, wait_s)
        await _first_of(stop, marked.crashed)
        if marked.crashed.is_set():
            await _cut(runner)
            await asyncio.sleep(marked.restart_delay_s)
        else:
            await runner.cleanup()


async def _start(app: web.Application, address: str, wait_s: float) -> web.AppRunner:
    host, port = address.rsplit(":", 1)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=wait_s)
    await runner.setup()
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    return runner


async def _first_of(*events: asyncio.Event) -> None:
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


async def _cut(runner: web.AppRunner) -> None:
    for site in list(runner.sites):
        await site.stop()
    assert runner.server is not None
    for connection in runner.server.connections:
        if connection.transport is not None:
            connection.transport.abort()
    await runner.cleanup()
