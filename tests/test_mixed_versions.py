"""Endpoints of several software versions serve side by side in one service."""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable, Sequence

from nose2.tools import params

from celerytrack.routing.versions import ESTABLISHED_AFTER_S
from tests.gateway_fleet import Fleet, config
from tests.link_cuts import Links, LinkState
from tests.stream_callers import StreamCallers
from tests.versioned_endpoints import (
    NEW,
    OLD,
    LogPut,
    VersionedEndpoint,
    fleet_of,
    make_versioned,
)

MIXED_ALLOWED = 2
LEAST_RATIO = 0.5
RATE_PER_S = 40.0
LASTS_S = 14.0
LEAST_STREAMS = 400
SEED = 50
CONFIG = config(timeoutMs=8_000)

Change = Callable[[Fleet, Sequence[VersionedEndpoint], StreamCallers], Awaitable[None]]


async def _play(breaks_share: float, leaves_share: float, tries: int) -> StreamCallers:
    endpoints = make_versioned(12, 6, SEED, breaks_share=breaks_share)
    async with fleet_of(endpoints, 6, CONFIG) as fleet:
        callers = StreamCallers(fleet, random.Random(SEED), leaves_share, tries)
        await callers.play(RATE_PER_S, LASTS_S, LEAST_STREAMS + 1)
        return callers


async def _play_change(
    gateways: int, old: int, change: Change, seed: int = SEED
) -> StreamCallers:
    endpoints = make_versioned(12, old, seed, breaks_share=0.2)
    async with fleet_of(endpoints, gateways, CONFIG) as fleet:
        callers = StreamCallers(fleet, random.Random(seed), 0.25)
        changing = asyncio.create_task(change(fleet, endpoints, callers))
        await callers.play(RATE_PER_S, LASTS_S, LEAST_STREAMS + 1)
        await changing
        return callers


async def _nothing_changes(
    fleet: Fleet, endpoints: Sequence[VersionedEndpoint], callers: StreamCallers
) -> None:
    return None


async def _a_gateway_ends(
    fleet: Fleet, endpoints: Sequence[VersionedEndpoint], callers: StreamCallers
) -> None:
    await asyncio.sleep(7.0)
    callers.alive.remove(2)
    await fleet.end_gateway(2)


async def _all_old_but_two_end(
    fleet: Fleet, endpoints: Sequence[VersionedEndpoint], callers: StreamCallers
) -> None:
    log_put = LogPut(fleet.log)
    old = [endpoint for endpoint in endpoints if endpoint.version == OLD]
    for endpoint in old[2:]:
        await asyncio.sleep(1.5)
        log_put.remove(endpoint)
        await endpoint.end()


async def _old_come_back_as_new(
    fleet: Fleet, endpoints: Sequence[VersionedEndpoint], callers: StreamCallers
) -> None:
    log_put = LogPut(fleet.log)
    for endpoint in [e for e in endpoints if e.version == OLD]:
        await asyncio.sleep(1.2)
        await endpoint.come_back_as(NEW, log_put)


async def _old_are_replaced_at_once(
    fleet: Fleet, endpoints: Sequence[VersionedEndpoint], callers: StreamCallers
) -> None:
    log_put = LogPut(fleet.log)
    # Before, no stream begins, and no entry has a connection that could end.
    await asyncio.sleep(ESTABLISHED_AFTER_S)
    for endpoint in [e for e in endpoints if e.version == OLD]:
        await asyncio.sleep(1.2)
        await endpoint.come_back_as(NEW, log_put, starts_after_s=0.0)


async def _play_relayed() -> tuple[StreamCallers, float]:
    """Streams of which half begin at gateways that reach no endpoint."""
    endpoints = make_versioned(8, 4, SEED, breaks_share=0.3)
    links = Links()
    async with fleet_of(endpoints, 4, CONFIG, links) as fleet:
        callers = StreamCallers(fleet, random.Random(SEED), 0.25)
        await callers.play(10.0, 2.0)
        links.set_state([0, 1], LinkState.RESET)
        await asyncio.sleep(2.0)
        callers.streams.clear()
        await callers.play(20.0, 10.0)
        counters = (
            g.telemetry.relayed.labels("sent", "answered") for g in fleet.gateways
        )
        return callers, sum(counter._value.get() for counter in counters)


class MixedVersionsTest(unittest.TestCase):
    @params((0.2, 0.0, 3), (0.0, 0.25, 3), (0.2, 0.0, 1))
    def test_a_stream_goes_on_only_at_its_version(
        self, breaks_share: float, leaves_share: float, tries: int
    ) -> None:
        """Streams that broke, or were taken up at another entry, went on at endpoints
        of another version."""
        callers = asyncio.run(_play(breaks_share, leaves_share, tries))
        self._check(callers)

    @params(
        (6, 6, _a_gateway_ends),
        (24, 3, _nothing_changes),
        (6, 6, _all_old_but_two_end),
        (6, 6, _old_come_back_as_new),
    )
    def test_a_stream_keeps_its_version_while_the_fleet_changes(
        self, gateways: int, old: int, change: Change
    ) -> None:
        """Streams changed their version, or were lost, as an entry ended, a version
        shrank, or endpoints came back as another one before they had registered."""
        callers = asyncio.run(_play_change(gateways, old, change))
        self._check(callers)

    @params(2, 3)
    def test_a_stream_keeps_its_version_where_processes_follow_at_once(
        self, seed: int
    ) -> None:
        """A process followed before anyone saw its address refuse a connection: what
        it began was recorded as begun by the one before, and streams went on there."""
        play = _play_change(6, 6, _old_are_replaced_at_once, seed)
        self._check(asyncio.run(play))

    def test_streams_through_another_entry_keep_their_version(self) -> None:
        """An entry without links did not tell the one that sends for it which version
        its caller's stream had, nor learn which one had begun it."""
        callers, relayed = asyncio.run(_play_relayed())
        self.assertGreater(relayed, 50)
        self._check(callers, least_streams=100)

    def _check(
        self, callers: StreamCallers, least_streams: int = LEAST_STREAMS
    ) -> None:
        self.assertGreater(len(callers.streams), least_streams)
        self.assertEqual(sum(s.wrong for s in callers.streams), 0)
        shown = [(s.number, s.versions, s.trace) for s in callers.mixed]
        self.assertLessEqual(len(callers.mixed), MIXED_ALLOWED, shown)
        began, went_on = callers.began_share(), callers.went_on_share()
        self.assertGreaterEqual(went_on, LEAST_RATIO * began)
