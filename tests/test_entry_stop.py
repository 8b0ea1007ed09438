"""Planned stops of the own interface's entries, as processes: each ends by itself
within the grace time that its supervisor gives it."""

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
    MOST_OUTPUT_TOKENS,
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


async def _ended(fleet: Fleet, within_s: float) -> int | None:
    """The entry's exit status, or ``None`` if it still runs after ``within_s``."""
    try:
        return await asyncio.to_thread(fleet.wait_exit, ENTRY, within_s)
    except subprocess.TimeoutExpired:
        return None


def _lines(fleet: Fleet, event: str) -> list[dict[str, object]]:
    lines = (fleet.logs / f"{ENTRY}.log").read_text().splitlines()
    found = [json.loads(line) for line in lines if line.startswith("{")]
    return [line for line in found if line.get("message") == event]


async def _in_flight(fleet: Fleet, count: int) -> None:
    """Wait until the entry has ``count`` requests in progress."""
    url = f"http://{fleet.fleet.entry(ENTRY).address}/status"
    async with aiohttp.ClientSession() as http:
        for _ in range(100):
            async with http.get(url) as answer:
                if (await answer.json())["in_flight"] == count:
                    return
            await asyncio.sleep(0.05)
    raise AssertionError(f"never {count} requests in progress")


async def _ask_and_not_read(fleet: Fleet) -> asyncio.StreamWriter:
    """Ask for a long stream and leave it on its way."""
    host, port = fleet.fleet.entry(ENTRY).address.split(":")
    _, writer = await asyncio.open_connection(host, int(port), limit=1)
    ask = {"model": STREAM_CLASS, "max_tokens": MOST_OUTPUT_TOKENS, "messages": []}
    body = json.dumps(ask)
    fields = {**HEADERS, "Host": host, "Content-Length": str(len(body))}
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    writer.write(f"POST /v1/chat/completions HTTP/1.1\r\n{head}\r\n{body}".encode())
    return writer


class StopTimesTest(unittest.TestCase):
    @params((2.0, 6.0), (30.0, 40.0), (30.0, 34.0))
    def test_each_part_has_time_and_all_fit(self, drain_s, grace_s):
        """Guards against a part of the stop that begins when its time is over."""
        tuning = EntryTuning(drain_grace_s=drain_s, stop_grace_s=grace_s)
        times = attrs.astuple(plan_stop(tuning, 100.0))
        ends = [*times, 100.0 + grace_s]
        self.assertEqual(times[:2], (100.0, 100.0 + drain_s))
        for before, after in itertools.pairwise(ends):
            self.assertGreaterEqual(after - before, 0.5)


class EntryStopTest(unittest.TestCase):
    async def _stops(self, fleet: Fleet) -> float:
        """Stop the entry; how long it took to end by itself."""
        began_s = time.monotonic()
        fleet.signal(ENTRY, signal.SIGTERM)
        status = await _ended(fleet, GRACE_S)
        took_s = time.monotonic() - began_s
        self.assertEqual(status, 0, _lines(fleet, "stop_stage"))
        self.assertEqual(len(_lines(fleet, "process_stopped")), 1)
        return took_s

    def _told(self, outcome: Outcome) -> None:
        """The caller heard that its request may have run, and when to come back."""
        self.assertTrue(outcome.whole)
        self.assertFalse(outcome.done)
        self.assertEqual(outcome.error.get("verdict"), "may_have_run")
        self.assertIsNotNone(outcome.error.get("retry_after_s"))

    def test_a_stop_ends_by_itself_beside_a_long_stream(self):
        """Guards against a stream that breaks off without a word as its entry stops."""
        asyncio.run(self._beside_stream())

    async def _beside_stream(self) -> None:
        async with _started(token_s=0.1) as fleet:
            asking = asyncio.create_task(ask_stream(fleet, 500))
            await _in_flight(fleet, 1)
            # What is in progress is given its time first.
            self.assertGreater(await self._stops(fleet), DRAIN_S)
            outcome = await asking
            self.assertEqual(outcome.status, 200)
            self._told(outcome)

    def test_a_stop_ends_by_itself_beside_a_call(self):
        """Guards against a call that gets no answer as its entry stops."""
        asyncio.run(self._beside_call())

    async def _beside_call(self) -> None:
        async with _started(token_s=0.01) as fleet:
            address = fleet.fleet.replica(SERVICE).address
            await asyncio.to_thread(post_json, address, "/_faults", {"slow_s": 20})
            asking = asyncio.create_task(ask_call(fleet))
            await _in_flight(fleet, 1)
            await self._stops(fleet)
            outcome = await asking
            self.assertEqual(outcome.status, 504)
            self._told(outcome)

    def test_a_caller_that_does_not_read_does_not_delay_the_exit(self):
        """Guards against a stop that waits for a caller's full link."""
        asyncio.run(self._unread())

    async def _unread(self) -> None:
        async with _started(token_s=0.0) as fleet:
            writer = await _ask_and_not_read(fleet)
            await _in_flight(fleet, 1)
            await asyncio.sleep(1.0)
            await self._stops(fleet)
            writer.close()

    @params(("slow_s", 30.0), ("outage", True))
    def test_a_log_that_takes_nothing_does_not_delay_the_exit(self, knob, value):
        """Guards against a stop that waits for the log without an end."""
        asyncio.run(self._silent_log(knob, value))

    async def _silent_log(self, knob: str, value: float | bool) -> None:
        async with _started(token_s=0.01) as fleet:
            # Grants are taken, so that there are some to give back.
            self.assertTrue((await ask_stream(fleet, 10)).done)
            address = fleet.fleet.platform.log_address
            await asyncio.to_thread(post_json, address, "/_faults", {knob: value})
            self.assertTrue((await ask_stream(fleet, 10)).done)
            await self._stops(fleet)
            (stopped,) = _lines(fleet, "process_stopped")
            self.assertGreater(stopped.get("ledger_backlog", 0), 0)

    def test_a_silent_log_without_bills_delays_the_exit_little(self):
        """Guards against a roll that waits its whole grace times for a log."""
        asyncio.run(self._no_bills())

    async def _no_bills(self) -> None:
        async with started(small_fleet(0.01)) as fleet:
            self.assertTrue((await ask_stream(fleet, 10)).done)
            address = fleet.fleet.platform.log_address
            await asyncio.to_thread(post_json, address, "/_faults", {"slow_s": 30})
            await self._stops(fleet)

    def test_a_silent_engine_does_not_delay_the_exit(self):
        """Guards against a stop that waits for an engine that says nothing."""
        asyncio.run(self._silent_engine())

    async def _silent_engine(self) -> None:
        async with _started(token_s=0.1) as fleet:
            asking = asyncio.create_task(ask_stream(fleet, 500))
            await _in_flight(fleet, 1)
            fleet.signal(ENGINE, signal.SIGSTOP)
            await self._stops(fleet)
            self._told(await asking)

    def test_a_signal_after_a_drain_lets_streams_end(self):
        """Guards against a stop that cuts streams because a drain has begun before."""
        asyncio.run(self._drained_before())

    async def _drained_before(self) -> None:
        async with _started(token_s=0.02) as fleet:
            asking = asyncio.create_task(ask_stream(fleet, 60))
            await _in_flight(fleet, 1)
            address = fleet.fleet.entry(ENTRY).address
            await asyncio.to_thread(post_json, address, "/admin/drain", {})
            await self._stops(fleet)
            outcome = await asking
            self.assertEqual((outcome.done, outcome.events), (True, 60))

    def test_answers_behind_the_signal_close_their_connections(self):
        """Guards against a request that is lost as it crosses the listener's close."""
        asyncio.run(self._closing())

    async def _closing(self) -> None:
        async with _started(token_s=0.1) as fleet:
            asking = asyncio.create_task(ask_stream(fleet, 500))
            await _in_flight(fleet, 1)
            self.assertFalse((await ask_call(fleet)).closes)
            fleet.signal(ENTRY, signal.SIGTERM)
            await asyncio.sleep(0.5)
            self.assertTrue((await ask_call(fleet)).closes)
            address = fleet.fleet.entry(ENTRY).address
            async with aiohttp.ClientSession() as http:
                async with http.get(f"http://{address}/healthz") as answer:
                    self.assertEqual(answer.headers.get("Connection"), "close")
            await asking
            self.assertEqual(await _ended(fleet, GRACE_S), 0)

    def test_a_request_behind_the_signal_is_refused_at_once(self):
        """Guards against a request taken that the stop would cut."""
        asyncio.run(self._late())

    async def _late(self) -> None:
        async with _started(token_s=0.1) as fleet:
            asking = asyncio.create_task(ask_stream(fleet, 500))
            await _in_flight(fleet, 1)
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
            self.assertEqual(await _ended(fleet, GRACE_S), 0)


if __name__ == "__main__":
    unittest.main()
