"""Answers that don't say to which request they belong."""

import asyncio
import unittest

from tests.gateway_fleet import Fleet
from tests.raw_endpoints import RawEndpoint, RawRequest, answer_head, ask_raw

REQUESTS = 20
LATE_S = 0.02


class UnidentifiedAnswerTest(unittest.TestCase):
    def test_a_second_answer_without_id_goes_to_no_other_request(self) -> None:
        """An endpoint answered twice, the second time late and with 500: the next
        request on the connection got that as its answer."""
        statuses, ran = asyncio.run(_play())
        self.assertNotIn(500, statuses)
        self.assertIn(200, statuses)
        self.assertLessEqual(ran, REQUESTS)


async def _play() -> tuple[list[int], int]:
    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(LATE_S)
        writer.write(answer_head(request, "200 OK", "Content-Length: 2") + b"ok")
        await writer.drain()

        async def answer_again() -> None:
            await asyncio.sleep(LATE_S)
            writer.write(b"HTTP/1.1 500 Late\r\nContent-Length: 4\r\n\r\nlate")

        again.append(asyncio.create_task(answer_again()))

    again: list[asyncio.Task[None]] = []
    endpoint = RawEndpoint("i-0", script, keeps=True)
    async with Fleet(endpoint) as fleet:
        statuses = []
        for number in range(REQUESTS):
            answer = await ask_raw(fleet, "/once/x", f"r{number}")
            statuses.append(answer.status)
            await asyncio.sleep(LATE_S / 2)
        await asyncio.gather(*again)
        return statuses, len(endpoint.requests)
