"""The sockets on which an entry is asked, and the connections taken on them."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

from aiohttp import web

CALLER_IDLE_S = 60.0
"""Idle time after which a caller's connection is closed: several times as long as
callers reuse theirs, so that none meets our close."""
HEADER_BYTES = 65_536
"""Header bytes taken: four times what callers may send."""
BODY_BYTES = 16 * 1024 * 1024
"""Body bytes read before a request is refused as too large, whatever the
configuration allows: a bound on memory."""
CANCELLED_WITHIN_S = 0.05
"""How long a request that is in progress when its listener closes may take to end, and
as long again once it was cancelled."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Listeners:
    """Owns the listening sockets and their connections."""

    def __init__(self) -> None:
        self._servers: list[web.Server] = []
        self._runners: list[web.ServerRunner] = []

    async def open(self, address: str | None, handler: Handler) -> None:
        """Answer with ``handler`` on ``address`` (``host:port``), if there is one."""
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
        runner = web.ServerRunner(server, shutdown_timeout=CANCELLED_WITHIN_S)
        self._servers.append(server)
        self._runners.append(runner)
        await runner.setup()
        await web.TCPSite(runner, host, int(port), backlog=1024).start()

    def unsent_bytes(self) -> int:
        """Bytes of answers that have not left this process."""
        transports = (
            connection.transport
            for server in self._servers
            for connection in server.connections
        )
        return sum(t.get_write_buffer_size() for t in transports if t is not None)

    async def close(self) -> None:
        """Close all of them, side by side."""
        await asyncio.gather(*(runner.cleanup() for runner in self._runners))


def _make_request(
    message: Any, payload: Any, protocol: Any, writer: Any, task: Any
) -> web.BaseRequest:
    # The library takes 1 MiB of a body as a rule; callers may send more.
    loop = asyncio.get_running_loop()
    return web.BaseRequest(
        message, payload, protocol, writer, task, loop, client_max_size=BODY_BYTES
    )
