"""Answers without length whose endpoint's process is killed."""

import asyncio
import unittest

from nose2.tools import params

from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.gateway_fleet import Fleet
from tests.raw_endpoints import (
    RawAnswer,
    RawEndpoint,
    RawRequest,
    answer_head,
    ask_raw,
    event,
)

CUT_AFTER = 3
EVENTS = 6
EACH_ONCE = [1, 1]
READ_S = 0.1
FILLED_S = 0.2
POLL_S = 0.02
DEREGISTERED_S = 2.5
DRAINING_KNOWN_S = 0.5
BUSY_S = 1.8
"""Nearly the timeout of the routes."""


class KilledEndpoint(RawEndpoint):
    """An endpoint that ends in a stream as a killed process does: its listener first,
    then its connections, by FIN.

    :param killed: names of those that have ended; only one of them does.
    """

    def __init__(self, name: str, killed: list[str] | None = None) -> None:
        super().__init__(name, self._stream)
        self._killed = [] if killed is None else killed

    async def start(self) -> "KilledEndpoint":  # type: ignore[override]
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        return self

    async def cleanup(self) -> None:
        self._server.close()

    async def _stream(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if self._killed:
            await _go_on(request, writer)
            return
        self._killed.append(self.name)
        begun = b"".join(event(number) for number in range(1, CUT_AFTER + 1))
        writer.write(answer_head(request) + begun)
        await writer.drain()
        await asyncio.sleep(READ_S)
        self._server.close()


class DeregisteredEndpoint(KilledEndpoint):
    """An endpoint whose registration goes, then its listener."""

    fleet: Fleet

    async def _stream(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        self.fleet.log.put(ENDPOINTS_TOPIC, self.name, b"")
        endpoints = self.fleet.gateways[0].endpoints
        async with asyncio.timeout(DEREGISTERED_S):
            while endpoints.registered_ids():
                await asyncio.sleep(POLL_S)
        self._server.close()
        await _go_on(request, writer)


class DrainingEndpoint(KilledEndpoint):
    """An endpoint that is killed while it is registered as draining."""

    fleet: Fleet

    async def _stream(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        registration = self.registration(state="draining")
        self.fleet.log.put(ENDPOINTS_TOPIC, self.name, registration)
        await asyncio.sleep(DRAINING_KNOWN_S)
        await super()._stream(request, writer)


class BusyEndpoint(RawEndpoint):
    """An endpoint whose answers take long, and that answers no check meanwhile."""

    def __init__(self, name: str) -> None:
        super().__init__(name, self._answer, answers_checks=False)

    async def _answer(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        if not request.request_id:
            await asyncio.sleep(BUSY_S / 2)
            return
        await asyncio.sleep(BUSY_S)
        await _go_on(request, writer)


class FullEndpoint(RawEndpoint):
    """An endpoint that takes no more connections as its answers end."""

    def __init__(self, name: str) -> None:
        super().__init__(name, self._stream)
        self._waiting: list[asyncio.StreamWriter] = []

    async def start(self) -> "FullEndpoint":  # type: ignore[override]
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, backlog=1
        )
        return self

    async def cleanup(self) -> None:
        for writer in self._waiting:
            writer.close()
        self._server.close()

    async def _stream(self, request: RawRequest, writer: asyncio.StreamWriter) -> None:
        listener = self._server.sockets[0].fileno()
        asyncio.get_running_loop().remove_reader(listener)
        try:
            async with asyncio.timeout(FILLED_S):
                while True:
                    connection = await asyncio.open_connection("127.0.0.1", self.port)
                    self._waiting.append(connection[1])
        except TimeoutError:
            await _go_on(request, writer)


class KilledEndpointTest(unittest.TestCase):
    def test_a_stream_of_a_killed_process_does_not_look_complete(self) -> None:
        """The kernel ends the connections of a killed process with FIN, the end of an
        answer without length: callers got three of six events as a whole stream."""
        answer = asyncio.run(_ask_killed("/stream/x"))
        self.assertEqual(answer.body.count(b"id: "), CUT_AFTER)
        self.assertFalse(answer.whole)

    def test_a_plain_answer_of_a_killed_process_does_not_look_complete(self) -> None:
        answer = asyncio.run(_ask_killed("/once/x"))
        self.assertEqual(answer.status, 502)

    def test_a_resumable_stream_of_a_killed_process_goes_on_elsewhere(self) -> None:
        """Whichever endpoint is asked first is killed."""
        answer, asked = asyncio.run(_ask_two())
        self.assertEqual(asked, EACH_ONCE)
        self.assertEqual(answer.body.count(b"id: "), EVENTS)
        self.assertTrue(answer.whole)

    def test_an_answer_of_a_process_that_lives_is_complete(self) -> None:
        answer = asyncio.run(_ask_sound())
        self.assertEqual(answer.body.count(b"id: "), EVENTS)
        self.assertTrue(answer.whole)

    @params("/stream/x", "/once/x")
    def test_an_answer_of_an_endpoint_that_is_gone_does_not_look_complete(
        self, path: str
    ) -> None:
        """An entry that had been stopped read that a killed endpoint was gone before it
        read the end of its connection, and took that for a planned one."""
        answer = asyncio.run(_ask_leaving(path, DeregisteredEndpoint("i-0")))
        self.assertFalse(answer.status == 200 and answer.whole)

    @params("/stream/x", "/once/x")
    def test_an_answer_of_a_draining_endpoint_that_is_killed_does_not_look_complete(
        self, path: str
    ) -> None:
        """The end of its connection was believed since it leaves."""
        answer = asyncio.run(_ask_leaving(path, DrainingEndpoint("i-0")))
        self.assertFalse(answer.status == 200 and answer.whole)

    @params("/stream/x", "/once/x")
    def test_a_whole_answer_is_not_lost_to_the_check_of_its_end(
        self, path: str
    ) -> None:
        """The endpoint was busy, and the check lasted past the deadline."""
        answer = asyncio.run(_ask_busy(path))
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body.count(b"id: "), EVENTS)
        self.assertTrue(answer.whole)

    @params("/stream/x", "/once/x")
    def test_an_answer_of_an_endpoint_without_room_for_connections_is_complete(
        self, path: str
    ) -> None:
        """A connection that isn't accepted in time is no sign of a process that ended:
        whole answers of endpoints at their limit of connections were refused."""
        answer = asyncio.run(_ask_full(path))
        self.assertEqual(answer.status, 200)
        self.assertEqual(answer.body.count(b"id: "), EVENTS)
        self.assertTrue(answer.whole)


async def _go_on(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    after = int(request.header("Last-Event-Id") or 0)
    rest = b"".join(event(number) for number in range(after + 1, EVENTS + 1))
    writer.write(answer_head(request) + rest)


async def _ask_killed(path: str) -> RawAnswer:
    async with Fleet(KilledEndpoint("i-0")) as fleet:
        return await ask_raw(fleet, path, "r1")


async def _ask_two() -> tuple[RawAnswer, list[int]]:
    """The answer to a request, and how often each of two endpoints was asked."""
    killed: list[str] = []
    endpoints = [KilledEndpoint(f"i-{n}", killed) for n in range(2)]
    async with Fleet(*endpoints) as fleet:
        answer = await ask_raw(fleet, "/resume/x", "r1")
    ids = [[r.request_id for r in endpoint.requests] for endpoint in endpoints]
    return answer, [sent.count("r1") for sent in ids]


async def _ask_sound() -> RawAnswer:
    async with Fleet(RawEndpoint("i-0", _go_on)) as fleet:
        return await ask_raw(fleet, "/stream/x", "r1")


async def _ask_full(path: str) -> RawAnswer:
    async with Fleet(FullEndpoint("i-0")) as fleet:
        return await ask_raw(fleet, path, "r1")


async def _ask_busy(path: str) -> RawAnswer:
    async with Fleet(BusyEndpoint("i-0")) as fleet:
        return await ask_raw(fleet, path, "r1")


async def _ask_leaving(
    path: str, endpoint: DeregisteredEndpoint | DrainingEndpoint
) -> RawAnswer:
    async with Fleet(endpoint) as fleet:
        endpoint.fleet = fleet
        return await ask_raw(fleet, path, "r1")
