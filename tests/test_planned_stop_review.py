"""Planned stops of real processes beside what crosses their parts."""

import asyncio
import itertools
import signal
import time
import unittest

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.durations import FEWEST
from celerytrack.platform.topics import ENTRIES_TOPIC
from tests.gateway_fleet import HOST, KEY, Script
from tests.test_planned_stop import (
    GRACE_S,
    HEADERS,
    Site,
    _echo,
    _large_answer,
    _long_stream,
    _slow_answer,
)

CROSSES_S = 0.2
"""A request that is sent no longer than this before a close may cross it."""

STANDS_STILL_S = 0.1
"""How long an instance stands still that has used up its share of a processor."""


async def _short_work(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(0.3)
    return web.Response(body=b"done", headers=_echo(request))


def _first_short() -> Script:
    """Streams of one event, as many as tell how long streams take, then long ones."""
    asked = itertools.count(1)

    async def stream(request: web.BaseRequest) -> web.StreamResponse:
        if next(asked) > FEWEST:
            return await _long_stream(request)
        response = web.StreamResponse(headers=_echo(request))
        response.enable_chunked_encoding()
        await response.prepare(request)
        await response.write(b"id: 1\ndata: t1\n\n")
        return response

    return stream


async def _by_path(request: web.BaseRequest) -> web.StreamResponse:
    if request.path == "/plain/x":
        return await _large_answer(request)
    if request.path == "/once/x":
        return await _slow_answer(request)
    return await _wide_stream(request)


async def _wide_stream(request: web.BaseRequest) -> web.StreamResponse:
    """Events as fast as they are taken."""
    response = web.StreamResponse(headers=_echo(request))
    response.enable_chunked_encoding()
    await response.prepare(request)
    for i in range(1, 100_000):
        await response.write(b"id: %d\ndata: %s\n\n" % (i, b"x" * 10_000))
    return response


class Caller:
    """Asks one thing after the other on a kept connection, until none is taken.

    :ivar statuses: of whole answers.
    :ivar lost: requests that were passed on, or old, and got no whole answer.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self.statuses: list[int] = []
        self.lost: list[str] = []

    async def run(self) -> None:
        """Ask until no connection is taken."""
        for i in range(1_000):
            began_s = time.monotonic()
            try:
                self.statuses.append(await self._ask(f"r{i}"))
            except aiohttp.ClientConnectorError:
                return
            except (aiohttp.ClientError, OSError) as exc:
                took_s = time.monotonic() - began_s
                seen = {r.headers["X-Attempt-Id"] for r in self._site.endpoint.seen}
                if f"r{i}" in seen or took_s > CROSSES_S:
                    self.lost.append(f"r{i}: {exc!r} after {took_s:.3f} s")
            await asyncio.sleep(0.01)

    async def _ask(self, request_id: str) -> int:
        headers = {
            "Host": HOST,
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": "2000",
            "Authorization": f"Bearer {KEY}",
        }
        url = f"http://{self._site.gateway.front_address}/once/x"
        async with self._site.http.post(url, data=b"", headers=headers) as answer:
            await answer.read()
            return answer.status


class CrossingTest(unittest.TestCase):
    @params((3.45,), (3.55,), (3.6,))
    def test_what_comes_while_a_stop_closes_is_answered_or_refused(self, after_s):
        """Guards against requests taken behind the last look at what is in progress."""
        asyncio.run(self._crossing(after_s))

    async def _crossing(self, after_s: float) -> None:
        async with Site(_short_work) as site:
            stops_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(stops_s + after_s - time.monotonic())
            caller = Caller(site)
            await caller.run()
            self.assertEqual(await site.gateway.wait_for_exit(GRACE_S), 0)
            self.assertEqual(caller.lost, [], caller.statuses)


async def _ends(site: Site, began_s: float) -> float:
    """Wait for the gateway's own end; how long after ``began_s`` it came."""
    status = await site.gateway.wait_for_exit(site.grace_s + began_s - time.monotonic())
    took_s = time.monotonic() - began_s
    assert status == 0, (status, site.gateway.log_records("stop_stage"))
    return took_s


class OwnEndTest(unittest.TestCase):
    @params(
        (2.0, _long_stream, "/stream/x"),
        (2.0, _slow_answer, "/once/x"),
    )
    def test_a_short_grace_is_enough(self, grace_s, script, path):
        """Guards against a stop that fits only one length of grace."""
        asyncio.run(self._short_grace(grace_s, script, path))

    async def _short_grace(self, grace_s: float, script: Script, path: str) -> None:
        async with Site(script, grace_s) as site:
            asking = asyncio.create_task(site.ask(path))
            await site.until_asked()
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await _ends(site, began_s)
            outcome = await asking
            self.assertEqual(outcome.whole, path == "/once/x")

    def test_a_body_that_never_ends_does_not_delay_the_exit(self):
        """Guards against a stop that waits for a request that is not read whole."""
        asyncio.run(self._endless_body())

    async def _endless_body(self) -> None:
        async with Site(_slow_answer) as site:
            host, port = site.gateway.front_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
            writer.write(
                f"POST /once/x HTTP/1.1\r\n{head}Content-Length: 9\r\n\r\nab".encode()
            )
            await asyncio.sleep(0.2)
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await _ends(site, began_s)
            self.assertEqual(await reader.read(), b"")
            writer.close()

    def test_a_stream_that_is_not_read_does_not_delay_the_exit(self):
        """Guards against a stop that waits for a caller that takes no events."""
        asyncio.run(self._unread_stream())

    async def _unread_stream(self) -> None:
        async with Site(_wide_stream) as site:
            asking = asyncio.create_task(site.ask_and_not_read("/stream/x"))
            await site.until_asked()
            await asyncio.sleep(1.0)
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await _ends(site, began_s)
            asking.cancel()

    def test_all_that_holds_a_stop_up_at_once(self):
        """Guards against parts of a stop that fit its grace time one by one only."""
        asyncio.run(self._all_at_once())

    async def _all_at_once(self) -> None:
        async with Site(_by_path) as site:
            asking = [
                asyncio.create_task(site.ask_and_not_read(path))
                for path in ("/plain/x", "/stream/x", "/resume/x")
            ]
            asking.append(asyncio.create_task(site.ask("/once/x")))
            host, port = site.gateway.front_address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
            writer.write(
                f"POST /once/x HTTP/1.1\r\n{head}Content-Length: 9\r\n\r\n".encode()
            )
            await asyncio.sleep(0.5)
            site.log.unresponsive = True
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await _ends(site, began_s)
            for task in asking[:-1]:
                task.cancel()
            self.assertEqual((await asking[-1]).status, 504)
            writer.close()

    def test_signals_during_a_stop_change_nothing(self):
        """Guards against a stop that a second signal cuts short or prolongs."""
        asyncio.run(self._signals())

    async def _signals(self) -> None:
        async with Site(_long_stream) as site:
            asking = asyncio.create_task(site.ask("/stream/x"))
            await site.until_asked()
            began_s = time.monotonic()
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                site.gateway.signal(number)
                await asyncio.sleep(0.3)
            self.assertGreater(await _ends(site, began_s), GRACE_S * 5 / 6)
            self.assertFalse((await asking).whole)

    def test_a_stop_of_a_start_without_log_ends_by_itself(self):
        """Guards against a process that cannot be stopped before it is ready."""
        asyncio.run(self._while_starting())

    async def _while_starting(self) -> None:
        async with Site(_long_stream) as site:
            await site.gateway.kill()
            site.log.unresponsive = True
            await site.gateway.spawn()
            await site.gateway.until(
                lambda: len(site.gateway.log_records("process_started")) == 2, 10.0
            )
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await _ends(site, began_s)

    def test_a_stop_that_is_fenced_serves_to_its_end(self):
        """Guards against a stop that a task's end cuts short."""
        asyncio.run(self._fenced())

    async def _fenced(self) -> None:
        async with Site(_long_stream) as site:
            asking = asyncio.create_task(site.ask("/stream/x"))
            await site.until_asked()
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(0.5)
            producers = site.log.topic(ENTRIES_TOPIC).producers
            for name, (epoch, number) in list(producers.items()):
                producers[name] = (epoch + 1, number)
            self.assertGreater(await _ends(site, began_s), GRACE_S * 5 / 6)
            self.assertFalse((await asking).whole)

    @params((_long_stream, "/stream/x", 200), (_slow_answer, "/once/x", 504))
    def test_a_stop_of_a_slow_process_ends_requests_itself(self, script, path, status):
        """Guards against a stop that fits a fast machine only."""
        asyncio.run(self._slow(script, path, status))

    async def _slow(self, script: Script, path: str, status: int) -> None:
        async with Site(script) as site:
            asking = asyncio.create_task(site.ask(path))
            await site.until_asked()
            slowing = asyncio.create_task(_slow_down(site))
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await _ends(site, began_s)
            slowing.cancel()
            outcome = await asking
            self.assertEqual((outcome.status, outcome.whole), (status, status == 504))


class LateSignalTest(unittest.TestCase):
    def test_a_stop_heard_late_takes_no_stream_later(self):
        """Guards against a stream taken over 3 s after SIGTERM and cut."""
        asyncio.run(self._heard_late())

    async def _heard_late(self) -> None:
        async with Site(_first_short()) as site:
            for _ in range(FEWEST):
                self.assertTrue((await site.ask("/stream/x")).whole)
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGSTOP)
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(STANDS_STILL_S)
            site.gateway.signal(signal.SIGCONT)
            await asyncio.sleep(began_s + 3.02 - time.monotonic())
            sent_s = time.monotonic() - began_s
            outcome = await site.ask("/stream/x")
            await _ends(site, began_s)
            self.assertEqual((outcome.status, outcome.whole), (503, True), sent_s)


async def _slow_down(site: Site) -> None:
    """Let the process run for a seventh of the time."""
    while True:
        site.gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(0.06)
        site.gateway.signal(signal.SIGCONT)
        await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
