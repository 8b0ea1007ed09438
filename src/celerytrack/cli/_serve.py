"""Running an aiohttp application until SIGTERM or SIGINT, on uvloop.

The event loop comes from aiomisc's entrypoint with a uvloop loop factory.
"""

import asyncio
import signal
from collections.abc import Awaitable, Callable

import aiomisc
import uvloop
from aiohttp import web

Hook = Callable[[], Awaitable[None]]


async def _noop() -> None:
    return None


async def serve(
    app: web.Application, address: str, on_start: Hook = _noop, on_stop: Hook = _noop
) -> None:
    """Serve ``app`` on ``address`` (``host:port``) until a stop signal.

    ``on_start`` runs before the port opens; ``on_stop`` (a drain) runs after
    the signal, while the port still serves, then the server closes.
    """
    host, port = address.rsplit(":", 1)
    await on_start()
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=5.0)
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), reuse_address=True)
    await site.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for sig in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(sig, stop.set)
    await stop.wait()
    await on_stop()
    await runner.cleanup()


def run(main: Callable[[], Awaitable[None]]) -> None:
    """Run ``main`` on a uvloop event loop inside aiomisc's entrypoint."""
    with aiomisc.entrypoint(
        log_config=False, loop_factory=uvloop.new_event_loop, catch_signals=()
    ) as loop:
        loop.run_until_complete(main())
