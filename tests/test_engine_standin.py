"""The interface of the engine stand-in that entries and tests rely on."""

import asyncio
import contextlib
import unittest

from aiohttp.test_utils import TestClient, TestServer
from nose2.tools import params

from celerytrack.prompts import prompt_blocks
from celerytrack.standins.engine import EngineState, make_app

PROMPT = "p" * 1024


def _body(**changes):
    message = {"role": "user", "content": PROMPT}
    return {"model": "m", "messages": [message], "max_tokens": 6, **changes}


@contextlib.asynccontextmanager
async def _engine(**fields):
    state = EngineState("e", token_s=0.0, prefill_s_per_token=0.0, **fields)
    async with TestClient(TestServer(make_app(state))) as client:
        yield client


async def _text(client: TestClient, **changes) -> str:
    headers = {"X-Request-Id": "r1"}
    path = "/v1/chat/completions"
    async with client.post(path, json=_body(**changes), headers=headers) as resp:
        return (await resp.read()).decode()


class EngineStandinTest(unittest.TestCase):
    @params((0, 6), (4, 2), (6, 0))
    def test_a_resumed_stream_continues_after_the_received_tokens(self, received, left):
        async def run() -> str:
            async with _engine() as client:
                return await _text(client, resume_from=received)

        text = asyncio.run(run())
        self.assertEqual(text.count("chat.completion.chunk"), left)
        self.assertTrue(text.endswith("data: [DONE]\n\n"))

    @params(
        # (ignores_fence, fences sent, status of the last order)
        (False, [2, 3], 200),
        (False, [3, 2], 409),
        (True, [3, 2], 200),
    )
    def test_orders_are_fenced_unless_fences_are_ignored(self, ignores, fences, status):
        async def run() -> int:
            async with _engine(ignores_fence=ignores) as client:
                for fence in fences:
                    order = {"fence": fence, "order": "load", "model": "m"}
                    resp = await client.post("/orders", json=order)
                return resp.status

        self.assertEqual(asyncio.run(run()), status)

    def test_exported_blocks_are_cache_hits_at_the_engine_that_imports_them(self):
        blocks = list(prompt_blocks(PROMPT))

        async def run() -> tuple[list[int], int]:
            async with _engine() as first, _engine() as second:
                await _text(first)
                resp = await first.post("/kv/export", json={"blocks": [*blocks, 1]})
                exported = (await resp.json())["blocks"]
                await second.post("/kv/import", json={"blocks": exported})
                await _text(second)
                stats = await (await second.get("/_stats")).json()
                return exported, stats["hit_blocks"]

        self.assertEqual(asyncio.run(run()), (blocks, len(blocks)))
