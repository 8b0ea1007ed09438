"""Listening sockets whose connections are bounded."""

import asyncio
import functools
from typing import Any

from aiohttp import web

from celerytrack.callers.connections import (
    LINGERING_S,
    READ_BUFFER_BYTES,
    CallerConnection,
    ConnectionTable,
)

BACKLOG = 1_024
"""Connections that may wait to be accepted."""


class CallerSite(web.BaseSite):
    """Accepts callers' connections for a runner.

    :param table: bounds the connections.
    :param options: of the library's connections.
    """

    def __init__(
        self, runner: Any, address: str, table: ConnectionTable, **options: Any
    ) -> None:
        super().__init__(runner, backlog=BACKLOG)
        self._address = address
        self._table = table
        self._options = options

    @property
    def name(self) -> str:
        """Where it listens."""
        return f"http://{self._address}"

    async def start(self) -> None:
        """Open the listening socket."""
        await super().start()
        loop = asyncio.get_running_loop()
        assert self._runner.server is not None
        host, port = self._address.rsplit(":", 1)
        connect = functools.partial(
            CallerConnection,
            self._runner.server,
            self._table,
            loop=loop,
            access_log=None,
            auto_decompress=False,
            read_bufsize=READ_BUFFER_BYTES,
            lingering_time=LINGERING_S,
            **self._options,
        )
        self._server = await loop.create_server(
            connect, host, int(port), backlog=self._backlog, reuse_address=True
        )
