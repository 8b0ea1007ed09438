"""Streams whose answers have no length and end with their connection."""

import asyncio
import itertools
import re
import socket
import struct
import unittest

import aiohttp
import attrs
from nose2.tools import params

from tests.gateway_fleet import Endpoint, Fleet

ENDPOINTS = 3
EVENTS = 10
BREAKS_AFTER = 5
BREAKS_EVERY = 4
STREAMS = 24
NO_LINGER = struct.pack("ii", 1, 0)


@attrs.frozen
class _Runner:
    server: asyncio.Server

    async def cleanup(self) -> None:
        self.server.close()


class ClosingEndpoint(Endpoint):
    """An endpoint that ends each answer with its connection.

    :param answers: numbers the answers of all endpoints; one in four breaks.
    :param resets: whether one that breaks is reset, else it ends inside an event.
    """

    def __init__(
        self, name: str, answers: "itertools.count[int]", resets: bool
    ) -> None:
        async def no_script(request: object) -> None: ...

        super().__init__(name, no_script)  # type: ignore[arg-type]
        self._answers = answers
        self._resets = resets

    async def start(self) -> _Runner:  # type: ignore[override]
        return _Runner(await asyncio.start_server(self._serve, "127.0.0.1", self.port))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            await reader.readexactly(int(_header(head, "Content-Length") or 0))
            await self._answer(head, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            # A check of the endpoint sends nothing.
            pass
        finally:
            writer.close()

    async def _answer(self, head: str, writer: asyncio.StreamWriter) -> None:
        request_id = _header(head, "X-Attempt-Id")
        breaks = next(self._answers) % BREAKS_EVERY == BREAKS_EVERY - 1
        writer.write(
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request_id}\r\n"
            "X-Response-Seal: seal\r\n\r\n".encode()
        )
        first = int(_header(head, "Last-Event-Id") or 0) + 1
        for number in range(first, EVENTS + 1):
            if breaks and number > BREAKS_AFTER:
                await self._break(writer)
                return
            writer.write(b"id: %d\ndata: t\n\n" % number)
            await writer.drain()
            await asyncio.sleep(0.002)

    async def _break(self, writer: asyncio.StreamWriter) -> None:
        if self._resets:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            writer.transport.abort()
        else:
            writer.write(b"id: 6\nda")
            await writer.drain()


def _header(head: str, name: str) -> str | None:
    found = re.search(rf"^{name}: *(.*?)\r$", head, re.M | re.I)
    return found[1] if found else None


class ClosingAnswersTest(unittest.TestCase):
    @params(True, False)
    def test_a_stream_that_breaks_goes_on(self, resets: bool) -> None:
        """The broken connection was the last one to its endpoint, which was in doubt
        from then on, and streams of it were cut."""
        whole = asyncio.run(_count_whole(resets))
        self.assertEqual(whole, STREAMS)


async def _count_whole(resets: bool) -> int:
    answers = itertools.count()
    closing = [ClosingEndpoint(f"i-{n}", answers, resets) for n in range(ENDPOINTS)]
    expected = b"".join(b"id: %d\ndata: t\n\n" % n for n in range(1, EVENTS + 1))
    whole = 0
    async with Fleet(*closing) as fleet:
        for number in range(STREAMS):
            try:
                status, _, body = await fleet.ask("/resume/x", f"r{number}")
            except aiohttp.ClientError:
                continue
            whole += status == 200 and body == expected
    return whole
