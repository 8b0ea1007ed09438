"""A process takes the address of an endpoint before it has registered."""

import asyncio
import itertools
import random
import unittest
from unittest import mock

from nose2.tools import params

from celerytrack.gateway.peer_requests import ENDPOINT_PATH, PEER_REQUEST_TIMEOUT_S
from celerytrack.ids import EndpointId
from celerytrack.routing.versions import ESTABLISHED_AFTER_S
from tests import versioned_endpoints
from tests.gateway_fleet import Fleet, config
from tests.stream_callers import Stream, StreamCallers
from tests.versioned_endpoints import (
    EVENT_PAUSE_S,
    NEW,
    OLD,
    LogPut,
    VersionedEndpoint,
    fleet_of,
    make_versioned,
)

GATEWAYS = 3
READ_S = 1.5
"""Time in which all have read a registration, and what was found is told."""
LONG_PAUSE_S = 0.4
CHECKED_S = 0.6
"""Time in which the checks of an endpoint are over."""
REPLACED = EndpointId("i-0")


async def _begin(fleet: Fleet, gateways: list[int]) -> list["asyncio.Task[Stream]"]:
    """Begin streams through some gateways, each with a connection to each endpoint."""
    tasks: list[asyncio.Task[Stream]] = []
    for gateway in gateways:
        callers = StreamCallers(fleet, random.Random(1), tries=1)
        callers.alive = [gateway]
        callers._ids = itertools.count(100 * gateway)
        tasks += [asyncio.create_task(callers.read()) for _ in range(6)]
    await asyncio.sleep(4 * EVENT_PAUSE_S)
    return tasks


def _known_versions(fleet: Fleet) -> list[str | None]:
    origins = [gateway.endpoints.origin_at(REPLACED) for gateway in fleet.gateways]
    return [None if origin is None else origin.version for origin in origins]


async def _break_connections(endpoint: VersionedEndpoint, callers: set[int]) -> None:
    """Break the runs of the callers with these ports, with their connections."""
    for request in endpoint.seen:
        if request.transport is None:
            continue
        if request.transport.get_extra_info("peername")[1] in callers:
            request.transport.abort()


class ReplacedEndpointTest(unittest.TestCase):
    @params(([0, 1, 2],), ([0, 1],))
    def test_what_follows_at_an_address_is_not_taken_for_the_one_before(
        self, connected: list[int]
    ) -> None:
        """A process that followed at once took the check for one that lives on, at
        entries that had connections to the one before and at one that had none."""
        asyncio.run(self._replace(connected))

    async def _replace(self, connected: list[int]) -> None:
        endpoints = make_versioned(2, 1, 1)
        async with fleet_of(endpoints, GATEWAYS, config(timeoutMs=8_000)) as fleet:
            await asyncio.sleep(ESTABLISHED_AFTER_S + 0.1)
            begun = await _begin(fleet, connected)
            # Requests are late where the event loop is.
            await fleet.wait_until(lambda: len(endpoints[0].callers) >= len(connected))
            await endpoints[0].replace(NEW)
            await asyncio.sleep(CHECKED_S)
            self.assertNotIn(OLD, _known_versions(fleet))
            for task in begun:
                task.cancel()
            await asyncio.gather(*begun, return_exceptions=True)

    def test_a_process_that_has_registered_is_not_in_doubt(self) -> None:
        """What entries found of the end of the process before was held against the one
        that followed: it was ejected, and streams could not go on there."""
        asyncio.run(self._register())

    async def _register(self) -> None:
        endpoints = make_versioned(2, 1, 1)
        async with fleet_of(endpoints, GATEWAYS, config(timeoutMs=8_000)) as fleet:
            await asyncio.sleep(ESTABLISHED_AFTER_S + 0.1)
            begun = await _begin(fleet, [0, 1])
            await endpoints[0].replace(NEW)
            begun += await _begin(fleet, [2])
            LogPut(fleet.log)(endpoints[0])
            await asyncio.sleep(READ_S)
            self.assertEqual(_known_versions(fleet), [NEW] * GATEWAYS)
            now_s = asyncio.get_running_loop().time()
            for gateway in fleet.gateways:
                known = gateway.endpoints._endpoints[REPLACED]
                self.assertLess(known.ejected_until_s, now_s)
            await asyncio.gather(*begun)

    def test_a_first_event_of_another_process_is_not_passed_on(self) -> None:
        """An entry without a connection sent a stream on to a process that had followed
        just before it was told of the end; the first event came after the news."""
        with mock.patch.object(versioned_endpoints, "EVENT_PAUSE_S", LONG_PAUSE_S):
            stream = asyncio.run(self._take_up())
        self.assertEqual(stream.versions, {OLD})
        self.assertTrue(stream.refusals)

    async def _take_up(self) -> Stream:
        endpoints = make_versioned(2, 1, 1)
        async with fleet_of(endpoints, GATEWAYS, config(timeoutMs=8_000)) as fleet:
            await asyncio.sleep(ESTABLISHED_AFTER_S + 0.1)
            callers = StreamCallers(fleet, random.Random(1), tries=1)
            callers.alive = [0, 1]
            begun = [asyncio.create_task(callers.read()) for _ in range(12)]
            await asyncio.sleep(1.5 * LONG_PAUSE_S)
            stream = next(s for s in callers.streams if s.versions == {OLD})
            await endpoints[0].replace(NEW)
            await callers._try(stream, 1, gateway=2, leaves_after=stream.last + 1)
            for task in begun:
                task.cancel()
            await asyncio.gather(*begun, return_exceptions=True)
            return stream

    def test_what_is_no_age_of_a_sign_is_refused(self) -> None:
        """A number that no float holds ended the answer to another entry with a 500."""
        asyncio.run(self._ask_badly())

    async def _ask_badly(self) -> None:
        endpoints = make_versioned(1, 1, 1)
        async with fleet_of(endpoints, 1, config()) as fleet:
            address = fleet.gateways[0].settings.peer_address
            for age, status in (("9" * 400, 400), ("x", 400), ("9" * 9, 404)):
                query = {"endpoint": REPLACED, "born": "0", "signAgeMs": age}
                url = f"http://{address}{ENDPOINT_PATH}"
                async with fleet.http.get(url, params=query) as answer:
                    self.assertEqual(answer.status, status)

    def test_an_endpoint_whose_runs_break_is_known_to_live(self) -> None:
        """All runs of one entry broke; the connections of the others live on."""
        asyncio.run(self._break())

    async def _break(self) -> None:
        endpoints = make_versioned(2, 1, 1)
        async with fleet_of(endpoints, GATEWAYS, config(timeoutMs=8_000)) as fleet:
            await asyncio.sleep(ESTABLISHED_AFTER_S + 0.1)
            begun = await _begin(fleet, [0])
            of_first = {port for _, port in endpoints[0].callers}
            begun += await _begin(fleet, [1])
            self.assertGreater(len(endpoints[0].callers), len(of_first))
            # A connection counts if it is older than a question may be late.
            await asyncio.sleep(2 * PEER_REQUEST_TIMEOUT_S)
            await _break_connections(endpoints[0], of_first)
            await asyncio.sleep(CHECKED_S)
            self.assertEqual(_known_versions(fleet), [OLD] * GATEWAYS)
            for task in begun:
                task.cancel()
            await asyncio.gather(*begun, return_exceptions=True)
