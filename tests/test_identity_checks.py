"""Checks of which process is at an endpoint's address."""

import asyncio
import unittest

from nose2.tools import params

from celerytrack.gateway.identity_checks import Identity, check_identity
from celerytrack.ids import EndpointId
from tests.cut_answers import Cut, CutServer, Framing, body_begins, cuts, frame
from tests.gateway_fleet import Fleet, free_port
from tests.raw_endpoints import RawAnswer, RawEndpoint, RawRequest, ask_raw
from tests.test_killed_endpoints import CUT_AFTER, EVENTS, KilledEndpoint, _go_on

ASKED = EndpointId("i-7")
AT_ONCE = 10


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
        (b"HTTP/1.1 429 Full\r\nx-not-executed: 1\r\n\r\n", Identity.SAME),
        (b"HTTP/1.1 503 Leaves\r\nX-Replica-Id: i-7\r\n\r\n", Identity.SAME),
        (b"HTTP/1.1 421 Other\r\nX-Not-Executed: 1\r\n\r\n", Identity.OTHER),
        (b"HTTP/1.1 200 OK\r\n\r\n", Identity.UNNAMED),
        (b"HTTP/1.1 503 Full\r\n\r\n", Identity.UNNAMED),
        (b"HTTP/1.1 400 No Id\r\nX-Not-Executed: 1\r\n\r\n", Identity.UNNAMED),
        (b"HTTP/1.1 404 No\r\n\r\n", Identity.UNNAMED),
        (b"\xff\xfe no answer \r\n\r\n", Identity.UNNAMED),
        (b"HTTP/1.1 000 OK\r\nX-Replica-Id: i-7\r\n\r\n", Identity.UNNAMED),
        (b"HTTP/1.1 200 OK\r\nX-Replica-Id : i-7\r\n\r\n", Identity.UNNAMED),
        (b"HTTP/1.1 200 OK\r\nX-Replica-Id: i-7\x01\r\n\r\n", Identity.UNNAMED),
        (b"HTTP/2.0 200 OK\r\nX-Replica-Id: i-7\r\n\r\n", Identity.UNNAMED),
        (b"ICY 200 OK\r\nX-Replica-Id: i-7\r\n\r\n", Identity.UNNAMED),
        (b"HTTP/1.1 200 OK\nX-Replica-Id: i-7\n\n", Identity.SAME),
        (
            b"HTTP/1.1 100 \r\n\r\nHTTP/1.1 200 \r\nX-Replica-Id: i-7\r\n\r\n",
            Identity.SAME,
        ),
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

        successor = RawEndpoint("i-9", be_another, answers_checks=False)
        successor.port = self.port
        await successor.start()


async def _ask_replaced(status: bytes) -> RawAnswer:
    answer = b"HTTP/1.1 %s\r\nContent-Length: 0\r\n\r\n" % status
    async with Fleet(ReplacedEndpoint("i-0", answer)) as fleet:
        return await ask_raw(fleet, "/stream/x", "r1")


async def _check_each() -> set[tuple[bool, Identity]]:
    """What checks say whose answer stops at each place, and whether its head ended."""
    answer = frame(b"good", Framing.LENGTH, "X-Replica-Id: i-7")
    begins = body_begins(answer)
    room = asyncio.Semaphore(AT_ONCE)

    async def one(cut: Cut) -> tuple[bool, Identity]:
        async with room, CutServer(answer, cut) as server:
            identity = await check_identity(server.address, ASKED, "/alive")
            return cut.size >= begins, identity

    return set(await asyncio.gather(*map(one, cuts(answer))))


class CutCheckTest(unittest.TestCase):
    def test_a_head_that_stops_says_nothing(self) -> None:
        """The begin of an answer to a check counted as the endpoint's, or another's."""
        said = asyncio.run(_check_each())
        self.assertEqual(said, {(False, Identity.CLOSED), (True, Identity.SAME)})


class CheckedEndpoint(RawEndpoint):
    """A sound endpoint that answers checks of its health with ``answer``."""

    def __init__(self, name: str, answer: bytes) -> None:
        super().__init__(name, self._serve_all, answers_checks=False)
        self._answer = answer

    async def _serve_all(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        if request.request_id:
            await _go_on(request, writer)
        else:
            writer.write(self._answer)


async def _ask_checked(answer: bytes, path: str) -> RawAnswer:
    async with Fleet(CheckedEndpoint("i-0", answer)) as fleet:
        return await ask_raw(fleet, path, "r1")


class CheckedEndpointTest(unittest.TestCase):
    @params(
        *(
            (path, answer)
            for path in ("/stream/x", "/once/x")
            for answer in (
                b"HTTP/1.1 200 OK\r\nX-Replica-Id: i-0\r\n\r\n",
                b"HTTP/1.1 503 Leaves\r\nX-Replica-Id: i-0\r\n\r\n",
                b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n\r\n",
                b"HTTP/1.1 429 Full\r\nX-Not-Executed: 1\r\n\r\n",
                b"",
            )
        )
    )
    def test_a_whole_answer_is_passed_on(self, path: str, answer: bytes) -> None:
        """Answers of endpoints that leave, are full, or take no more connections were
        taken for cut, since the check of their process was rejected."""
        got = asyncio.run(_ask_checked(answer, path))
        self.assertEqual((got.status, got.body.count(b"id: ")), (200, EVENTS))
        self.assertTrue(got.whole)


class ReplacedEndpointTest(unittest.TestCase):
    @params(b"421 Other", b"503 Full", b"404 Not Found")
    def test_a_stream_of_a_process_that_was_replaced_does_not_look_complete(
        self, status: bytes
    ) -> None:
        """Another process took the connection that was to show that the one lives."""
        answer = asyncio.run(_ask_replaced(status))
        self.assertEqual(answer.body.count(b"id: "), CUT_AFTER)
        self.assertFalse(answer.whole)
