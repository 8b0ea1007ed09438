"""Servers whose answers stop at any byte."""

import asyncio
import enum
import socket
import struct

import attrs

from tests.raw_endpoints import chunk

HOLD_S = 0.004
"""Time for what was written to arrive before a reset, which overtakes it."""
HALF_CLOSED_S = 0.5


class End(enum.Enum):
    """How a connection ends after the bytes of a cut answer."""

    FIN = "fin"
    RESET = "reset"
    HALF_CLOSE = "half close"
    """The server reads on, and takes what the client still writes."""


class Framing(enum.Enum):
    """What tells where the body of an answer ends."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION = "connection"


@attrs.frozen
class Cut:
    """An answer that stops after ``size`` bytes."""

    size: int
    end: End


def frame(
    body: bytes, framing: Framing, *headers: str, status: str = "200 OK"
) -> bytes:
    """A whole answer."""
    lines = [f"HTTP/1.1 {status}", *headers]
    if framing is Framing.LENGTH:
        lines.append(f"Content-Length: {len(body)}")
    if framing is Framing.CHUNKED:
        lines.append("Transfer-Encoding: chunked")
        body = (chunk(body) if body else b"") + b"0\r\n\r\n"
    return "\r\n".join([*lines, "", ""]).encode() + body


def cuts(answer: bytes, coarse: int = 9) -> list[Cut]:
    """Each byte of an answer at which a FIN follows, and some for the other ends."""
    size = len(answer)
    return [Cut(n, End.FIN) for n in range(size)] + [
        Cut(n, end)
        for end in (End.RESET, End.HALF_CLOSE)
        for n in range(0, size, coarse)
    ]


def body_begins(answer: bytes) -> int:
    """Where the head of an answer ends."""
    return answer.index(b"\r\n\r\n") + 4


class CutServer:
    """Answers each request with ``answer`` up to ``cut``, and ends the connection.

    :ivar requests: how many came.
    """

    def __init__(self, answer: bytes, cut: Cut) -> None:
        self.answer = answer
        self.cut = cut
        self.requests = 0
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    @property
    def address(self) -> str:
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def __aenter__(self) -> "CutServer":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:"):
                    await reader.readexactly(int(line.partition(b":")[2]))
            self.requests += 1
            writer.write(self.answer[: self.cut.size])
            await writer.drain()
            await _end(reader, writer, self.cut.end)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def _end(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, end: End
) -> None:
    if end is End.RESET:
        await asyncio.sleep(HOLD_S)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    if end is End.HALF_CLOSE:
        writer.write_eof()
        async with asyncio.timeout(HALF_CLOSED_S):
            await reader.read(-1)
