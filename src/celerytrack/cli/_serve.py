"""Runs an aiohttp application on a uvloop event loop until SIGTERM or SIGINT."""

import asyncio
import signal
from collections.abc import Awaitable, Callable

import aiomisc
import uvloop
from aiohttp import web

SHUTDOWN_TIMEOUT_S = 5.0
"""Time that in-flight requests get to finish when a server closes. Requests that are
then cancelled get the same time again."""

Hook = Callable[[], Awaitable[None]]
Close = Callable[[web.AppRunner], Awaitable[None]]


MakeSite = Callable[[web.AppRunner, str], web.BaseSite]


def _make_site(runner: web.AppRunner, address: str) -> web.BaseSite:
    host, port = address.rsplit(":", 1)
    return web.TCPSite(runner, host, int(port), reuse_address=True)


async def _noop() -> None:
    return None


async def _close(runner: web.AppRunner) -> None:
    await runner.cleanup()


async def serve(
    app: web.Application,
    address: str,
    on_start: Hook = _noop,
    close: Close = _close,
    shutdown_timeout_s: float = SHUTDOWN_TIMEOUT_S,
    make_site: MakeSite = _make_site,
) -> None:
    """Serve ``app`` on ``address`` (``host:port``) until a stop signal.

    :param on_start: awaited before the port opens.
    :param close: awaited after the signal, while the port is still open; closes it.
    :param make_site: makes the listening socket.
    :param shutdown_timeout_s: how long closing waits for in-flight requests.
    """
    await on_start()
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=shutdown_timeout_s)
    await runner.setup()
    await make_site(runner, address).start()
    await stop_event().wait()
    await close(runner)


def stop_event() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, stop.set)
    return stop


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run ``main`` on a uvloop event loop inside aiomisc's entrypoint."""
    with aiomisc.entrypoint(
        log_config=False, loop_factory=uvloop.new_event_loop, catch_signals=()
    ) as loop:
        loop.run_until_complete(main())
