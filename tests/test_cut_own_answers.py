"""Answers of services before the own interface that stop in their head or body."""

import asyncio
import itertools
import json
import unittest
from types import SimpleNamespace
from typing import Any

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.entry.reach import _is_reached_by
from celerytrack.entry.relay_format import (
    RELAY_PATH,
    RelayedCall,
    RelayOrder,
    encode_call,
)
from celerytrack.http_session import make_http_session
from celerytrack.ids import EntryId, ReplicaId, Zone
from celerytrack.reachability.helpers import Helper
from tests.cut_answers import Cut, CutServer, Framing, body_begins, cuts, frame
from tests.own_cut_fleet import ACCOUNT, KEY, OwnCutFleet

HEAD_STEP = 17
IDLE_S = 5.0
VALUES: tuple[Any, ...] = (123456, 12.5, {"a": 12}, [1, 2], "text", True, None)
NUMBERS = 2
"""How many of the values are numbers; they come first."""


class _CutFleet(OwnCutFleet):
    """A fleet whose service answers each call with ``answer``, and closes."""

    answer = b""

    def __init__(self) -> None:
        super().__init__(1, engines=1, services=1)

    def _replica(self, replica_id: str) -> web.Application:
        app = super()._replica(replica_id)
        app.middlewares.append(self._answer_cut)
        return app

    @web.middleware
    async def _answer_cut(self, request: web.Request, handler) -> web.StreamResponse:
        if not request.path.startswith("/call/") or request.transport is None:
            return await handler(request)
        request.transport.write(self.answer)
        request.transport.close()
        return web.Response()

    async def ask(self, number: int) -> tuple[int, Any]:
        """Status and value of a call of a caller."""
        address = self.settings.entries[0].address
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": f"k{number}"}
        url = f"http://{address}/v1/services/file"
        async with self.http.post(url, json={}, headers=headers) as answer:
            return answer.status, await answer.json()

    async def ask_as_entry(self, number: int) -> tuple[int, Any]:
        """Status and value of a call that another entry sends through this one."""
        address = self.settings.entries[0].relay_address
        order = RelayOrder("entry-0", str(ACCOUNT), "file", f"k{number}")
        body = encode_call(RelayedCall(order, {}, {}))
        async with self.http.post(f"http://{address}{RELAY_PATH}", data=body) as answer:
            try:
                return answer.status, json.loads(await answer.read())
            except (aiohttp.ClientPayloadError, ValueError):
                return 0, None


def _answer(value: Any, framing: Framing, status: str = "200 OK") -> bytes:
    return frame(
        json.dumps(value).encode(),
        framing,
        "Content-Type: application/json",
        status=status,
    )


async def _ask_each(framing: Framing, relayed: bool) -> list[tuple[Any, int, Any]]:
    """What callers took for each value, at each place of its answer but the end."""
    taken = []
    async with _CutFleet() as fleet:
        ask = fleet.ask_as_entry if relayed else fleet.ask
        numbers = itertools.count()
        for value in VALUES:
            answer = _answer(value, framing)
            begins = body_begins(answer)
            for size in (*range(0, begins, HEAD_STEP), *range(begins, len(answer))):
                fleet.answer = answer[:size]
                status, got = await ask(next(numbers))
                if status == 200:
                    taken.append((value, size, got))
    return taken


async def _ask_whole(
    framing: Framing, relayed: bool, status: str = "200 OK"
) -> list[Any]:
    """The values that callers got."""
    got = []
    async with _CutFleet() as fleet:
        ask = fleet.ask_as_entry if relayed else fleet.ask
        for number, value in enumerate(VALUES):
            fleet.answer = _answer(value, framing, status)
            taken_status, answered = await ask(number)
            if taken_status == 200:
                got.append(answered)
    return got


async def _query_each() -> list[tuple[Cut, bool]]:
    """Whether another entry seems to reach a replica, for each place of its answer."""
    answer = frame(b"", Framing.CONNECTION, status="204 No Content")
    reached = []
    async with make_http_session(IDLE_S) as session:
        state = SimpleNamespace(relay_session=session)
        for cut in cuts(answer):
            async with CutServer(answer, cut) as server:
                helper = Helper(EntryId("e"), server.address, Zone("z"))
                seen = await _is_reached_by(state, helper, ReplicaId("s-0"))  # type: ignore[arg-type]
                reached.append((cut, seen))
    return reached


class CutQueryTest(unittest.TestCase):
    def test_a_replica_is_not_reached_by_an_answer_that_stops(self) -> None:
        """The begin of another entry's answer showed that a replica lives."""
        self.assertEqual([c for c, seen in asyncio.run(_query_each()) if seen], [])


ROWS = [(framing, relayed) for framing in Framing for relayed in (False, True)]


class CutServiceAnswerTest(unittest.TestCase):
    @params(*ROWS)
    def test_no_beginning_of_an_answer_is_taken_for_it(
        self, framing: Framing, relayed: bool
    ) -> None:
        """The first digits of a number were taken for the number, and kept for the
        repeats of the call."""
        self.assertEqual(asyncio.run(_ask_each(framing, relayed)), [])

    @params(*ROWS)
    def test_a_whole_answer_is_taken(self, framing: Framing, relayed: bool) -> None:
        """Of a number without framing nothing tells that it is whole."""
        unframed = framing is Framing.CONNECTION
        whole = list(VALUES[NUMBERS:] if unframed else VALUES)
        self.assertEqual(asyncio.run(_ask_whole(framing, relayed)), whole)

    @params(*(("000", *row) for row in ROWS), *(("000 OK", *row) for row in ROWS))
    def test_an_answer_whose_status_is_none_is_not_taken(
        self, status: str, framing: Framing, relayed: bool
    ) -> None:
        """A replica in trouble sent the status 000, and its caller got the value."""
        self.assertEqual(asyncio.run(_ask_whole(framing, relayed, status)), [])


if __name__ == "__main__":
    unittest.main()
