"""A replica stand-in that a marked request crashes and that restarts after a delay.

The stand-in's own process keeps running. For a crash it closes its port and aborts all
connections, so that callers see what they would see of a crashed process. After
``restart_delay_s`` it serves again with a new application and an empty state.
"""

import asyncio
from collections.abc import Callable

import attrs
from aiohttp import web

from celerytrack.cli._serve import SHUTDOWN_TIMEOUT_S, stop_event

CRASH_CLEANUP_S = 0.1
"""Time for the handlers of a crashed application to be cancelled."""


@attrs.define
class MarkedCrash:
    """The marker that crashes a stand-in, and the number of its starts.

    :ivar marker: a request whose body contains it crashes the stand-in; empty for none.
    :ivar restart_delay_s: time from a crash until the stand-in serves again.
    :ivar starts: starts so far, the first included.
    """

    marker: str = ""
    restart_delay_s: float = 2.0
    starts: int = 0
    crashed: asyncio.Event = attrs.field(factory=asyncio.Event)

    async def crash_if_marked(self, text: str) -> None:
        """Crash if ``text`` contains the marker; then this call never returns."""
        if not self.marker or self.marker not in text:
            return
        self.crashed.set()
        await asyncio.Event().wait()


async def serve_with_crashes(
    make_app: Callable[[], web.Application], address: str, marked: MarkedCrash
) -> None:
    """Serve on ``address`` until a stop signal; restart after each crash.

    :param make_app: makes the application of each start.
    """
    stop = stop_event()
    while not stop.is_set():
        marked.crashed.clear()
        marked.starts += 1
        wait_s = CRASH_CLEANUP_S if marked.marker else SHUTDOWN_TIMEOUT_S
        runner = await _start(make_app(), address, wait_s)
        await _wait_any(stop, marked.crashed)
        if marked.crashed.is_set():
            await _crash(runner)
            await asyncio.sleep(marked.restart_delay_s)
        else:
            await runner.cleanup()


async def _start(app: web.Application, address: str, wait_s: float) -> web.AppRunner:
    host, port = address.rsplit(":", 1)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=wait_s)
    await runner.setup()
    await web.TCPSite(runner, host, int(port), reuse_address=True).start()
    return runner


async def _wait_any(*events: asyncio.Event) -> None:
    waits = [asyncio.ensure_future(event.wait()) for event in events]
    await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
    for wait in waits:
        wait.cancel()


async def _crash(runner: web.AppRunner) -> None:
    for site in list(runner.sites):
        await site.stop()
    assert runner.server is not None
    for connection in runner.server.connections:
        if connection.transport is not None:
            connection.transport.abort()
    await runner.cleanup()
