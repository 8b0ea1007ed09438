"""Planned stops of real processes: nothing is cut that was taken late, and each stop
ends by itself."""

import asyncio
import contextlib
import math
import signal
import time
import unittest

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.durations import FEWEST, KEPT, Durations
from celerytrack.ids import AccountId
from celerytrack.planned_stop import Lasting, PlannedStop
from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC, ENDPOINTS_TOPIC
from tests.gateway_fleet import (
    HOST,
    KEY,
    SEAL_HEADERS,
    Endpoint,
    Fleet,
    Script,
    config,
    free_port,
)
from tests.gateway_processes import GatewayProcess
from tests.keyed_log import KeyedLog

GRACE_S = 8.0
T = AccountId("t")
LATE_S = 3.2
"""After the signal; callers that keep an address answer long come so late."""
HEADERS = {
    "Host": HOST,
    "X-Attempt-Id": "r1",
    "X-Deadline-Ms": "15000",
    "Authorization": f"Bearer {KEY}",
}


def _echo(request: web.BaseRequest) -> dict[str, str]:
    return {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}


async def _long_stream(request: web.BaseRequest) -> web.StreamResponse:
    """An event each 0.1 s, for longer than any grace time."""
    response = web.StreamResponse(headers=_echo(request))
    response.enable_chunked_encoding()
    await response.prepare(request)
    for i in range(1, 200):
        await response.write(b"id: %d\ndata: t%d\n\n" % (i, i))
        await asyncio.sleep(0.1)
    return response


async def _slow_answer(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(20.0)
    return web.Response(body=b"late", headers=_echo(request))


async def _short_answer(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(0.4)
    return web.Response(body=b"good", headers=_echo(request))


async def _large_answer(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b"x" * 8_000_000, headers=_echo(request))


class Outcome:
    """What a caller saw of one request."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.retry_after: str | None = None
        self.body = b""
        self.whole = False


class Site:
    """A gateway process between a stand-in log and one scripted endpoint.

    :param grace_s: how long after SIGTERM it would be killed.
    """

    def __init__(self, script: Script, grace_s: float = GRACE_S) -> None:
        self.grace_s = grace_s
        self.log = KeyedLog()
        self.endpoint = Endpoint("i-1", script)
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> "Site":
        self.log.put(CONFIG_TOPIC, CONFIG_KEY, config(timeoutMs=15_000))
        self.log.put(ENDPOINTS_TOPIC, "i-1", self.endpoint.registration())
        self._stack.push_async_callback((await self.endpoint.start()).cleanup)
        port = free_port()
        runner = web.AppRunner(self.log.make_app(), shutdown_timeout=0.1)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", port).start()
        gateway = GatewayProcess(1, f"127.0.0.1:{port}", self.grace_s)
        self.http = await self._stack.enter_async_context(aiohttp.ClientSession())
        self.gateway = await self._stack.enter_async_context(gateway)
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    async def ask(
        self,
        path: str,
        pace_bytes: int = 2**20,
        pause_s: float = 0.0,
        request_id: str = "r1",
    ) -> Outcome:
        """Ask once, reading the answer a piece at a time."""
        outcome = Outcome()
        headers = {**HEADERS, "X-Attempt-Id": request_id}
        url = f"http://{self.gateway.front_address}{path}"
        with contextlib.suppress(aiohttp.ClientError):
            async with self.http.post(url, data=b"", headers=headers) as answer:
                outcome.status = answer.status
                outcome.retry_after = answer.headers.get("Retry-After")
                while piece := await answer.content.read(pace_bytes):
                    outcome.body += piece
                    await asyncio.sleep(pause_s)
                outcome.whole = True
        return outcome

    async def ask_and_not_read(self, path: str) -> Outcome:
        """Ask once and leave the answer on its way."""
        host, port = self.gateway.front_address.split(":")
        _, writer = await asyncio.open_connection(host, int(port), limit=1)
        head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
        writer.write(
            f"POST {path} HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n".encode()
        )
        await asyncio.sleep(2 * GRACE_S)
        writer.close()
        return Outcome()

    async def until_asked(self) -> None:
        """Wait until a request has reached the endpoint."""
        await self.gateway.until(lambda: bool(self.endpoint.seen), 3.0)


class TimesTest(unittest.TestCase):
    @params(
        # seconds after the signal, longest, likely, a stream, taken
        (0.0, 7.1, 99.0, True, True),
        (0.0, 15.0, 7.1, True, True),
        (0.0, 15.0, 7.3, True, False),
        (0.0, 15.0, math.inf, True, False),
        (2.7, 15.0, 4.2, True, True),
        (2.9, 15.0, 0.1, True, False),
        (3.1, 15.0, 0.1, True, False),
        (3.1, 4.0, 0.1, True, True),
        (3.1, 4.5, 0.1, False, True),
        (3.1, 4.5, 4.2, False, False),
        (7.3, 0.1, 0.1, False, False),
    )
    def test_only_what_ends_in_time_is_taken(
        self, after_s, most_s, likely_s, stream, taken
    ):
        """Guards against requests that a stop takes and cannot end."""
        stop = PlannedStop(began_s=100.0, grace_s=8.0)
        lasting = Lasting(most_s, likely_s, stream)
        self.assertIs(stop.takes(lasting, 100.0 + after_s), taken)

    @params((1.0,), (2.0,), (8.0,), (30.0,), (300.0,))
    def test_each_part_fits_the_grace_time(self, grace_s):
        """Guards against a stop whose parts add up to more than its grace time."""
        stop = PlannedStop(began_s=100.0, grace_s=grace_s)
        ends_s = 100.0 + grace_s
        self.assertLess(stop.serves_until_s, stop.answers_end_s)
        self.assertGreaterEqual(stop.answers_end_s, ends_s - grace_s / 6)
        self.assertLess(stop.answers_end_s, stop.closes_s)
        self.assertLess(stop.closes_s + stop.closing_s, ends_s)

    @params((0, math.inf), (2, math.inf), (3, 2.0), (20, 18.0), (50, 47.0), (60, 57.0))
    def test_what_nearly_all_ended_within_is_likely(self, ended, likely_s):
        durations = Durations()
        for i in range(ended):
            durations.add("route", float(i))
        self.assertEqual(durations.likely_s("route"), likely_s)

    def test_what_took_long_is_forgotten(self):
        durations = Durations()
        durations.add("route", 99.0)
        for _ in range(KEPT):
            durations.add("route", 1.0)
        self.assertEqual(durations.likely_s("route"), 1.0)


class PlannedStopTest(unittest.TestCase):
    @params(("/stream/x",), ("/resume/x",))
    def test_a_stream_that_may_outlast_the_stop_is_not_taken_late(self, path):
        """Guards against a stream taken long after SIGTERM and given up half-way."""
        asyncio.run(self._taken_late(path))

    async def _taken_late(self, path: str) -> None:
        async with Site(_long_stream) as site:
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(LATE_S)
            try:
                outcome = await asyncio.wait_for(site.ask(path), 1.0)
            except TimeoutError:
                self.fail("it was taken")
            self.assertEqual((outcome.status, outcome.whole), (503, True))
            self.assertEqual(float(outcome.retry_after or "nan"), 0.0)
            self.assertEqual(len(site.endpoint.seen), 0)

    @params(
        # what still runs when the stop's time is over, the answer's status
        (_long_stream, "/stream/x", 200),
        (_slow_answer, "/once/x", 504),
    )
    def test_a_stop_ends_by_itself_beside_a_request(self, script, path, status):
        """Guards against stops that are killed at the end of their grace time."""
        asyncio.run(self._ends_beside(script, path, status))

    async def _ends_beside(self, script: Script, path: str, status: int) -> None:
        async with Site(script) as site:
            asking = asyncio.create_task(site.ask(path))
            await site.until_asked()
            took_s = await self._stops(site)
            # What is in progress is given its time first.
            self.assertGreater(took_s, GRACE_S * 5 / 6)
            outcome = await asking
            self.assertEqual(outcome.status, status)
            # A begun answer must not look whole; another says what is not known.
            self.assertEqual(outcome.whole, status == 504)

    def test_a_caller_that_does_not_read_does_not_delay_the_exit(self):
        """Guards against a stop that waits for a caller's full link."""
        asyncio.run(self._unread())

    async def _unread(self) -> None:
        async with Site(_large_answer) as site:
            asking = asyncio.create_task(site.ask_and_not_read("/plain/x"))
            await site.until_asked()
            await self._stops(site)
            asking.cancel()

    def test_an_answer_on_its_way_is_whole_before_the_exit(self):
        """Guards against an answer's last bytes lost with the process."""
        asyncio.run(self._on_its_way())

    async def _on_its_way(self) -> None:
        async with Site(_large_answer) as site:
            # 8 MB within 5 s.
            asking = asyncio.create_task(site.ask("/plain/x", 80_000, 0.05))
            await site.until_asked()
            await self._stops(site)
            outcome = await asking
            self.assertEqual((outcome.whole, len(outcome.body)), (True, 8_000_000))

    def test_what_comes_as_it_ends_is_refused_or_answered(self):
        """Guards against requests that are taken while the listeners close."""
        asyncio.run(self._until_the_end())

    async def _until_the_end(self) -> None:
        async with Site(_short_answer) as site:
            for i in range(FEWEST):
                await site.ask("/once/x", request_id=f"before-{i}")
            site.gateway.signal(signal.SIGTERM)
            asked: dict[str, asyncio.Task[Outcome]] = {}
            # One at a time, with moments at which none is in progress.
            while await site.gateway.wait_for_exit(0.45) is None:
                name = f"r{len(asked)}"
                task = asyncio.create_task(site.ask("/once/x", request_id=name))
                asked[name] = task
            outcomes = {name: await task for name, task in asked.items()}
        ran = {request.headers["X-Attempt-Id"] for request in site.endpoint.seen}
        unanswered = {name for name, outcome in outcomes.items() if not outcome.whole}
        self.assertEqual(ran & unanswered, set())

    def test_a_silent_store_does_not_delay_the_exit(self):
        """Guards against a stop that waits for a store that answers nothing."""
        asyncio.run(self._silent_store())

    async def _silent_store(self) -> None:
        async with Site(_slow_answer) as site:
            site.log.unresponsive = True
            asking = asyncio.create_task(site.ask("/plain/x"))
            await site.until_asked()
            await self._stops(site)
            await asking

    def test_callers_are_not_sent_to_it_while_the_store_is_away(self):
        """Guards against a planned stop that the others learn of from the log alone."""
        asyncio.run(self._told_directly())

    async def _told_directly(self) -> None:
        good = Endpoint("i-1", _large_answer)
        async with Fleet(good, gateways=2) as fleet:
            views = [gateway.share_sync.members for gateway in fleet.gateways]
            await fleet.wait_until(
                lambda: all(len(v.live_peers(1e9)) == 1 for v in views)
            )
            fleet.log.down = True
            await asyncio.sleep(0.5)
            fleet.servers[0].stop()
            await fleet.wait_until(lambda: not views[1].live_peers(1e9), 0.3)

    def test_the_last_row_gives_the_unspent_tokens_back(self):
        """Guards against tokens that count as spent since a stop wrote no last row."""
        asyncio.run(self._gives_back())

    async def _gives_back(self) -> None:
        async with Fleet(Endpoint("i-1", _short_answer), gateways=4) as fleet:
            await asyncio.sleep(1.0)
            for server in fleet.servers:
                server.stop()
                # Each in another moment between two of its rows.
                await asyncio.sleep(0.07)
            await fleet.wait_until(fleet.ended)
            rows = [fleet.newest_row(f"e{i}") for i in range(4)]
        self.assertEqual([row.shares[T].claimed_tokens for row in rows], [0] * 4)

    async def _stops(self, site: Site) -> float:
        """Stop the gateway; how long it took to end by itself."""
        began_s = time.monotonic()
        site.gateway.signal(signal.SIGTERM)
        status = await site.gateway.wait_for_exit(GRACE_S)
        took_s = time.monotonic() - began_s
        self.assertEqual(status, 0, site.gateway.log_records("stop_stage"))
        self.assertEqual(len(site.gateway.log_records("process_stopped")), 1)
        return took_s


if __name__ == "__main__":
    unittest.main()
