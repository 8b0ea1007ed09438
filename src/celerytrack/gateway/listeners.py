"""The listening sockets of an entry, and the connections accepted on them."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web

from celerytrack.callers.connections import MAX_HEADER_BYTES, ConnectionTable
from celerytrack.callers.sites import CallerSite
from celerytrack.events import Event, log_event
from celerytrack.faults import describe, place_of

_log = logging.getLogger(__name__)

KEEPALIVE_TIMEOUT_S = 60.0
"""Idle time after which a caller's connection is closed: several times the idle time
after which callers stop reusing it, so that no request is sent as it closes."""
SHUTDOWN_TIMEOUT_S = 0.05
"""Time for a request that is in progress when its listener closes to end, and the same
time again after it is cancelled."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Listeners:
    """Owns the listening sockets and their connections."""

    def __init__(self) -> None:
        self._servers: list[web.Server] = []
        self._runners: list[web.ServerRunner] = []

    async def open(
        self, address: str | None, handler: Handler, table: ConnectionTable
    ) -> None:
        """Serve ``handler`` on ``address`` (``host:port``), unless it is ``None``."""
        if address is None:
            return
        server = web.Server(_guarded(handler), handler_cancellation=True)
        runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        self._servers.append(server)
        self._runners.append(runner)
        await runner.setup()
        site = CallerSite(
            runner,
            address,
            table,
            keepalive_timeout=KEEPALIVE_TIMEOUT_S,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        await site.start()

    def unsent_bytes(self) -> int:
        """Bytes of answers that are still in the write buffers of this process."""
        transports = (
            connection.transport
            for server in self._servers
            for connection in server.connections
        )
        return sum(t.get_write_buffer_size() for t in transports if t is not None)

    async def close(self) -> None:
        """Close all listeners concurrently."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))


def _guarded(handler: Handler) -> Handler:
    """Answer 503 if ``handler`` raises what it doesn't foresee.

    Callers' requests get their verdict before (``unforeseen.py``); this is for probes,
    queries of addresses and calls of other entries, who take each failure alike.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        try:
            return await handler(request)
        except (web.HTTPException, ConnectionError):
            raise
        except Exception as exc:
            log_event(
                _log,
                Event.REQUEST_FAULTED,
                logging.ERROR,
                place=place_of(exc),
                detail=describe(exc),
            )
            return web.Response(status=503)

    return handle
