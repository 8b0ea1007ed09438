"""Odd records end no task on either interface, hide no later one and cost few lines."""

import asyncio
import json
import time
import unittest
from collections.abc import Iterator
from typing import Any

from aiohttp import web

from celerytrack.entry._tail import catch_up, follow
from celerytrack.entry.config_follower import ConfigFollower, config_record
from celerytrack.entry.fleet_view import FleetView
from celerytrack.ids import ReplicaId, Zone
from celerytrack.logclient import LogClient
from celerytrack.platform.topics import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    ENDPOINTS_TOPIC,
    ENTRIES_TOPIC,
    SUSPECTS_TOPIC,
)
from celerytrack.routing.replica_load import Ask
from celerytrack.routing.replicas import make_predictor
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet, config, free_port
from tests.own_cut_fleet import own_config

DEPTH = 100_000
DEEP = (
    "[" * DEPTH + "]" * DEPTH,
    "[" * DEPTH,
    '{"a":' * DEPTH + "1" + "}" * DEPTH,
    '{"a":' * DEPTH,
)
NUMBERS = ("9" * 400, "9" * 5_000, "9" * 1_000_000, "NaN", "Infinity", "1e999", "-1")
MAX_LINE_CHARS = 2_000
READ_S = 3.0
IN_FORCE_WITHIN_S = 8.0


def _odd(document: dict[str, Any]) -> Iterator[str]:
    """A document as text, with an odd value as a whole and in each of its fields."""
    yield from DEEP
    for field, value in document.items():
        is_number = type(value) in (int, float)
        for odd in (*DEEP, *(NUMBERS if is_number else NUMBERS[1:4])):
            text = json.dumps({**document, field: "@"})
            yield text.replace('"@"', odd)


def _long_lines(logs: Any) -> list[str]:
    lines = [str(record.__dict__) for record in logs.records]
    return [line[:200] for line in lines if len(line) > MAX_LINE_CHARS]


async def _good(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
    return web.Response(body=b"good", headers=headers)


class GatewayOddRecordTest(unittest.TestCase):
    def test_odd_records_hide_no_later_one(self) -> None:
        """A record nested too deep, or with a number too long, ended a task or hid the
        records after it."""
        asyncio.run(self._play())

    async def _play(self) -> None:
        async with Fleet(Endpoint("i-1", _good), gateways=2) as fleet:
            registration = json.loads(Endpoint("x", _good).registration())
            registration |= {"sequence": 1, "born": 1, "coldLeftMs": 0}
            with self.assertLogs("celerytrack", "INFO") as logs:
                for number, text in enumerate(_odd(registration)):
                    for topic in (ENDPOINTS_TOPIC, ENTRIES_TOPIC, SUSPECTS_TOPIC):
                        fleet.log.put(topic, f"x-{number}", text.encode())
                for text in _odd(json.loads(config(version=2))):
                    fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, text.encode())
                await asyncio.sleep(READ_S)
                later = Endpoint("i-2", _good)
                fleet.log.put(ENDPOINTS_TOPIC, "i-2", later.registration())
                fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, config(version=3))

                def is_read() -> bool:
                    return all(
                        g.routing_table is not None
                        and g.routing_table.version == 3
                        and "i-2" in g.endpoints.registered_ids()
                        for g in fleet.gateways
                    )

                await fleet.wait_until(is_read)
                answer = await fleet.ask("/once/x")
            self.assertEqual(answer[0], 200)
            self.assertEqual(_long_lines(logs), [])


class _RawLog:
    """A log of the own interface whose records are texts, whatever they hold."""

    def __init__(self, *records: str) -> None:
        self.records = list(records)
        self.reads = 0

    def make_app(self) -> web.Application:
        app = web.Application()
        app.router.add_get("/streams/{name}", self._read)
        app.router.add_get("/streams/{name}/last", self._last)
        return app

    async def _read(self, request: web.Request) -> web.Response:
        self.reads += 1
        start, limit = int(request.query["from"]), int(request.query["limit"])
        if start >= len(self.records):
            await asyncio.sleep(float(request.query["wait_s"]))
        pairs = list(enumerate(self.records))[start : start + limit]
        listed = ",".join(f"[{offset},{record}]" for offset, record in pairs)
        following = start + len(pairs)
        text = f'{{"records":[{listed}],"next_offset":{following},"start_offset":0}}'
        return web.Response(text=text, content_type="application/json")

    async def _last(self, request: web.Request) -> web.Response:
        offset = len(self.records) - 1
        text = f'{{"offset":{offset},"record":{self.records[-1]}}}'
        return web.Response(text=text, content_type="application/json")


async def _serve(app: web.Application) -> tuple[web.AppRunner, str]:
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    port = free_port()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner, f"127.0.0.1:{port}"


class OwnOddRecordTest(unittest.TestCase):
    def test_odd_records_of_a_stream_hide_no_later_one(self) -> None:
        """A record nested too deep ended the task that follows a stream; one with a
        number too long was read again for ever, and none after it."""
        asyncio.run(self._play_stream())

    async def _play_stream(self) -> None:
        odd = list(_odd({"type": "bills", "at_s": 1.0, "tokens": 1}))
        # A record that is never closed would be no record of an answer in JSON.
        odd = [text for text in odd if text.count("[") == text.count("]")]
        odd = [text for text in odd if text.count("{") == text.count("}")]
        log = _RawLog('"first"', *odd, '"last"')
        runner, address = await _serve(log.make_app())
        client = LogClient(address, "test")
        applied: list[Any] = []
        with self.assertLogs("celerytrack", "WARNING") as logs:
            following = asyncio.create_task(
                follow(client, "s", 0, lambda _, record: applied.append(record))
            )
            until_s = time.monotonic() + IN_FORCE_WITHIN_S
            while "last" not in applied and not following.done():
                self.assertLess(time.monotonic(), until_s, "the last is not read")
                await asyncio.sleep(0.05)
            self.assertFalse(following.done(), "the task ended")
            following.cancel()
            caught_up = await catch_up(client, "s", 0, lambda _, record: None)
        self.assertEqual(caught_up, len(log.records))
        self.assertEqual(applied[0], "first")
        self.assertEqual(_long_lines(logs), [])
        await client.close()
        await runner.cleanup()

    def test_odd_configurations_hide_no_later_one(self) -> None:
        """The last record is read first: one that can't be parsed kept an entry from
        starting."""
        asyncio.run(self._play_configuration())

    async def _play_configuration(self) -> None:
        deep = DEEP[0]
        record = json.dumps(config_record(own_config(), None, 0.0))
        log = _RawLog(record, deep)
        runner, address = await _serve(log.make_app())
        client = LogClient(address, "test")
        follower = ConfigFollower(client)
        running = asyncio.create_task(follower.run())
        await asyncio.sleep(0.5)
        log.records += [NUMBERS[1], NUMBERS[2], deep, record]
        until_s = time.monotonic() + IN_FORCE_WITHIN_S
        while follower.version < len(log.records) - 1 and not running.done():
            self.assertLess(time.monotonic(), until_s, "not in force")
            await asyncio.sleep(0.05)
        self.assertFalse(running.done(), "the task ended")
        running.cancel()
        await client.close()
        await runner.cleanup()


class OwnOddReportTest(unittest.TestCase):
    def test_odd_lists_and_reports_end_no_task(self) -> None:
        """A list or report nested too deep ended the task that reads both; a number too
        large for a float ended the choice of a replica."""
        asyncio.run(self._play())

    async def _play(self) -> None:
        item = {"role": "replica", "zone": "z", "model": "m", "state": "live"}
        report = {"capacity": 8, "running": 0, "queued": 0, "prefill_tokens": 0}
        report |= {"cache_blocks": 0, "born_ms": 1, "at_s": 1.0}
        answers = {"list": "", "load": json.dumps(report)}

        async def listed(request: web.Request) -> web.Response:
            return web.Response(text=answers["list"], content_type="application/json")

        async def load(request: web.Request) -> web.Response:
            return web.Response(text=answers["load"], content_type="application/json")

        app = web.Application()
        app.add_routes([web.get("/instances", listed), web.get("/load", load)])
        runner, address = await _serve(app)
        good = json.dumps({**item, "id": "r-1", "address": address})
        view = FleetView(address, poll_s=5.0)
        with self.assertLogs("celerytrack", "INFO") as logs:
            for text in _odd({**item, "id": "x", "address": address}):
                answers["list"] = f'{{"instances":[{good},{text}]}}'
                await view.refresh()
            answers["list"] = f'{{"instances":[{good}]}}'
            await view.refresh()
            for text in _odd(report):
                answers["load"] = text
                await view.refresh()
                self._assert_usable(view, text)
            answers["load"] = json.dumps({**report, "capacity": 9})
            await view.refresh()
        self.assertEqual(view.replicas[ReplicaId("r-1")].capacity, 9)
        self.assertEqual(_long_lines(logs), [])
        await view.close()
        await runner.cleanup()

    def _assert_usable(self, view: FleetView, text: str) -> None:
        """Whether a replica can still be chosen or passed over."""
        replica = view.replicas[ReplicaId("r-1")]
        load = replica.load(time.time())
        for value in (load.running, load.prefill_tokens, replica.capacity):
            self.assertLess(abs(value), 2**63, text[:100])
        make_predictor()([replica], Ask("m", 0), Zone("z"), time.time())
