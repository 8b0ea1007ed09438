"""Registrations with odd addresses cost no caller an answer."""

import asyncio
import time
import unittest

from aiohttp import web

from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet
from tests.own_cut_fleet import OwnCutFleet

ODD_ADDRESSES = (
    "..:80",
    f"{'x' * 253}:80",
    f"{'x' * 64}.example:80",
    ".example:80",
    "a..b:80",
    "-:80",
    "nowhere.invalid:80",
    "localhost:80",
    "1.2.3:80",
    "127.0.0.256:80",
    "0127.0.0.1:80",
    "0.0.0.0:80",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 5_000,
    "\u0661.0.0.1:80",
)
READ_S = 1.0
"""Longer than two reads of the registrations are apart."""
REQUESTS = 12
ANSWER_S = 0.1
LISTED_S = 3.0
MAX_VIEW_AGE_S = 1.5
"""Several reads of the instance list, which this fleet makes some times a second."""
_REPLICA = {"role": "replica", "zone": "z", "model": "other", "state": "live"}


async def _good(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    await asyncio.sleep(ANSWER_S)
    headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
    return web.Response(body=b"good", headers=headers)


class OddAddressTest(unittest.TestCase):
    def test_requests_go_to_the_endpoint_with_an_address(self) -> None:
        """A host that can't be encoded was taken for an address, and a request placed
        there got the HTTP library's own 500 page."""
        asyncio.run(self._play())

    async def _play(self) -> None:
        sound = Endpoint("i-1", _good)
        async with Fleet(sound) as fleet:
            for number, address in enumerate(ODD_ADDRESSES):
                odd = sound.registration(address=address)
                fleet.log.put(ENDPOINTS_TOPIC, f"odd-{number}", odd)
            await asyncio.sleep(READ_S)
            # Side by side: one after the other, all would go to the sound endpoint.
            answers = await asyncio.gather(
                *(
                    fleet.ask(("/plain/x", "/once/x")[number % 2], f"r-{number}")
                    for number in range(REQUESTS)
                )
            )
            bodies = [(status, body[:20]) for status, _, body in answers]
            known = fleet.gateways[0].endpoints.registered_ids()
            self.assertEqual(bodies, [(200, b"good")] * REQUESTS)
            self.assertEqual(set(known), {"i-1"})


class OwnOddAddressTest(unittest.TestCase):
    def test_replicas_without_an_address_are_not_listed(self) -> None:
        """An item without address ended the task that reads the list; one with an odd
        address was polled, and requests were placed there."""
        asyncio.run(self._play())

    async def _play(self) -> None:
        async with OwnCutFleet(1) as fleet:
            view = fleet.entries[0].view
            known = set(view.replicas)
            items = [{"address": address} for address in ODD_ADDRESSES]
            for number, item in enumerate([{}, {"address": 5}, *items]):
                name = f"odd-{number}"
                fleet.listed.current[name] = {**_REPLICA, "id": name, **item}
            sound = {**_REPLICA, "id": "ok", "address": "127.0.0.1:9"}
            fleet.listed.current["ok"] = sound
            await asyncio.sleep(LISTED_S)
            self.assertLess(view.age_s(time.monotonic()), MAX_VIEW_AGE_S)
            self.assertEqual(set(view.replicas), known | {"ok"})
            self.assertEqual(set(view.addresses), set(view.replicas))
