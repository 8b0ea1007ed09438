"""Brittle endpoints whose owners end, whose callers come in bursts, whose requests are
long, or which come back under another id."""

import asyncio
import itertools
import random
import unittest

import attrs
from nose2.tools import params

from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.brittle_endpoints import (
    WORK_RANGE_S,
    BrittleCallers,
    BrittleEndpoint,
    make_brittle,
)
from tests.gateway_fleet import Fleet

FALLS_ALLOWED = 2.0
FALLS_SHARE_ALLOWED = 0.1
LEAST_USED = 0.75
CALM_S = 2
ROOMY_S = 3
SHRUNK_S = 11
LEARNING_S = 3
"""Time after the room shrinks from which its use counts."""
KILLS_AT_S = (1, 4, 7)
"""Times of kills, from when the room shrinks."""
BURST_FACTOR = 5


@attrs.frozen
class Day:
    """A play of a fleet before brittle endpoints.

    :ivar bears: rejections a second that each endpoint says it bears.
    :ivar running: requests that one runs at once while its room is small; one waits.
    :ivar new_ids: whether half of the endpoints end by themselves, one after the other,
        and are back under other ids.
    :ivar keeps_port: whether one that is down accepts connections and breaks them.
    """

    bears: int
    gateways: int
    rate_per_s: float
    endpoints: int = 12
    running: int = 1
    work_range_s: tuple[float, float] = WORK_RANGE_S
    kills: bool = False
    bursts: bool = False
    new_ids: bool = False
    keeps_port: bool = False

    def demand_per_s(self, second: int) -> float:
        """Rate of the callers in a second of the day."""
        factor = BURST_FACTOR if self.bursts and second % 2 else 1
        return factor * self.rate_per_s

    @property
    def room_per_s(self) -> float:
        """Requests a second for which there is room once it is small."""
        return self.endpoints * self.running / (sum(self.work_range_s) / 2)


@attrs.frozen
class Played:
    """What came of a day.

    :ivar used: answers while the room was small, as a share of those for which there
        was room and demand.
    """

    falls: int
    rejections: int
    used: float
    by_status: dict[int, int]


def _return_under_another_id(fleet: Fleet, endpoint: BrittleEndpoint) -> None:
    fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, b"")
    endpoint.name = f"{endpoint.name.partition('.')[0]}.{endpoint.falls}"
    fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, endpoint.registration())


async def _replace_gateway(fleet: Fleet, callers: BrittleCallers, i: int) -> None:
    callers.gateways.remove(i)
    await fleet.end_gateway(i)
    await fleet.add_gateway()
    callers.gateways.append(len(fleet.gateways) - 1)


async def play(day: Day, seed: int) -> Played:
    """Play a day."""
    endpoints = make_brittle(day.endpoints, seed, day.work_range_s)
    async with Fleet(*endpoints, gateways=day.gateways, ready_within_s=30) as fleet:
        callers = BrittleCallers(fleet, random.Random(seed), once_every=2)
        callers.gateways.extend(range(day.gateways))
        for endpoint in endpoints:
            endpoint.keeps_port = day.keeps_port
            if day.new_ids:
                endpoint.on_restart = lambda e: _return_under_another_id(fleet, e)
        tasks = []
        sent: dict[int, asyncio.Task[int]] = {}
        to_kill = itertools.count()

        async def play_seconds(first: int, count: int) -> None:
            for second in range(first, first + count):
                shrunk_s = second - CALM_S - ROOMY_S
                if day.new_ids and 0 <= shrunk_s < day.endpoints // 2:
                    endpoints[shrunk_s].end_by_itself()
                if day.kills and shrunk_s in KILLS_AT_S:
                    killed = _replace_gateway(fleet, callers, next(to_kill))
                    tasks.append(asyncio.create_task(killed))
                played = callers.play(day.demand_per_s(second), 1.0)
                sent[second] = asyncio.create_task(played)
                await asyncio.sleep(1.0)

        await play_seconds(0, CALM_S)
        for endpoint in endpoints:
            endpoint.bears = day.bears
        await play_seconds(CALM_S, ROOMY_S)
        for endpoint in endpoints:
            endpoint.room, endpoint.running = day.running + 1, day.running
        shrinks_at_s = CALM_S + ROOMY_S
        counts_from_s = shrinks_at_s + LEARNING_S
        await play_seconds(shrinks_at_s, LEARNING_S)
        for endpoint in endpoints:
            endpoint.answered_small = 0
        await play_seconds(counts_from_s, SHRUNK_S - LEARNING_S)
        answered = sum(endpoint.answered_small for endpoint in endpoints)
        await asyncio.gather(*tasks, *sent.values())
        seconds = range(counts_from_s, shrinks_at_s + SHRUNK_S)
        most = sum(min(sent[s].result(), day.room_per_s) for s in seconds)
        return Played(
            sum(endpoint.falls for endpoint in endpoints),
            sum(endpoint.rejections for endpoint in endpoints),
            answered / most,
            dict(callers.by_status),
        )


class BrittleOwnersTest(unittest.TestCase):
    @params(
        (Day(3, 7, 150.0, kills=True, bursts=True), 17),
        (Day(3, 7, 150.0, new_ids=True), 15),
        (Day(3, 24, 150.0, kills=True, keeps_port=True), 2),
        (Day(2, 7, 60.0, 18, 2, (1.4, 1.6), bursts=True), 14),
    )
    def test_brittle_endpoints_stay_up_while_owners_end(
        self, day: Day, seed: int
    ) -> None:
        """An entry that took over, a burst after a lull, or long requests had more
        requests rejected than the endpoints bear."""
        played = asyncio.run(play(day, seed))
        allowed = FALLS_ALLOWED + FALLS_SHARE_ALLOWED * day.endpoints
        self.assertLessEqual(played.falls, allowed, played)
        self.assertGreaterEqual(played.used, LEAST_USED, played)
