"""Servers that write scripted bytes and answer no one but by their script."""

import asyncio
from collections.abc import Awaitable, Callable

RawReply = Callable[[int, bytes, asyncio.StreamWriter], Awaitable[None]]
"""Gets the number of the request among all, its head, and where to write."""


class RawServer:
    """Answers requests with ``reply``, and keeps their connections.

    :ivar heads: of the requests.
    :ivar connections: how many were made.
    """

    def __init__(self, reply: RawReply) -> None:
        self.heads: list[bytes] = []
        self.connections = 0
        self._reply = reply
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def __aenter__(self) -> "RawServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                for line in head.lower().split(b"\r\n"):
                    if line.startswith(b"content-length:"):
                        await reader.readexactly(int(line.partition(b":")[2]))
                self.heads.append(head)
                await self._reply(len(self.heads) - 1, head, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def raw_answer(body: bytes, status: str = "200 OK") -> bytes:
    """An answer with its length."""
    return b"HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s" % (
        status.encode(),
        len(body),
        body,
    )
