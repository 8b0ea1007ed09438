"""Tests of planned stops of real processes.

No request admitted during a stop is aborted, and each process exits on its own.
"""

import asyncio
import contextlib
import math
import signal
import time
import unittest

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.durations import MAX_SAMPLES, MIN_SAMPLES, RecentDurations
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
"""Time after the signal at which callers that cache an address answer for long may
still send requests."""
HEADERS = {
    "Host": HOST,
    "X-Attempt-Id": "r1",
    "X-Deadline-Ms": "15000",
    "Authorization": f"Bearer {KEY}",
}


def _echo(request: web.BaseRequest) -> dict[str, str]:
    return {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}


async def _long_stream(request: web.BaseRequest) -> web.StreamResponse:
    """Send an event every 0.1 s for longer than any grace time."""
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


async def _slow_when_late(request: web.BaseRequest) -> web.StreamResponse:
    """Answer at once before a stop, and not in time after it."""
    if request.headers["X-Attempt-Id"].startswith("before"):
        return web.Response(body=b"good", headers=_echo(request))
    return await _slow_answer(request)


async def _large_answer(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b"x" * 8_000_000, headers=_echo(request))


class Outcome:
    """The answer to one request as the caller received it."""

    def __init__(self) -> None:
        self.status: int | None = None
        self.retry_after: str | None = None
        self.body = b""
        self.complete = False


class Site:
    """A gateway process with a stand-in log and one scripted endpoint.

    :param grace_s: time from SIGTERM to SIGKILL of the process.
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
        """Send one request and read the answer in pieces, with a pause after each."""
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
                outcome.complete = True
        return outcome

    async def ask_without_reading(self, path: str) -> Outcome:
        """Send one request and leave the answer unread."""
        host, port = self.gateway.front_address.split(":")
        _, writer = await asyncio.open_connection(host, int(port), limit=1)
        head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
        writer.write(
            f"POST {path} HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n".encode()
        )
        await asyncio.sleep(2 * GRACE_S)
        writer.close()
        return Outcome()

    async def until_request_arrives(self) -> None:
        """Wait until a request has reached the endpoint."""
        await self.gateway.wait_until(lambda: bool(self.endpoint.seen), 3.0)


class StopTimesTest(unittest.TestCase):
    @params(
        # seconds after the signal, longest and likely duration, is a stream, admitted
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
    def test_only_requests_that_end_in_time_are_admitted(
        self, after_s, most_s, likely_s, stream, admitted
    ):
        """Guards against requests that are admitted during a stop and cannot end in
        time."""
        stop = PlannedStop(began_s=100.0, grace_s=8.0)
        lasting = Lasting(most_s, likely_s, stream)
        self.assertIs(stop.can_admit(lasting, 100.0 + after_s), admitted)

    @params(
        # seconds after the signal, longest and likely duration, admitted
        (0.0, 15.0, 7.1, True),
        (0.0, 15.0, 7.3, False),
        (2.7, 15.0, 4.2, True),
        (2.9, 15.0, 0.1, False),
        (3.1, 4.5, 0.1, False),
        (3.1, 4.0, 0.1, True),
        (5.0, 2.0, 0.1, True),
        (5.0, 2.5, 0.1, False),
    )
    def test_late_requests_that_cannot_be_repeated_are_admitted_by_their_deadline(
        self, after_s, most_s, likely_s, admitted
    ):
        """What was usual so far let in a request that was cut and in doubt then."""
        stop = PlannedStop(began_s=100.0, grace_s=8.0)
        lasting = Lasting(most_s, likely_s, stream=False, once=True)
        self.assertIs(stop.can_admit(lasting, 100.0 + after_s), admitted)

    @params((1.0,), (2.0,), (8.0,), (30.0,), (300.0,))
    def test_stages_fit_the_grace_time(self, grace_s):
        """Guards against stages of a stop that add up to more than the grace time."""
        stop = PlannedStop(began_s=100.0, grace_s=grace_s)
        ends_s = 100.0 + grace_s
        self.assertLess(stop.accepts_until_s, stop.drain_deadline_s)
        self.assertGreaterEqual(stop.drain_deadline_s, ends_s - grace_s / 6)
        self.assertLess(stop.drain_deadline_s, stop.close_deadline_s)
        self.assertLess(stop.close_deadline_s + stop.close_timeout_s, ends_s)

    @params((0, math.inf), (2, math.inf), (3, 2.0), (20, 18.0), (50, 47.0), (60, 57.0))
    def test_likely_duration_covers_nearly_all_past_requests(self, ended, likely_s):
        durations = RecentDurations()
        for i in range(ended):
            durations.add("route", float(i))
        self.assertEqual(durations.p95_s("route"), likely_s)

    def test_old_durations_are_discarded(self):
        durations = RecentDurations()
        durations.add("route", 99.0)
        for _ in range(MAX_SAMPLES):
            durations.add("route", 1.0)
        self.assertEqual(durations.p95_s("route"), 1.0)


class PlannedStopTest(unittest.TestCase):
    @params(("/stream/x",), ("/resume/x",))
    def test_late_stream_that_may_outlast_the_stop_is_refused(self, path):
        """Guards against a stream that is admitted long after SIGTERM and aborted."""
        asyncio.run(self._assert_late_stream_refused(path))

    async def _assert_late_stream_refused(self, path: str) -> None:
        async with Site(_long_stream) as site:
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(LATE_S)
            try:
                outcome = await asyncio.wait_for(site.ask(path), 1.0)
            except TimeoutError:
                self.fail("the stream was admitted")
            self.assertEqual((outcome.status, outcome.complete), (503, True))
            self.assertEqual(float(outcome.retry_after or "nan"), 0.0)
            self.assertEqual(len(site.endpoint.seen), 0)

    @params(
        # path, status of the late request, whether it reaches the endpoint
        ("/once/x", 503, False),
        ("/plain/x", 504, True),
    )
    def test_late_request_to_an_endpoint_that_has_become_slow(
        self, path, status, reached
    ):
        """Admitted by what was usual, a request that can't be repeated was cut, and
        nobody knew whether it had run."""
        outcome, seen = asyncio.run(self._play_late(path))
        self.assertEqual((outcome.status, outcome.complete), (status, True))
        verdict = b'"may_have_run"' if reached else b'"did_not_run"'
        self.assertIn(verdict, outcome.body)
        self.assertIs("late" in seen, reached)

    async def _play_late(self, path: str) -> tuple[Outcome, set[str]]:
        async with Site(_slow_when_late) as site:
            for i in range(MIN_SAMPLES):
                await site.ask(path, request_id=f"before-{i}")
            keeps_up = asyncio.create_task(site.ask("/plain/x", request_id="long"))
            await asyncio.sleep(0.1)
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(LATE_S)
            late = await site.ask(path, request_id="late")
            await keeps_up
            self.assertEqual(await site.gateway.wait_for_exit(GRACE_S), 0)
            seen = {request.headers["X-Attempt-Id"] for request in site.endpoint.seen}
            return late, seen

    @params(
        # script that outlasts the stop, path, status of the answer
        (_long_stream, "/stream/x", 200),
        (_slow_answer, "/once/x", 504),
    )
    def test_process_exits_in_time_with_a_request_in_progress(
        self, script, path, status
    ):
        """Guards against processes that are killed at the end of the grace time."""
        asyncio.run(self._assert_exits_in_time(script, path, status))

    async def _assert_exits_in_time(
        self, script: Script, path: str, status: int
    ) -> None:
        async with Site(script) as site:
            pending = asyncio.create_task(site.ask(path))
            await site.until_request_arrives()
            took_s = await self._stop_gateway(site)
            # The request in progress first gets the time that the stop allows.
            self.assertGreater(took_s, GRACE_S * 5 / 6)
            outcome = await pending
            self.assertEqual(outcome.status, status)
            # A stream that has begun must be seen as incomplete; any other request
            # gets a complete answer that says that it may have run.
            self.assertEqual(outcome.complete, status == 504)

    def test_caller_that_does_not_read_does_not_delay_the_exit(self):
        """Guards against a stop that waits for a caller with a full receive buffer."""
        asyncio.run(self._assert_unread_answer_is_left())

    async def _assert_unread_answer_is_left(self) -> None:
        async with Site(_large_answer) as site:
            pending = asyncio.create_task(site.ask_without_reading("/plain/x"))
            await site.until_request_arrives()
            await self._stop_gateway(site)
            pending.cancel()

    def test_answer_in_flight_is_sent_completely_before_the_exit(self):
        """Guards against the loss of an answer's last bytes when the process exits."""
        asyncio.run(self._assert_answer_completed())

    async def _assert_answer_completed(self) -> None:
        async with Site(_large_answer) as site:
            # The caller reads 8 MB in 5 s.
            pending = asyncio.create_task(site.ask("/plain/x", 80_000, 0.05))
            await site.until_request_arrives()
            await self._stop_gateway(site)
            outcome = await pending
            self.assertEqual((outcome.complete, len(outcome.body)), (True, 8_000_000))

    def test_requests_until_the_exit_are_refused_or_answered(self):
        """Guards against requests that are admitted while the listeners close and get
        no answer."""
        asyncio.run(self._assert_answered_until_exit())

    async def _assert_answered_until_exit(self) -> None:
        async with Site(_short_answer) as site:
            for i in range(MIN_SAMPLES):
                await site.ask("/once/x", request_id=f"before-{i}")
            site.gateway.signal(signal.SIGTERM)
            tasks: dict[str, asyncio.Task[Outcome]] = {}
            # Requests are sequential, with gaps in which none is in progress.
            while await site.gateway.wait_for_exit(0.45) is None:
                name = f"r{len(tasks)}"
                task = asyncio.create_task(site.ask("/once/x", request_id=name))
                tasks[name] = task
            outcomes = {name: await task for name, task in tasks.items()}
        ran = {request.headers["X-Attempt-Id"] for request in site.endpoint.seen}
        unanswered = {
            name for name, outcome in outcomes.items() if not outcome.complete
        }
        self.assertEqual(ran & unanswered, set())

    def test_unresponsive_store_does_not_delay_the_exit(self):
        """Guards against a stop that waits for a store that does not answer."""
        asyncio.run(self._assert_exits_without_store())

    async def _assert_exits_without_store(self) -> None:
        async with Site(_slow_answer) as site:
            site.log.unresponsive = True
            pending = asyncio.create_task(site.ask("/plain/x"))
            await site.until_request_arrives()
            await self._stop_gateway(site)
            await pending

    def test_other_entries_learn_of_a_stop_while_the_store_is_unreachable(self):
        """Guards against a planned stop that other entries learn of through the log
        only."""
        asyncio.run(self._assert_notified_directly())

    async def _assert_notified_directly(self) -> None:
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

    def test_last_row_returns_the_unspent_tokens(self):
        """Guards against tokens that count as spent if a stop writes no last row."""
        asyncio.run(self._assert_tokens_returned())

    async def _assert_tokens_returned(self) -> None:
        async with Fleet(Endpoint("i-1", _short_answer), gateways=4) as fleet:
            await asyncio.sleep(1.0)
            for server in fleet.servers:
                server.stop()
                # Each entry stops at a different phase of its row interval.
                await asyncio.sleep(0.07)
            await fleet.wait_until(fleet.ended)
            rows = [fleet.newest_row(f"e{i}") for i in range(4)]
        self.assertEqual([row.shares[T].claimed_tokens for row in rows], [0] * 4)

    async def _stop_gateway(self, site: Site) -> float:
        """Send SIGTERM to the gateway, wait for its exit and return the time taken."""
        began_s = time.monotonic()
        site.gateway.signal(signal.SIGTERM)
        status = await site.gateway.wait_for_exit(GRACE_S)
        took_s = time.monotonic() - began_s
        self.assertEqual(status, 0, site.gateway.log_records("stop_stage"))
        self.assertEqual(len(site.gateway.log_records("process_stopped")), 1)
        return took_s


if __name__ == "__main__":
    unittest.main()
