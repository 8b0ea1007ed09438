"""Replicas before the own interface that answer twice, the second time late."""

import asyncio
import json
import unittest
from typing import Any

from aiohttp import web
from nose2.tools import params

from tests.own_cut_fleet import KEY, OwnCutFleet

CALLS = 8
SECOND_AFTER_S = 0.01
NEXT_AFTER_S = 0.04
ID_HEADER = "X-Request-Id"


class _StutteringFleet(OwnCutFleet):
    """A fleet whose services answer each call twice on its connection.

    :param names: whether the first answer names its request.
    :param second: status of the second answer, and whether that names its request;
        ``None`` for no second answer.
    :ivar connections: over which calls came.
    """

    def __init__(self, names: bool, second: tuple[int, bool] | None) -> None:
        super().__init__(1, engines=1, services=1)
        self._names = names
        self._second = second
        self.connections: set[int] = set()

    def _replica(self, replica_id: str) -> web.Application:
        app = super()._replica(replica_id)
        app.middlewares.append(self._answer_twice)
        app.on_response_prepare.append(self._name)
        return app

    async def _name(self, request: web.Request, answer: web.StreamResponse) -> None:
        if not self._names:
            answer.headers.pop(ID_HEADER, None)

    @web.middleware
    async def _answer_twice(self, request: web.Request, handler) -> web.StreamResponse:
        answer = await handler(request)
        transport = request.transport
        if request.method == "POST" and transport is not None:
            self.connections.add(transport.get_extra_info("peername")[1])
            if self._second is not None:
                data = _raw(*self._second, request.headers[ID_HEADER])
                loop = asyncio.get_running_loop()
                loop.call_later(SECOND_AFTER_S, transport.write, data)
        return answer

    async def ask(self, work_class: str, number: int) -> tuple[int, str, Any]:
        """Status, the request's id and body of a call's answer."""
        address = self.settings.entries[0].address
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": f"k{number}"}
        url = f"http://{address}/v1/services/{work_class}"
        async with self.http.post(url, json={}, headers=headers) as answer:
            return answer.status, answer.headers.get(ID_HEADER, ""), await answer.json()


def _raw(status: int, names: bool, request_id: str) -> bytes:
    body = json.dumps({"request_id": request_id, "second": True}).encode()
    lines = [
        f"HTTP/1.1 {status} X",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
    ]
    if names:
        lines.append(f"{ID_HEADER}: {request_id}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class OwnSecondAnswerTest(unittest.TestCase):
    @params(
        # class, the first answer names its request, status of the second, it does
        ("lookup", False, 200, False),
        ("lookup", True, 200, False),
        ("lookup", True, 200, True),
        ("file", False, 200, False),
        ("file", True, 200, False),
        ("file", True, 200, True),
        ("file", False, 503, False),
        ("file", True, 503, False),
        ("file", True, 503, True),
    )
    def test_no_call_gets_the_second_answer_to_another(
        self, work_class: str, names: bool, status: int, second_names: bool
    ) -> None:
        """A late second answer was taken for that of the next call on its connection,
        and kept for the repeats of that call; one of 503 said that a call which runs
        did not."""
        asyncio.run(self._play(work_class, names, (status, second_names)))

    async def _play(
        self, work_class: str, names: bool, second: tuple[int, bool]
    ) -> None:
        async with _StutteringFleet(names, second) as fleet:
            refused = 0
            for number in range(CALLS):
                await asyncio.sleep(NEXT_AFTER_S)
                status, request_id, body = await fleet.ask(work_class, number)
                if status == 200:
                    self.assertNotIn("second", body)
                    self.assertEqual(body["request_id"], request_id)
                    repeat = await fleet.ask(work_class, number)
                    self.assertEqual((repeat[0], repeat[2]), (200, body))
                else:
                    refused += 1
                    self.assertEqual(body["error"]["verdict"], "may_have_run")
            self.assertLessEqual(refused, CALLS // 2 if names else 0)
            self.assertLessEqual(set(fleet.runs_of_once_only().values()), {1})

    @params((True, 1), (False, CALLS))
    def test_connections_are_kept_if_answers_name_their_requests(
        self, names: bool, connections: int
    ) -> None:
        asyncio.run(self._count(names, connections))

    async def _count(self, names: bool, connections: int) -> None:
        async with _StutteringFleet(names, None) as fleet:
            for number in range(CALLS):
                self.assertEqual((await fleet.ask("lookup", number))[0], 200)
            self.assertEqual(len(fleet.connections), connections)


if __name__ == "__main__":
    unittest.main()
