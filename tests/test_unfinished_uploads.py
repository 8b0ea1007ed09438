"""Endpoints that answer a long upload before they have read it."""

import asyncio
import socket
import struct
import unittest
from collections.abc import Awaitable, Callable

from nose2.tools import params

from tests.gateway_fleet import Fleet
from tests.raw_endpoints import (
    RawAnswer,
    RawEndpoint,
    RawRequest,
    answer_head,
    ask_raw,
    chunk,
    event,
    health_answer,
)

UPLOAD_BYTES = 700_000
READ_BUFFER_BYTES = 4_096
"""Receive buffer of an endpoint that doesn't read."""
LATER_S = 0.2
PART = event(1) + event(2)
PATHS = ("/plain/x", "/once/x", "/stream/x", "/resume/x")
CHUNKED = "Transfer-Encoding: chunked"
TOO_LARGE = "413 Content Too Large"

End = Callable[[asyncio.StreamWriter], Awaitable[None]]


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def _reset_at_once(writer: asyncio.StreamWriter) -> None:
    await writer.drain()
    _reset(writer)


async def _reset_later(writer: asyncio.StreamWriter) -> None:
    await writer.drain()
    await asyncio.sleep(LATER_S)
    _reset(writer)


async def _end_then_reset(writer: asyncio.StreamWriter) -> None:
    await writer.drain()
    writer.write_eof()
    await asyncio.sleep(LATER_S)
    _reset(writer)


async def _end_then_read(writer: asyncio.StreamWriter) -> None:
    """Go on to read the upload after the end of the answer."""
    await writer.drain()
    writer.write_eof()
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, UPLOAD_BYTES
    )
    await asyncio.sleep(LATER_S)


class HastyEndpoint(RawEndpoint):
    """An endpoint that answers as soon as it has the head of a request.

    :param answer: the status and fields, and the body.
    :param end: how it ends the connection.
    :param reads_first: whether it reads the request to its end before.
    """

    def __init__(
        self,
        name: str,
        head: tuple[str, ...],
        body: bytes,
        end: End,
        reads_first: bool = False,
    ) -> None:
        async def no_script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
            raise AssertionError

        super().__init__(name, no_script)
        self._answer = head, body
        self._end = end
        self._reads_first = reads_first

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        sock = writer.get_extra_info("socket")
        if not self._reads_first:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BUFFER_BYTES)
        try:
            text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            request = RawRequest(self.name, text)
            if request.header("Content-Length") is None:
                writer.write(health_answer(self.name))
                return
            if self._reads_first:
                await reader.readexactly(UPLOAD_BYTES)
            else:
                # Otherwise the library reads on into its own buffer.
                writer.transport.pause_reading()  # type: ignore[attr-defined]
            head, body = self._answer
            writer.write(answer_head(request, *head) + body)
            await self._end(writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


BROKEN = {
    "no length, then an end and a reset": ((), PART, _end_then_reset),
    "no length, then an end": ((), PART, _end_then_read),
    "no length, then a reset": ((), PART, _reset_at_once),
    "no length, then a reset later": ((), PART, _reset_later),
    "a length, then an end and a reset": (
        ("Content-Length: 100",),
        PART,
        _end_then_reset,
    ),
    "a length, then a reset": (("Content-Length: 100",), PART, _reset_at_once),
    "chunks, then an end and a reset": ((CHUNKED,), chunk(PART), _end_then_reset),
    "chunks, then a reset": ((CHUNKED,), chunk(PART), _reset_at_once),
}
"""What of a 200 comes before its end."""
SOUND = {
    # status and fields, body, how it ends, whether the upload was read
    "a whole 413 with a length": (
        (TOO_LARGE, f"Content-Length: {len(PART)}"),
        PART,
        _end_then_read,
        False,
    ),
    "a whole 413 in chunks": (
        (TOO_LARGE, CHUNKED),
        chunk(PART) + chunk(b""),
        _end_then_read,
        False,
    ),
    "a 413 without a length": ((TOO_LARGE,), PART, _end_then_read, False),
    "a whole 200 with a length": (
        ("200 OK", f"Content-Length: {len(PART)}"),
        PART,
        _end_then_read,
        False,
    ),
    "a 200 without a length after the upload": (
        ("200 OK",),
        PART,
        _end_then_read,
        True,
    ),
}


async def _upload(path: str, endpoint: HastyEndpoint) -> RawAnswer:
    async with Fleet(endpoint) as fleet:
        return await ask_raw(fleet, path, "r1", body=b"b" * UPLOAD_BYTES)


class UnfinishedUploadTest(unittest.TestCase):
    @params(*((name, path) for name in BROKEN for path in PATHS))
    def test_a_part_of_an_answer_to_an_upload_is_not_whole(
        self, name: str, path: str
    ) -> None:
        """The part that an endpoint sent before it gave up was taken for whole, since
        its connection ended in order before the reset."""
        fields, body, end = BROKEN[name]
        endpoint = HastyEndpoint("i-0", ("200 OK", *fields), body, end)
        answer = asyncio.run(_upload(path, endpoint))
        self.assertFalse(answer.status == 200 and answer.whole, answer)
        self.assertNotEqual(answer.status, 0, answer)

    @params(*((name, path) for name in SOUND for path in PATHS))
    def test_an_early_answer_that_is_whole_is_passed_on(
        self, name: str, path: str
    ) -> None:
        head, body, end, reads_first = SOUND[name]
        endpoint = HastyEndpoint("i-0", head, body, end, reads_first)
        answer = asyncio.run(_upload(path, endpoint))
        status = int(head[0].split()[0])
        self.assertEqual((answer.status, answer.body), (status, PART), answer)
        self.assertTrue(answer.whole, answer)
