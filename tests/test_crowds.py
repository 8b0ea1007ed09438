"""Crowds of callers on the platform's interface: an entry of its own process lives,
stays within its memory and descriptors, and goes on to serve ordinary callers."""

import asyncio
import contextlib
import json
import signal
import unittest
from collections.abc import AsyncIterator, Iterator

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC, ENDPOINTS_TOPIC
from tests.crowds import (
    MIB,
    Crowd,
    answered,
    chunk,
    head,
    open_descriptors,
    resident_bytes,
    standing,
)
from tests.gateway_fleet import (
    HOST,
    KEY,
    SEAL_HEADERS,
    Endpoint,
    config,
    free_port,
)
from tests.gateway_processes import PEER_PORT, GatewayProcess, loopback_ip
from tests.keyed_log import KeyedLog

BODY_BYTES = MIB
"""Most bytes of a body in the configuration of these tests."""
ANSWER_BYTES = 4 * MIB
BUDGET_BYTES = 8 * MIB
GROWTH_BYTES = 32 * MIB
"""The budget, as much again for copies in use, and 16 MiB for connections and what the
allocator keeps."""
DESCRIPTORS = 160
CONNECTION_LIMIT = 12
"""Connections that an endpoint takes."""
MANY_CONNECTIONS = 360
"""Connections that an endpoint takes which isn't the scarce one."""
ENDPOINT_WAITS_S = 3.0
IDLE_TIMEOUT_S = 3
SLOW_PIECE_BYTES = 16_384
SLOW_PAUSE_S = 0.02
GRACE_S = 8.0
"""Time from SIGTERM to SIGKILL of the processes here."""
SETTINGS = f"""
[callers]
memoryBytes = {BUDGET_BYTES}
"""
HEADERS = {
    "Host": HOST,
    "X-Attempt-Id": "crowd",
    "X-Deadline-Ms": "60000",
    "Authorization": f"Bearer {KEY}",
}
BAD_KEY = {**HEADERS, "Authorization": "Bearer nobody"}
EVENT = b"x" * 8_000
EVENTS = 600


def _config(connection_limit: int, body_bytes: int) -> bytes:
    data = json.loads(config(timeoutMs=60_000))
    data["services"][0]["connLimit"] = connection_limit
    data["limits"] = {
        "headerBytes": 16_384,
        "bodyBytes": body_bytes,
        "headerTimeoutMs": 1_000,
        "idleTimeoutMs": IDLE_TIMEOUT_S * 1_000,
    }
    return json.dumps(data).encode()


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    """Answers as the path asks for."""
    with contextlib.suppress(ConnectionError):
        while await request.content.readany():
            pass
    echo = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
    if request.path.endswith("/waits"):
        await asyncio.sleep(ENDPOINT_WAITS_S)
    if request.path.endswith("/large"):
        return web.Response(body=b"a" * ANSWER_BYTES, headers=echo)
    if not request.path.startswith(("/stream/", "/resume/")):
        return web.Response(body=b"good", headers=echo)
    response = web.StreamResponse(headers=echo)
    await response.prepare(request)
    events = EVENTS if request.path.endswith("/long") else 3
    for i in range(1, events + 1):
        await response.write(b"id: %d\ndata: %s\n\n" % (i, EVENT))
    return response


class Site:
    """One entry process, two endpoints and a log."""

    def __init__(self, port: int, descriptors: int | None = None) -> None:
        store = f"127.0.0.1:{port}"
        self.gateway = GatewayProcess(
            1, store, more_settings=SETTINGS, descriptors=descriptors
        )
        self.http = aiohttp.ClientSession()

    async def ask(self, path: str = "/plain/x") -> int | None:
        """Send an ordinary request on a new connection; returns the status."""
        headers = {**HEADERS, "X-Attempt-Id": "ordinary", "X-Deadline-Ms": "3000"}
        url = f"http://{self.gateway.front_address}{path}"
        connector = aiohttp.TCPConnector(force_close=True)
        async with aiohttp.ClientSession(connector=connector) as http:
            try:
                async with http.post(url, data=b"body", headers=headers) as answer:
                    await answer.read()
                    return answer.status
            except aiohttp.ClientError:
                return None


@contextlib.asynccontextmanager
async def _site(
    descriptors: int | None = None,
    connection_limit: int = CONNECTION_LIMIT,
    body_bytes: int | None = None,
) -> AsyncIterator[Site]:
    log = KeyedLog()
    log.put(
        CONFIG_TOPIC, CONFIG_KEY, _config(connection_limit, body_bytes or BODY_BYTES)
    )
    async with contextlib.AsyncExitStack() as stack:
        for name in ("i-1", "i-2"):
            endpoint = Endpoint(name, _answer)
            stack.push_async_callback((await endpoint.start()).cleanup)
            log.put(ENDPOINTS_TOPIC, name, endpoint.registration())
        port = free_port()
        runner = web.AppRunner(log.make_app(), shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", port).start()
        site = Site(port, descriptors)
        stack.push_async_callback(site.http.close)
        await stack.enter_async_context(site.gateway)
        yield site


def _short_body(
    size_bytes: int, headers: dict[str, str] = HEADERS, path: str = "/plain/x"
) -> Iterator[bytes]:
    """A body that stops a byte before its end."""
    yield head(path, headers, f"Content-Length: {size_bytes}")
    yield b"b" * (size_bytes - 1)


def _whole_body(size_bytes: int, path: str) -> Iterator[bytes]:
    yield head(path, HEADERS, f"Content-Length: {size_bytes}")
    yield b"b" * size_bytes


def _chunked_body(chunks: int) -> Iterator[bytes]:
    """A body without its last chunk."""
    yield head("/plain/x", HEADERS, "Transfer-Encoding: chunked")
    for _ in range(chunks):
        yield chunk(b"b" * (BODY_BYTES // 16))


def _pipelined_body() -> Iterator[bytes]:
    """A request that runs, and on its connection a large one that waits for it."""
    yield from _whole_body(4, "/plain/waits")
    yield from _short_body(BODY_BYTES)


def _no_body(path: str) -> Iterator[bytes]:
    yield head(path, HEADERS, "Content-Length: 0")


def _unfinished_head() -> Iterator[bytes]:
    yield b"POST /plain/x HTTP/1.1\r\nHost: h"


def _nothing() -> Iterator[bytes]:
    yield b""


def _long_head() -> Iterator[bytes]:
    """A head of many large fields that doesn't end."""
    yield b"POST /plain/x HTTP/1.1\r\nHost: h\r\n"
    for i in range(16):
        yield b"X-Field-%d: %s\r\n" % (i, b"h" * 60_000)


SHORT = Crowd("a byte short", 60, lambda: _short_body(BODY_BYTES))
CROWDS = (
    SHORT,
    Crowd("unknown key", 60, lambda: _short_body(BODY_BYTES, BAD_KEY)),
    Crowd("no such route", 60, lambda: _short_body(BODY_BYTES, path="/no/x")),
    Crowd("chunks without the last", 60, lambda: _chunked_body(16)),
    Crowd("chunks beyond the limit", 30, lambda: _chunked_body(64)),
    Crowd("many small, a byte short", 600, lambda: _short_body(65_536)),
    Crowd("whole, all at once", 60, lambda: _whole_body(BODY_BYTES, "/plain/waits")),
    Crowd("a second one on the connection", 60, _pipelined_body),
    Crowd("long heads", 60, _long_head),
    Crowd("large answers unread", 60, lambda: _no_body("/plain/large")),
    Crowd("streams unread", 60, lambda: _no_body("/resume/long")),
    Crowd("once-only streams unread", 60, lambda: _no_body("/stream/long")),
)
FRONT, DIRECTORY, READINESS, PEER = 8227, 8224, 8220, PEER_PORT
SILENT = (
    # what it sends, the port where it connects
    (Crowd("heads that stop", 300, _unfinished_head), FRONT),
    (Crowd("silent connections", 300, _nothing), FRONT),
    (Crowd("heads that stop", 300, _unfinished_head), DIRECTORY),
    (Crowd("silent connections", 300, _nothing), READINESS),
    (Crowd("silent connections", 300, _nothing), PEER),
)


async def _read_slowly(site: Site, begun: asyncio.Event) -> bytes:
    """Read a stream of some megabytes in small pieces; returns all that came."""
    host, port = site.gateway.front_address.split(":")
    reader, writer = await asyncio.open_connection(
        host, int(port), limit=SLOW_PIECE_BYTES
    )
    more = "Content-Length: 0\r\nConnection: close"
    writer.write(head("/resume/long", HEADERS, more))
    data = b""
    while piece := await reader.read(SLOW_PIECE_BYTES):
        data += piece
        begun.set()
        await asyncio.sleep(SLOW_PAUSE_S)
    writer.close()
    return data


class CrowdTest(unittest.TestCase):
    @params(*CROWDS)
    def test_a_crowd_stays_within_the_memory_and_others_are_served(
        self, crowd: Crowd
    ) -> None:
        """Callers that don't end their bodies, or don't read their answers, ended a
        process by its memory or held all of its endpoints' places."""
        asyncio.run(self._check_memory(crowd))

    async def _check_memory(self, crowd: Crowd) -> None:
        async with _site() as site:
            self.assertTrue(await answered(site.ask))
            pid = site.gateway.pid
            base_bytes = resident_bytes(pid)
            async with standing(crowd.members(site.gateway.front_address)):
                self.assertTrue(site.gateway.is_running)
                self.assertTrue(await answered(site.ask), crowd.name)
                self.assertTrue(await answered(lambda: site.ask("/resume/x")))
            self.assertTrue(await answered(site.ask), crowd.name)
            growth_bytes = resident_bytes(pid, "VmHWM") - base_bytes
            self.assertLess(growth_bytes, GROWTH_BYTES, crowd.name)

    @params(*SILENT)
    def test_a_crowd_leaves_descriptors_to_others(
        self, crowd: Crowd, port: int
    ) -> None:
        """Connections that say nothing held all descriptors, and nobody got in."""
        asyncio.run(self._check_descriptors(crowd, port))

    async def _check_descriptors(self, crowd: Crowd, port: int) -> None:
        async with _site(DESCRIPTORS) as site:
            self.assertTrue(await answered(site.ask))
            address = f"{loopback_ip(1)}:{port}"
            async with standing(crowd.members(address)):
                self.assertTrue(site.gateway.is_running)
                self.assertLess(open_descriptors(site.gateway.pid), DESCRIPTORS)
                self.assertTrue(await answered(site.ask), crowd.name)

    def test_a_stream_that_is_read_slowly_goes_on_beside_a_crowd(self) -> None:
        """A sound caller on a slow link was taken for one that reads nothing."""
        asyncio.run(self._check_slow_reader())

    async def _check_slow_reader(self) -> None:
        async with _site() as site:
            begun = asyncio.Event()
            slow = asyncio.create_task(_read_slowly(site, begun))
            await begun.wait()
            crowd = Crowd("streams unread", 60, lambda: _no_body("/resume/long"))
            async with standing(crowd.members(site.gateway.front_address)):
                self.assertTrue(await answered(site.ask))
                self.assertTrue((await slow).endswith(b"0\r\n\r\n"))

    @params(
        SHORT,
        Crowd("large answers unread", 60, lambda: _no_body("/plain/large")),
        Crowd("streams unread", 60, lambda: _no_body("/resume/long")),
        Crowd("heads that stop", 300, _unfinished_head),
    )
    def test_a_planned_stop_ends_beside_a_crowd(self, crowd: Crowd) -> None:
        """A process that waited for its callers was killed at the end of its grace."""
        asyncio.run(self._check_stop(crowd))

    async def _check_stop(self, crowd: Crowd) -> None:
        async with _site() as site:
            async with standing(crowd.members(site.gateway.front_address)):
                site.gateway.signal(signal.SIGTERM)
                self.assertEqual(await site.gateway.wait_for_exit(GRACE_S), 0)

    @params(
        # how the body is framed, what comes of it
        ("Content-Length: 100000", b"b" * 500),
        ("Transfer-Encoding: chunked", chunk(b"body")),
    )
    def test_a_body_that_does_not_come_is_refused_at_its_deadline(
        self, framing: str, sent: bytes
    ) -> None:
        """It was waited for without end, and its caller learned nothing."""
        answer = asyncio.run(self._play_late_body(framing, sent))
        self.assertIn(b" 408 ", answer)
        self.assertIn(b'"did_not_run"', answer)

    async def _play_late_body(self, framing: str, sent: bytes) -> bytes:
        async with _site() as site:
            host, port = site.gateway.front_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            headers = {**HEADERS, "X-Deadline-Ms": "1000"}
            writer.write(head("/once/x", headers, framing) + sent)
            async with asyncio.timeout(10.0):
                answer = await reader.readuntil(b"}}")
            writer.close()
            return answer

    @params(BUDGET_BYTES // 2, BUDGET_BYTES, 2 * BUDGET_BYTES)
    def test_a_body_that_is_alone_may_exceed_the_budget(self, size: int) -> None:
        """The configuration allowed it, and its connection was closed in calm."""
        asyncio.run(self._check_large_body(size))

    async def _check_large_body(self, size: int) -> None:
        async with _site(body_bytes=size) as site:
            host, port = site.gateway.front_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            for piece in _whole_body(size, "/plain/x"):
                writer.write(piece)
            async with asyncio.timeout(10.0):
                self.assertIn(b" 200 ", await reader.readline())
            writer.close()

    @params(
        # port, path, length of a body that comes late, whether the connection lasts
        (FRONT, "/plain/x", 60_000, True),
        (FRONT, "/no/x", 60_000, True),
        (FRONT, "/no/x", 100_000, False),
        (DIRECTORY, "/no/x", 100_000, False),
    )
    def test_a_connection_is_used_on_or_says_that_it_closes(
        self, port: int, path: str, size: int, lasts: bool
    ) -> None:
        """The request after one that was refused unread was dropped with its body."""
        asyncio.run(self._check_used_on(port, path, size, lasts))

    async def _check_used_on(
        self, port: int, path: str, size: int, lasts: bool
    ) -> None:
        async with _site() as site:
            reader, writer = await asyncio.open_connection(loopback_ip(1), port)
            head_piece, body = _whole_body(size, path)
            writer.write(head_piece)
            await asyncio.sleep(0.2)
            writer.write(body)
            async with asyncio.timeout(10.0):
                first = await reader.readuntil(b"\r\n\r\n")
                self.assertEqual(b"Connection: close" not in first, lasts)
                length = first.partition(b"Content-Length: ")[2].partition(b"\r")[0]
                await reader.readexactly(int(length))
                if lasts:
                    writer.writelines(_whole_body(4, "/plain/x"))
                    self.assertIn(b" 200 ", await reader.readuntil(b"good"))
            held = 'celerytrack_caller_bytes{kind="received"} 0.0'
            self.assertIn(held, await site.gateway.metrics())
            writer.close()

    def test_a_head_that_does_not_end_is_closed_and_counted(self) -> None:
        """Connections whose heads stopped stayed open, and nothing told of them."""
        asyncio.run(self._check_late_head())

    async def _check_late_head(self) -> None:
        async with _site() as site:
            host, port = site.gateway.front_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.writelines(_unfinished_head())
            async with asyncio.timeout(10.0):
                self.assertEqual(await reader.read(), b"")
            writer.close()
            metric = 'celerytrack_caller_connections_given_up_total{listener="front"}'
            self.assertIn(f"{metric} 1.0", await site.gateway.metrics())

    def test_a_connection_may_be_idle_for_four_fifths_of_its_limit(self) -> None:
        """It was closed as its caller sent the next request."""
        asyncio.run(self._check_idle())

    async def _check_idle(self) -> None:
        async with _site() as site:
            host, port = site.gateway.front_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            for _ in range(2):
                writer.writelines(_whole_body(4, "/plain/x"))
                async with asyncio.timeout(10.0):
                    self.assertIn(b" 200 ", await reader.readuntil(b"good"))
                await asyncio.sleep(0.8 * IDLE_TIMEOUT_S)
            writer.close()

    def test_requests_at_endpoints_leave_descriptors_to_the_process(self) -> None:
        """Each request has a connection of its caller's and one to its endpoint: with
        both, callers took those by which the process reaches the log."""
        asyncio.run(self._check_own_descriptors())

    async def _check_own_descriptors(self) -> None:
        crowd = Crowd("requests that wait", 300, lambda: _no_body("/plain/waits"))
        async with _site(DESCRIPTORS, MANY_CONNECTIONS) as site:
            self.assertTrue(await answered(site.ask))
            async with standing(crowd.members(site.gateway.front_address)):
                self.assertLess(open_descriptors(site.gateway.pid), DESCRIPTORS)
                self.assertTrue(await answered(site.ask), crowd.name)
            self.assertEqual(site.gateway.log_records("store_lost"), [])

    @params(BODY_BYTES - 1, BODY_BYTES)
    def test_a_body_of_the_limit_that_comes_slowly_is_served(self, size: int) -> None:
        """Bounds meant for a crowd refused a single caller inside the limits."""
        asyncio.run(self._check_slow_body(size))

    async def _check_slow_body(self, size: int) -> None:
        async with _site() as site:
            host, port = site.gateway.front_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head("/plain/x", HEADERS, f"Content-Length: {size}"))
            for start in range(0, size, BODY_BYTES // 8):
                writer.write(b"b" * min(BODY_BYTES // 8, size - start))
                await asyncio.sleep(0.5)
            async with asyncio.timeout(10.0):
                self.assertIn(b" 200 ", await reader.readline())
            writer.close()

    @params(
        # a request, and what comes while it waits for its answer
        (b"bo", b"dy"),
        (b"body", b"\r\n"),
        (b"body", b"POST /plain/x HTTP/1.1\r\nHost: h"),
    )
    def test_a_request_may_wait_longer_for_its_answer_than_a_head_may_last(
        self, *pieces: bytes
    ) -> None:
        """What came after its head was taken for a head that didn't end: the connection
        was closed in the middle of the answer."""
        asyncio.run(self._check_pieces(pieces))

    async def _check_pieces(self, pieces: tuple[bytes, ...]) -> None:
        async with _site() as site:
            host, port = site.gateway.front_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(head("/plain/waits", HEADERS, "Content-Length: 4"))
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0.2)
            async with asyncio.timeout(10.0):
                self.assertIn(b" 200 ", await reader.readline())
            writer.close()


if __name__ == "__main__":
    unittest.main()
