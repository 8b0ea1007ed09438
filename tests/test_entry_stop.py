"""Planned stops of entry processes with the product's own interface. Each process must
exit by itself within the grace time of its supervisor."""

import asyncio
import contextlib
import itertools
import json
import signal
import subprocess
import time
import unittest

import aiohttp
import attrs
from nose2.tools import params

from celerytrack.entry.stopping import plan_stop
from celerytrack.settings import EntryTuning
from tests.fleet import Fleet, post_json
from tests.small_fleet import (
    ENGINE,
    ENTRY,
    HEADERS,
    MAX_OUTPUT_TOKENS,
    SERVICE,
    STREAM_CLASS,
    Outcome,
    ask_call,
    ask_stream,
    small_fleet,
    started,
)

DRAIN_S = 2.0
GRACE_S = 6.0


def _started(token_s: float) -> contextlib.AbstractAsyncContextManager[Fleet]:
    return started(small_fleet(token_s, drain_grace_s=DRAIN_S, stop_grace_s=GRACE_S))


async def _exit_status(fleet: Fleet, within_s: float) -> int | None:
    """The entry's exit status, or ``None`` if it still runs after ``within_s``."""
    try:
        return await asyncio.to_thread(fleet.wait_exit, ENTRY, within_s)
    except subprocess.TimeoutExpired:
        return None


def _log_lines(fleet: Fleet, event: str) -> list[dict[str, object]]:
    lines = (fleet.logs / f"{ENTRY}.log").read_text().splitlines()
    found = [json.loads(line) for line in lines if line.startswith("{")]
    return [line for line in found if line.get("message") == event]


async def _wait_in_flight(fleet: Fleet, count: int) -> None:
    """Wait until the entry has ``count`` requests in progress."""
    url = f"http://{fleet.fleet.entry(ENTRY).address}/status"
    async with aiohttp.ClientSession() as http:
        for _ in range(100):
            async with http.get(url) as answer:
                if (await answer.json())["in_flight"] == count:
                    return
            await asyncio.sleep(0.05)
    raise AssertionError(f"the entry never had {count} requests in progress")


async def _ask_without_reading(fleet: Fleet) -> asyncio.StreamWriter:
    """Request a long stream and do not read the answer."""
    host, port = fleet.fleet.entry(ENTRY).address.split(":")
    _, writer = await asyncio.open_connection(host, int(port), limit=1)
    ask = {"model": STREAM_CLASS, "max_tokens": MAX_OUTPUT_TOKENS, "messages": []}
    body = json.dumps(ask)
    fields = {**HEADERS, "Host": host, "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"POST /v1/chat/completions HTTP/1.1\r\n{head}\r\n{body}".encode())
    return writer


class StopTimesTest(unittest.TestCase):
    @params((2.0, 6.0), (30.0, 40.0), (30.0, 34.0))
    def test_each_stage_has_time_and_all_fit(self, drain_s, grace_s):
        """Guards against a stage of the stop that starts after its deadline."""
        tuning = EntryTuning(drain_grace_s=drain_s, stop_grace_s=grace_s)
        times = attrs.astuple(plan_stop(tuning, 100.0))
        deadlines = [*times, 100.0 + grace_s]
        self.assertEqual(times[:2], (100.0, 100.0 + drain_s))
        for before, after in itertools.pairwise(deadlines):
            self.assertGreaterEqual(after - before, 0.5)


class EntryStopTest(unittest.TestCase):
    async def _stop_entry(self, fleet: Fleet) -> float:
        """Stop the entry, check that it exits by itself and return how long it took."""
        began_s = time.monotonic()
        fleet.signal(ENTRY, signal.SIGTERM)
        status = await _exit_status(fleet, GRACE_S)
        took_s = time.monotonic() - began_s
        self.assertEqual(status, 0, _log_lines(fleet, "stop_stage"))
        self.assertEqual(len(_log_lines(fleet, "process_stopped")), 1)
        return took_s

    def _check_refusal(self, outcome: Outcome) -> None:
        """Check that the caller got ``may_have_run`` and a ``retry_after_s``."""
        self.assertTrue(outcome.whole)
        self.assertFalse(outcome.done)
        self.assertEqual(outcome.error.get("verdict"), "may_have_run")
        self.assertIsNotNone(outcome.error.get("retry_after_s"))

    def test_a_long_stream_ends_with_a_refusal_at_a_stop(self):
        """Guards against a stream that ends without a final event at a stop."""
        asyncio.run(self._stop_during_stream())

    async def _stop_during_stream(self) -> None:
        async with _started(token_s=0.1) as fleet:
            asking = asyncio.create_task(ask_stream(fleet, 500))
            await _wait_in_flight(fleet, 1)
            # The stream gets its whole drain time first.
            self.assertGreater(await self._stop_entry(fleet), DRAIN_S)
            outcome = await asking
            self.assertEqual(outcome.status, 200)
            self._check_refusal(outcome)

    def test_a_slow_call_is_answered_at_a_stop(self):
        """Guards against a service call that gets no answer at a stop."""
        asyncio.run(self._stop_during_call())

    async def _stop_during_call(self) -> None:
        async with _started(token_s=0.01) as fleet:
            address = fleet.fleet.replica(SERVICE).address
            await asyncio.to_thread(post_json, address, "/_faults", {"slow_s": 20})
            asking = asyncio.create_task(ask_call(fleet))
            await _wait_in_flight(fleet, 1)
            await self._stop_entry(fleet)
            outcome = await asking
            self.assertEqual(outcome.status, 504)
            self._check_refusal(outcome)

    def test_a_caller_that_does_not_read_does_not_delay_the_exit(self):
        """Guards against a stop that waits for the full connection of a caller."""
        asyncio.run(self._caller_does_not_read())

    async def _caller_does_not_read(self) -> None:
        async with _started(token_s=0.0) as fleet:
            writer = await _ask_without_reading(fleet)
            await _wait_in_flight(fleet, 1)
            await asyncio.sleep(1.0)
            await self._stop_entry(fleet)
            writer.close()

    @params(("slow_s", 30.0), ("outage", True))
    def test_a_log_that_accepts_nothing_does_not_delay_the_exit(self, fault, value):
        """Guards against a stop that waits for the log without a time limit."""
        asyncio.run(self._unresponsive_log(fault, value))

    async def _unresponsive_log(self, fault: str, value: float | bool) -> None:
        async with _started(token_s=0.01) as fleet:
            # The first request makes the entry take grants, which a stop settles.
            self.assertTrue((await ask_stream(fleet, 10)).done)
            address = fleet.fleet.platform.log_address
            await asyncio.to_thread(post_json, address, "/_faults", {fault: value})
            self.assertTrue((await ask_stream(fleet, 10)).done)
            await self._stop_entry(fleet)
            (stopped,) = _log_lines(fleet, "process_stopped")
            self.assertGreater(stopped.get("ledger_backlog", 0), 0)

    def test_an_unresponsive_log_delays_the_exit_little_without_bills(self):
        """Guards against a rolling restart in which each stop waits its whole grace
        time for the log although there are no bills to write."""
        asyncio.run(self._no_bills())

    async def _no_bills(self) -> None:
        async with started(small_fleet(0.01)) as fleet:
            self.assertTrue((await ask_stream(fleet, 10)).done)
            address = fleet.fleet.platform.log_address
            await asyncio.to_thread(post_json, address, "/_faults", {"slow_s": 30})
            await self._stop_entry(fleet)

    def test_an_unresponsive_engine_does_not_delay_the_exit(self):
        """Guards against a stop that waits for an engine that sends nothing."""
        asyncio.run(self._unresponsive_engine())

    async def _unresponsive_engine(self) -> None:
        async with _started(token_s=0.1) as fleet:
            asking = asyncio.create_task(ask_stream(fleet, 500))
            await _wait_in_flight(fleet, 1)
            fleet.signal(ENGINE, signal.SIGSTOP)
            await self._stop_entry(fleet)
            self._check_refusal(await asking)

    def test_a_stop_after_a_drain_lets_streams_finish(self):
        """Guards against a stop that aborts streams because a drain preceded it."""
        asyncio.run(self._stop_after_drain())

    async def _stop_after_drain(self) -> None:
        async with _started(token_s=0.02) as fleet:
            asking = asyncio.create_task(ask_stream(fleet, 60))
            await _wait_in_flight(fleet, 1)
            address = fleet.fleet.entry(ENTRY).address
            await asyncio.to_thread(post_json, address, "/admin/drain", {})
            await self._stop_entry(fleet)
            outcome = await asking
            self.assertEqual((outcome.done, outcome.events), (True, 60))

    def test_answers_after_the_signal_close_their_connections(self):
        """Guards against the loss of a request that is sent on a kept-alive connection
        just as the listener closes."""
        asyncio.run(self._connection_close())

    async def _connection_close(self) -> None:
        async with _started(token_s=0.1) as fleet:
            asking = asyncio.create_task(ask_stream(fleet, 500))
            await _wait_in_flight(fleet, 1)
            self.assertFalse((await ask_call(fleet)).closes)
            fleet.signal(ENTRY, signal.SIGTERM)
            await asyncio.sleep(0.5)
            self.assertTrue((await ask_call(fleet)).closes)
            address = fleet.fleet.entry(ENTRY).address
            async with aiohttp.ClientSession() as http:
                async with http.get(f"http://{address}/healthz") as answer:
                    self.assertEqual(answer.headers.get("Connection"), "close")
            await asking
            self.assertEqual(await _exit_status(fleet, GRACE_S), 0)

    def test_a_request_after_the_signal_is_refused_at_once(self):
        """Guards against accepting a request that the stop would abort."""
        asyncio.run(self._late_request())

    async def _late_request(self) -> None:
        async with _started(token_s=0.1) as fleet:
            asking = asyncio.create_task(ask_stream(fleet, 500))
            await _wait_in_flight(fleet, 1)
            fleet.signal(ENTRY, signal.SIGTERM)
            await asyncio.sleep(0.5)
            began_s = time.monotonic()
            late = await ask_stream(fleet, 10)
            self.assertLess(time.monotonic() - began_s, 0.5)
            self.assertEqual((late.status, late.whole), (503, True))
            self.assertEqual(late.error["reason"], "draining")
            self.assertEqual(late.error["verdict"], "did_not_run")
            self.assertIsNotNone(late.error["retry_after_s"])
            await asking
            self.assertEqual(await _exit_status(fleet, GRACE_S), 0)


if __name__ == "__main__":
    unittest.main()
