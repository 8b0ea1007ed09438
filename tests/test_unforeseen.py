"""What isn't foreseen ends a request with a truthful verdict, on both interfaces."""

import asyncio
import importlib
import json
import unittest
from collections.abc import Callable
from typing import Any
from unittest import mock

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.platform.http import RESOLVE_PATH
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet
from tests.own_cut_fleet import KEY as OWN_KEY
from tests.own_cut_fleet import OwnCutFleet

LONG = "x" * 10_000
MAX_LINE_CHARS = 1_000
NOT_RUN = (503, "did_not_run")
MAY_HAVE_RUN = (502, "may_have_run")
_PIPELINE = "celerytrack.gateway.pipeline."
_SENDING = "celerytrack.gateway.sending."
_RELAY = "celerytrack.gateway.stream_relay."


async def _answer(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
    if not request.path.startswith("/stream/"):
        return web.Response(body=b"good", headers=headers)
    answer = web.StreamResponse(
        headers={**headers, "Content-Type": "text/event-stream"}
    )
    await answer.prepare(request)
    for number in range(3):
        await answer.write(b"id: %d\ndata: x\n\n" % number)
        await asyncio.sleep(0.05)
    return answer


def _failing_from(call: int, target: Any) -> Callable[..., Any]:
    """A stand-in of ``target`` that raises from its ``call``-th call on."""
    calls = 0

    def replaced(*args: Any, **more: Any) -> Any:
        nonlocal calls
        calls += 1
        if calls >= call:
            raise RuntimeError(LONG)
        return target(*args, **more)

    return replaced


def _patch(place: str, call: int = 1) -> Any:
    module, _, name = place.rpartition(".")
    owner = importlib.import_module(module)
    return mock.patch.object(owner, name, _failing_from(call, getattr(owner, name)))


class GatewayUnforeseenTest(unittest.TestCase):
    @params(
        (_PIPELINE + "admit", "/plain/x", NOT_RUN),
        (_PIPELINE + "reserve", "/once/x", NOT_RUN),
        (_SENDING + "choose_endpoint", "/once/x", NOT_RUN),
        (_SENDING + "attempt", "/once/x", MAY_HAVE_RUN),
        ("celerytrack.gateway.attempts.forwarded_headers", "/plain/x", MAY_HAVE_RUN),
        ("celerytrack.gateway.attempts.handle_response", "/once/x", MAY_HAVE_RUN),
        (_PIPELINE + "make_response", "/plain/x", MAY_HAVE_RUN),
        (_PIPELINE + "refuse", "/no-such-route", NOT_RUN),
        (_RELAY + "returned_headers", "/stream/x", MAY_HAVE_RUN),
    )
    def test_an_exception_becomes_a_verdict(
        self, place: str, path: str, expected: tuple[int, str]
    ) -> None:
        """An exception of our code or of a library became the HTTP library's own 500
        page, which says neither why nor whether the request ran."""
        answer = asyncio.run(self._ask(place, path, 1))
        assert answer is not None
        status, headers, body = answer
        self.assertEqual((status, headers["Content-Type"][:16]), (expected[0], _JSON))
        error = json.loads(body)["error"]
        self.assertEqual(
            (error["verdict"], error["reason"]), (expected[1], "unforeseen")
        )
        self.assertLess(len(body), MAX_LINE_CHARS)
        self.assertEqual("Retry-After" in headers, expected is NOT_RUN)

    @params((_RELAY + "_write", 2), (_PIPELINE + "finish_stream", 1))
    def test_a_stream_that_has_begun_is_aborted(self, place: str, call: int) -> None:
        """A stream that broke off must not look complete."""
        self.assertIsNone(asyncio.run(self._ask(place, "/stream/x", call)))

    def test_a_listener_of_ours_answers_503(self) -> None:
        """A probe or a query of addresses got the HTTP library's own 500 page."""
        self.assertEqual(asyncio.run(self._ask_directory()), 503)

    async def _ask_directory(self) -> int:
        place = "celerytrack.gateway.server.choose_addresses"
        async with Fleet(Endpoint("i-1", _answer)) as fleet:
            address = fleet.gateways[0].settings.directory_address
            with (
                self.assertLogs("celerytrack.gateway.listeners", "ERROR"),
                _patch(place),
            ):
                url = f"http://{address}{RESOLVE_PATH}"
                async with fleet.http.get(url, params={"zone": "z"}) as answer:
                    return answer.status

    async def _ask(
        self, place: str, path: str, call: int
    ) -> tuple[int, dict[str, str], bytes] | None:
        """The answer; ``None`` if it was aborted after its head."""
        async with Fleet(Endpoint("i-1", _answer)) as fleet:
            with self.assertLogs("celerytrack", "INFO") as logs, _patch(place, call):
                try:
                    answer = await fleet.ask(path)
                except aiohttp.ClientPayloadError:
                    answer = None
            if answer is not None:
                self.assertNotIn(b"Internal Server Error", answer[2])
            lines = [r for r in logs.records if r.message == "request_faulted"]
            self.assertEqual(len(lines), 1)
            self.assertLess(len(str(lines[0].__dict__)), 2 * MAX_LINE_CHARS)
            metrics = fleet.gateways[0].telemetry.render().decode()
            self.assertIn("celerytrack_request_faults_total 1.0", metrics)
            # What failed is over: nothing is held or counted any more.
            self.assertEqual(fleet.gateways[0].in_flight, 0)
            status, _, _ = await fleet.ask("/plain/x", "r2")
            self.assertEqual(status, 200)
        return answer


_JSON = "application/json"
_ENTRY = "celerytrack.entry."


class OwnUnforeseenTest(unittest.TestCase):
    @params(
        ("admission.admit", "lookup", NOT_RUN),
        ("admission.refuse_quarantined", "file", NOT_RUN),
        ("service_calls.reserve", "file", NOT_RUN),
        ("service_calls.choose_replica", "file", NOT_RUN),
        ("upstream.place", "file", NOT_RUN),
        ("calls.is_own_answer", "file", MAY_HAVE_RUN),
        ("service_calls.read_body", "file", MAY_HAVE_RUN),
        ("service_calls.charge", "lookup", MAY_HAVE_RUN),
        ("admission.admit", "story", NOT_RUN),
        ("chat._new_answer", "story", NOT_RUN),
        ("upstream.place", "story", NOT_RUN),
        ("calls.is_own_answer", "story", MAY_HAVE_RUN),
        ("chat._is_of_version", "story", MAY_HAVE_RUN),
        ("chat._start_response", "story", MAY_HAVE_RUN),
    )
    def test_an_exception_becomes_a_verdict(
        self, place: str, work_class: str, expected: tuple[int, str]
    ) -> None:
        """An exception became the HTTP library's own 500 page, and tokens that were
        reserved for the request stayed so."""
        answer = asyncio.run(self._ask(place, work_class, 1))
        assert answer is not None
        status, headers, body = answer
        self.assertNotIn(b"Internal Server Error", body)
        self.assertEqual(status, expected[0])
        error = json.loads(body)["error"]
        self.assertEqual(
            (error["verdict"], error["reason"]), (expected[1], "unforeseen")
        )
        self.assertLess(len(body), MAX_LINE_CHARS)
        self.assertEqual("Retry-After" in headers, expected is NOT_RUN)

    @params(("chat._write", 2), ("chat._finish", 1))
    def test_a_stream_that_has_begun_is_aborted(self, place: str, call: int) -> None:
        """A stream that broke off must not look complete."""
        self.assertIsNone(asyncio.run(self._ask(place, "story", call)))

    async def _ask(
        self, place: str, work_class: str, call: int
    ) -> tuple[int, dict[str, str], bytes] | None:
        """The answer; ``None`` if it was aborted after its head."""
        async with OwnCutFleet(1) as fleet:
            self.assertEqual(await fleet.call(0, work_class, 1), 200)
            entry = fleet.entries[0]
            with (
                self.assertLogs("celerytrack", "INFO") as logs,
                _patch(_ENTRY + place, call),
            ):
                answer = await self._call(fleet, work_class)
            lines = [r for r in logs.records if r.message == "request_faulted"]
            self.assertEqual(len(lines), 1)
            self.assertLess(len(str(lines[0].__dict__)), 2 * MAX_LINE_CHARS)
            name = "celerytrack_request_faults_total"
            self.assertEqual(entry.metrics.registry.get_sample_value(name), 1.0)
            self.assertEqual(entry.in_flight, 0)
            self.assertEqual(await fleet.call(0, work_class, 3), 200)
        return answer

    async def _call(
        self, fleet: OwnCutFleet, work_class: str
    ) -> tuple[int, dict[str, str], bytes] | None:
        address = fleet.settings.entries[0].address
        path, body = f"services/{work_class}", dict[str, Any]()
        if work_class == "story":
            message = {"role": "user", "content": "prompt"}
            path = "chat/completions"
            body = {"model": "story", "max_tokens": 8, "messages": [message]}
        headers = {"Authorization": f"Bearer {OWN_KEY}", "Idempotency-Key": "k2"}
        url = f"http://{address}/v1/{path}"
        try:
            async with fleet.http.post(url, json=body, headers=headers) as answer:
                return answer.status, dict(answer.headers), await answer.read()
        except aiohttp.ClientPayloadError:
            return None
