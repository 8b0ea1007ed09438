"""Checks of which process is at an endpoint's address."""

import asyncio
import unittest

from nose2.tools import params

from celerytrack.gateway.identity_checks import Identity, check_identity
from celerytrack.ids import EndpointId
from tests.gateway_fleet import Fleet, free_port
from tests.raw_endpoints import RawAnswer, RawEndpoint, RawRequest, ask_raw
from tests.test_killed_endpoints import CUT_AFTER, KilledEndpoint

ASKED = EndpointId("i-7")


async def _check(answer: bytes | None) -> tuple[Identity, bytes]:
    port = free_port()
    asked = b""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal asked
        asked = await reader.readuntil(b"\r\n\r\n")
        writer.write(answer or b"")
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", port)
    async with server:
        return await check_identity(f"127.0.0.1:{port}", ASKED, "/alive"), asked


class IdentityTest(unittest.TestCase):
    @params(
        (b"HTTP/1.1 200 OK\r\nX-Replica-Id: i-7\r\n\r\n", Identity.SAME),
        (b"HTTP/1.1 200 OK\r\nx-replica-id:i-7\r\n\r\n", Identity.SAME),
        (b"HTTP/1.1 200 OK\r\nX-Replica-Id: i-8\r\n\r\n", Identity.OTHER),
        (b"HTTP/1.1 503 Full\r\nX-Replica-Id: i-8\r\n\r\n", Identity.OTHER),
        (b"HTTP/1.1 421 Other\r\n\r\n", Identity.OTHER),
        (b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\n", Identity.SAME),
        (b"HTTP/1.1 404 No\r\n\r\n", Identity.SAME),
        (b"\xff\xfe no answer \r\n\r\n", Identity.SAME),
        (b"HTTP/1.1 200 OK\r\nX-Rep", Identity.CLOSED),
        (None, Identity.CLOSED),
    )
    def test_answers(self, answer: bytes | None, expected: Identity) -> None:
        identity, asked = asyncio.run(_check(answer))
        self.assertIs(identity, expected)
        self.assertTrue(asked.startswith(b"GET /alive HTTP/1.1\r\n"))
        self.assertIn(b"\r\nX-Expect-Replica: i-7\r\n", asked)

    def test_nobody_listens(self) -> None:
        address = f"127.0.0.1:{free_port()}"
        identity = asyncio.run(check_identity(address, ASKED, "/alive"))
        self.assertIs(identity, Identity.NONE)


class ReplacedEndpoint(KilledEndpoint):
    """An endpoint whose successor is at its address before its connections end."""

    def __init__(self, name: str, answer: bytes) -> None:
        super().__init__(name)
        self._answer = answer

    async def _stream(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await super()._stream(request, writer)

        async def be_another(check: RawRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(self._answer)

        successor = RawEndpoint("i-9", be_another)
        successor.port = self.port
        await successor.start()


async def _ask_replaced(status: bytes) -> RawAnswer:
    answer = b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status
    async with Fleet(ReplacedEndpoint("i-0", answer)) as fleet:
        return await ask_raw(fleet, "/stream/x", "r1")


class ReplacedEndpointTest(unittest.TestCase):
    @params(b"421 Other", b"503 Full", b"404 Not Found")
    def test_a_stream_of_a_process_that_was_replaced_does_not_look_complete(
        self, status: bytes
    ) -> None:
        """Another process took the connection that was to show that the one lives."""
        answer = asyncio.run(_ask_replaced(status))
        self.assertEqual(answer.body.count(b"id: "), CUT_AFTER)
        self.assertFalse(answer.whole)
