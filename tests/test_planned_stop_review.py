"""Tests of planned stops of real processes that coincide with other events."""

import asyncio
import itertools
import signal
import time
import unittest

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.durations import MIN_SAMPLES
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

CLOSE_RACE_S = 0.2
"""A request that is sent within this time before a close may cross the close."""

THROTTLED_S = 0.1
"""How long the CPU limit pauses an instance that has used up its share."""


async def _short_work(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(0.3)
    return web.Response(body=b"done", headers=_echo(request))


def _first_short() -> Script:
    """Make a script that serves one-event streams, then long ones.

    It serves as many short streams as the estimate of a stream's duration needs.
    """
    requests = itertools.count(1)

    async def stream(request: web.BaseRequest) -> web.StreamResponse:
        if next(requests) > MIN_SAMPLES:
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
    """Send events as fast as the gateway reads them."""
    response = web.StreamResponse(headers=_echo(request))
    response.enable_chunked_encoding()
    await response.prepare(request)
    for i in range(1, 100_000):
        await response.write(b"id: %d\ndata: %s\n\n" % (i, b"x" * 10_000))
    return response


class Caller:
    """Sends sequential requests on a reused connection until connections are refused.

    :ivar statuses: statuses of the complete answers.
    :ivar lost: requests without a complete answer that had reached the endpoint, or
        were sent more than ``CLOSE_RACE_S`` before the connection closed.
    """

    def __init__(self, site: Site) -> None:
        self._site = site
        self.statuses: list[int] = []
        self.lost: list[str] = []

    async def run(self) -> None:
        """Send requests until a connection is refused."""
        for i in range(1_000):
            began_s = time.monotonic()
            try:
                self.statuses.append(await self._ask(f"r{i}"))
            except aiohttp.ClientConnectorError:
                return
            except (aiohttp.ClientError, OSError) as exc:
                took_s = time.monotonic() - began_s
                seen = {r.headers["X-Attempt-Id"] for r in self._site.endpoint.seen}
                if f"r{i}" in seen or took_s > CLOSE_RACE_S:
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


class CloseRaceTest(unittest.TestCase):
    @params((3.45,), (3.55,), (3.6,))
    def test_requests_while_the_listeners_close_are_answered_or_refused(self, after_s):
        """Guards against requests that are admitted after the last check whether any
        are in progress."""
        asyncio.run(self._assert_none_lost(after_s))

    async def _assert_none_lost(self, after_s: float) -> None:
        async with Site(_short_work) as site:
            stops_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(stops_s + after_s - time.monotonic())
            caller = Caller(site)
            await caller.run()
            self.assertEqual(await site.gateway.wait_for_exit(GRACE_S), 0)
            self.assertEqual(caller.lost, [], caller.statuses)


async def _wait_for_exit(site: Site, began_s: float) -> float:
    """Wait until the gateway exits on its own; return the time since ``began_s``."""
    status = await site.gateway.wait_for_exit(site.grace_s + began_s - time.monotonic())
    took_s = time.monotonic() - began_s
    assert status == 0, (status, site.gateway.log_records("stop_stage"))
    return took_s


class ExitInTimeTest(unittest.TestCase):
    @params(
        (2.0, _long_stream, "/stream/x"),
        (2.0, _slow_answer, "/once/x"),
    )
    def test_process_exits_within_a_short_grace_time(self, grace_s, script, path):
        """Guards against a stop that fits one length of the grace time only."""
        asyncio.run(self._assert_exits_in_time(grace_s, script, path))

    async def _assert_exits_in_time(
        self, grace_s: float, script: Script, path: str
    ) -> None:
        async with Site(script, grace_s) as site:
            pending = asyncio.create_task(site.ask(path))
            await site.until_request_arrives()
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await _wait_for_exit(site, began_s)
            outcome = await pending
            self.assertEqual(outcome.complete, path == "/once/x")

    def test_incomplete_request_body_does_not_delay_the_exit(self):
        """Guards against a stop that waits for the rest of a request body."""
        asyncio.run(self._assert_exits_with_incomplete_body())

    async def _assert_exits_with_incomplete_body(self) -> None:
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
            await _wait_for_exit(site, began_s)
            self.assertEqual(await reader.read(), b"")
            writer.close()

    def test_unread_stream_does_not_delay_the_exit(self):
        """Guards against a stop that waits for a caller that reads no events."""
        asyncio.run(self._assert_exits_with_unread_stream())

    async def _assert_exits_with_unread_stream(self) -> None:
        async with Site(_wide_stream) as site:
            pending = asyncio.create_task(site.ask_without_reading("/stream/x"))
            await site.until_request_arrives()
            await asyncio.sleep(1.0)
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await _wait_for_exit(site, began_s)
            pending.cancel()

    def test_combined_delays_fit_the_grace_time(self):
        """Guards against stages of a stop that fit the grace time only one by one."""
        asyncio.run(self._assert_exits_despite_all_delays())

    async def _assert_exits_despite_all_delays(self) -> None:
        async with Site(_by_path) as site:
            pending = [
                asyncio.create_task(site.ask_without_reading(path))
                for path in ("/plain/x", "/stream/x", "/resume/x")
            ]
            pending.append(asyncio.create_task(site.ask("/once/x")))
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
            await _wait_for_exit(site, began_s)
            for task in pending[:-1]:
                task.cancel()
            self.assertEqual((await pending[-1]).status, 504)
            writer.close()

    def test_signals_during_a_stop_have_no_effect(self):
        """Guards against a stop that a second signal shortens or prolongs."""
        asyncio.run(self._assert_signals_ignored())

    async def _assert_signals_ignored(self) -> None:
        async with Site(_long_stream) as site:
            pending = asyncio.create_task(site.ask("/stream/x"))
            await site.until_request_arrives()
            began_s = time.monotonic()
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM):
                site.gateway.signal(number)
                await asyncio.sleep(0.3)
            self.assertGreater(await _wait_for_exit(site, began_s), GRACE_S * 5 / 6)
            self.assertFalse((await pending).complete)

    def test_process_that_starts_without_a_log_can_be_stopped(self):
        """Guards against a process that cannot be stopped before it is ready."""
        asyncio.run(self._assert_exits_while_starting())

    async def _assert_exits_while_starting(self) -> None:
        async with Site(_long_stream) as site:
            await site.gateway.kill()
            site.log.unresponsive = True
            await site.gateway.spawn()
            await site.gateway.wait_until(
                lambda: len(site.gateway.log_records("process_started")) == 2, 10.0
            )
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await _wait_for_exit(site, began_s)

    def test_process_fenced_during_a_stop_finishes_the_stop(self):
        """Guards against a stop that ends early because a task ends."""
        asyncio.run(self._assert_fenced_stop_finishes())

    async def _assert_fenced_stop_finishes(self) -> None:
        async with Site(_long_stream) as site:
            pending = asyncio.create_task(site.ask("/stream/x"))
            await site.until_request_arrives()
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(0.5)
            producers = site.log.topic(ENTRIES_TOPIC).producers
            for name, (epoch, number) in list(producers.items()):
                producers[name] = (epoch + 1, number)
            self.assertGreater(await _wait_for_exit(site, began_s), GRACE_S * 5 / 6)
            self.assertFalse((await pending).complete)

    @params((_long_stream, "/stream/x", 200), (_slow_answer, "/once/x", 504))
    def test_slow_process_exits_within_the_grace_time(self, script, path, status):
        """Guards against a stop that fits the grace time on a fast machine only."""
        asyncio.run(self._assert_slow_process_exits(script, path, status))

    async def _assert_slow_process_exits(
        self, script: Script, path: str, status: int
    ) -> None:
        async with Site(script) as site:
            pending = asyncio.create_task(site.ask(path))
            await site.until_request_arrives()
            slowing = asyncio.create_task(_slow_down(site))
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGTERM)
            await _wait_for_exit(site, began_s)
            slowing.cancel()
            outcome = await pending
            self.assertEqual(
                (outcome.status, outcome.complete), (status, status == 504)
            )


class LateSignalTest(unittest.TestCase):
    def test_late_handling_of_the_signal_does_not_extend_admission(self):
        """Guards against a stream that is admitted over 3 s after SIGTERM and aborted.

        The process is paused when the signal is sent, so it handles the signal late.
        """
        asyncio.run(self._assert_late_stream_refused())

    async def _assert_late_stream_refused(self) -> None:
        async with Site(_first_short()) as site:
            for _ in range(MIN_SAMPLES):
                self.assertTrue((await site.ask("/stream/x")).complete)
            began_s = time.monotonic()
            site.gateway.signal(signal.SIGSTOP)
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(THROTTLED_S)
            site.gateway.signal(signal.SIGCONT)
            await asyncio.sleep(began_s + 3.02 - time.monotonic())
            sent_s = time.monotonic() - began_s
            outcome = await site.ask("/stream/x")
            await _wait_for_exit(site, began_s)
            self.assertEqual((outcome.status, outcome.complete), (503, True), sent_s)


async def _slow_down(site: Site) -> None:
    """Pause the process repeatedly so that it runs for a seventh of the time."""
    while True:
        site.gateway.signal(signal.SIGSTOP)
        await asyncio.sleep(0.06)
        site.gateway.signal(signal.SIGCONT)
        await asyncio.sleep(0.01)


if __name__ == "__main__":
    unittest.main()
