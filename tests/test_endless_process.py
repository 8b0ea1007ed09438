"""Many answers without end at once: an entry of its own process lives, stays within its
memory, and goes on to serve ordinary callers."""

import asyncio
import contextlib
import itertools
import json
import time
import unittest
from collections.abc import AsyncIterator

from aiohttp import web
from nose2.tools import params

from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC, ENDPOINTS_TOPIC
from tests.crowds import MIB, answered, head, resident_bytes
from tests.gateway_fleet import HOST, KEY, config, free_port
from tests.keyed_log import KeyedLog
from tests.raw_endpoints import (
    RawEndpoint,
    RawRequest,
    RawScript,
    answer_head,
    chunk,
)
from tests.test_crowds import Site

REQUESTS = 300
LASTS_S = 4.0
CONNECTION_LIMIT = 400
GROWTH_BYTES = 150 * MIB
"""What callers may hold of 300 MiB, and as much again that the allocator keeps."""
PIECE = b"x" * 65_536
CHUNKED = "Transfer-Encoding: chunked"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
TERABYTE = "Content-Length: 1000000000000"


def _endless(begin: tuple[str, ...] | bytes, piece: bytes) -> RawScript:
    """Write ``piece`` again and again for a while.

    :param begin: the status and fields of a head, or bytes that are none.
    """

    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(
            begin if isinstance(begin, bytes) else answer_head(request, *begin)
        )
        until_s = time.monotonic() + LASTS_S
        while time.monotonic() < until_s:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0)

    return script


WHOLE = ("200 OK", "Content-Length: 4")
ENDLESS = {
    "interim answers": _endless(b"", INTERIM * 2_600),
    "junk that is no head": _endless(b"", b"\xff\xfe junk " * 8_000),
    "junk in lines": _endless(b"", b"\xff\xfe junk\r\n" * 6_000),
    "empty lines": _endless(b"", b"\r\n" * 32_768),
    "a field of a head": _endless(b"HTTP/1.1 200 OK\r\nX-Odd: ", PIECE),
    "fields of a head": _endless(b"HTTP/1.1 200 OK\r\n", b"X-Odd: y\r\n" * 6_000),
    "a body of great length": _endless(("200 OK", TERABYTE), PIECE),
    "a body without a length": _endless(("200 OK",), PIECE),
    "a body in chunks": _endless(("200 OK", CHUNKED), chunk(PIECE)),
    "a body in small chunks": _endless(("200 OK", CHUNKED), chunk(b"x") * 9_000),
    "the body of a 500": _endless(("500 Internal Server Error",), PIECE),
    "answers behind a whole one": _endless(
        b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", INTERIM * 2_600
    ),
    "answers behind the last chunk": _endless(
        b"HTTP/1.1 404 No\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        INTERIM * 2_600,
    ),
    "an extension of a chunk": _endless(("200 OK", CHUNKED), b"5;" + PIECE),
    "trailers": _endless(("200 OK", CHUNKED), b"0\r\n" + b"X-T: y\r\n" * 8_000),
}
STREAMED = {
    "one event": _endless(("200 OK",), PIECE),
    "one event in chunks": _endless(("200 OK", CHUNKED), chunk(PIECE)),
}
CASES = (
    *((name, "/plain/x") for name in ENDLESS),
    *((name, "/resume/x") for name in ("interim answers", *STREAMED)),
)


async def _sound(request: RawRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(answer_head(request, *WHOLE) + b"good")


def _config() -> bytes:
    """Two services, of which the second has the routes below ``/other/``."""
    data = json.loads(config(timeoutMs=10_000, maxAttempts=1))
    services = data["services"]
    services[0]["connLimit"] = CONNECTION_LIMIT
    services.append({**services[0], "name": "other"})
    route = {**data["routes"][0], "name": "/other/", "pathPrefix": "/other/"}
    data["routes"].append({**route, "service": "other"})
    return json.dumps(data).encode()


@contextlib.asynccontextmanager
async def _site(script: RawScript) -> AsyncIterator[Site]:
    faulty, sound = RawEndpoint("i-1", script), RawEndpoint("i-2", _sound)
    log = KeyedLog()
    log.put(CONFIG_TOPIC, CONFIG_KEY, _config())
    log.put(ENDPOINTS_TOPIC, "i-1", faulty.registration(slots=REQUESTS))
    log.put(ENDPOINTS_TOPIC, "i-2", sound.registration(service="other"))
    async with contextlib.AsyncExitStack() as stack:
        for endpoint in (faulty, sound):
            stack.push_async_callback((await endpoint.start()).cleanup)
        port = free_port()
        runner = web.AppRunner(log.make_app(), shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", port).start()
        site = Site(port)
        stack.push_async_callback(site.http.close)
        await stack.enter_async_context(site.gateway)
        yield site


async def _call(site: Site, path: str, number: int) -> bytes:
    """Send one request; returns all that came."""
    host, port = site.gateway.front_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    headers = {
        "Host": HOST,
        "X-Attempt-Id": f"r{number}",
        "X-Deadline-Ms": "10000",
        "Authorization": f"Bearer {KEY}",
        "Connection": "close",
    }
    writer.write(head(path, headers, "Content-Length: 4") + b"body")
    try:
        return await reader.read(-1)
    except ConnectionError:
        return b""
    finally:
        writer.close()


class EndlessProcessTest(unittest.TestCase):
    @params(*CASES)
    def test_many_answers_without_end_leave_the_process_alive(
        self, name: str, path: str
    ) -> None:
        """A bound on one connection was none on three hundred, and the process ran out
        of its machine's memory."""
        asyncio.run(self._check({**ENDLESS, **STREAMED}[name], path))

    async def _check(self, script: RawScript, path: str) -> None:
        async with _site(script) as site:

            async def ask() -> int | None:
                return await site.ask("/other/x")

            self.assertTrue(await answered(ask))
            pid = site.gateway.pid
            base_bytes = resident_bytes(pid)
            numbers = itertools.count()
            calls = [_call(site, path, next(numbers)) for _ in range(REQUESTS)]
            among = asyncio.gather(*calls)
            self.assertTrue(await answered(ask))
            answers = await among
            self.assertTrue(site.gateway.is_running)
            self.assertTrue(await answered(ask))
            growth_bytes = resident_bytes(pid, "VmHWM") - base_bytes
            self.assertEqual(answers.count(b""), 0)
            self.assertLess(growth_bytes, GROWTH_BYTES)
