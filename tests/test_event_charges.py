"""What a stream is charged whose service's configuration changes meanwhile."""

import asyncio
import json
import unittest

from aiohttp import web
from nose2.tools import params

from celerytrack.ids import AccountId
from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet, config

T = AccountId("t")
INPUT_TOKENS = 10
EVENTS = 20
STRIDE = 7
FULL_TOKENS = INPUT_TOKENS + EVENTS * STRIDE


def _config(version: int, service: str, stride: int) -> bytes:
    data = json.loads(config(version, service=service))
    engine = {"slots": 8, "stride": stride}
    data["services"] = [{"name": service, "connLimit": 100, "engine": engine}]
    return json.dumps(data).encode()


async def _charged(new: bytes) -> int:
    """Tokens charged for one stream during which ``new`` comes into force."""
    changed = asyncio.Event()

    async def script(request: web.BaseRequest) -> web.StreamResponse:
        request_id = request.headers["X-Attempt-Id"]
        response = web.StreamResponse(
            headers={"X-Attempt-Id": request_id, **SEAL_HEADERS}
        )
        await response.prepare(request)
        for number in range(1, EVENTS + 1):
            await response.write(b"id: %d\ndata: t\n\n" % number)
            if number == EVENTS // 2:
                began.set()
                await changed.wait()
        return response

    began = asyncio.Event()
    endpoint = Endpoint("i-0", script)
    async with Fleet(endpoint, config=_config(1, "s", STRIDE)) as fleet:
        headers = {
            "X_Token_Count": f"{INPUT_TOKENS},{EVENTS * STRIDE}",
            "X_Prompt_Prefix": f"aa:{INPUT_TOKENS}",
        }
        asked = asyncio.create_task(fleet.ask("/stream/x", **headers))
        await asyncio.wait_for(began.wait(), 2.0)
        gateway = fleet.gateways[0]
        fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, new)
        await fleet.wait_until(
            lambda: (
                gateway.routing_table is not None and gateway.routing_table.version == 2
            )
        )
        changed.set()
        status, _, body = await asked
        assert (status, body.count(b"id: ")) == (200, EVENTS)
        share = gateway.share_sync.budgets._shares[T]
        assert share.reserved_tokens == 0
        return share.spent_tokens


class EventChargeTest(unittest.TestCase):
    @params(
        ("not listed any more", _config(2, "other", STRIDE)),
        ("fewer tokens an event", _config(2, "s", 1)),
        ("as before", _config(2, "s", STRIDE)),
    )
    def test_a_stream_is_charged_by_the_configuration_that_admitted_it(
        self, name: str, new: bytes
    ) -> None:
        """A running stream was charged one token an event once its service was no
        longer listed, and its account spent more than its total."""
        self.assertGreaterEqual(asyncio.run(_charged(new)), FULL_TOKENS)
