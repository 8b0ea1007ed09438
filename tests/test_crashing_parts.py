"""Prompts with a part that crashes each endpoint that answers them, before gateways."""

import asyncio
import random
import unittest

import attrs
from nose2.tools import params

from tests.crashing_parts import PartsRun
from tests.gateway_fleet import Fleet

STABLE_WINDOW_S = 3.0
"""Time after the fifth crash from which requests with the part count."""
REACHING_ALLOWED = 3
LEAST_BEGUN = 0.5
"""Least share of sound requests that must begin, of the share before the crashes."""
CALM_S = 2.0
GUILTY_S = 14.0


@attrs.frozen
class Day:
    """A play of a fleet before endpoints that crash on parts of prompts.

    :ivar guilty: parts that crash endpoints; those that begin with "a" stand first.
    :ivar crash_after_events: events that an endpoint writes before it crashes.
    """

    gateways: int = 6
    endpoints: int = 12
    sound_per_s: float = 60.0
    guilty: tuple[str, ...] = ("bx",)
    crash_after_events: int = 0
    kill: bool = False


@attrs.frozen
class Played:
    """What came of a day.

    :ivar reaching: requests with each part that reached endpoints too late.
    :ivar begun: sound requests that began, as a share of those before: with the first
        part of guilty ones, and others.
    """

    crashes: int
    reaching: tuple[int, ...]
    begun: tuple[float, float]


async def play(day: Day, seed: int) -> Played:
    """Play a day."""
    rng = random.Random(seed)
    async with Fleet(gateways=day.gateways, ready_within_s=30) as fleet:
        async with PartsRun(
            fleet, day.endpoints, day.guilty, rng, day.crash_after_events
        ) as run:
            began_s = asyncio.get_running_loop().time()
            lasts_s = CALM_S + GUILTY_S
            sound = asyncio.create_task(run.play_sound(day.sound_per_s, lasts_s))
            await asyncio.sleep(CALM_S)
            guilty = [
                asyncio.create_task(run.play_guilty(part, GUILTY_S))
                for part in day.guilty
            ]
            if day.kill:
                await asyncio.sleep(GUILTY_S / 2)
                run.gateways.remove(0)
                await fleet.end_gateway(0)
            await asyncio.gather(sound, *guilty)
            counts_s = run.fifth_crash_s() + STABLE_WINDOW_S
            late_s = counts_s + STABLE_WINDOW_S
            before = [
                begun.share(began_s, began_s + CALM_S)
                for begun in (run.shares_first, run.others)
            ]
            after = [
                begun.share(late_s, began_s + lasts_s)
                for begun in (run.shares_first, run.others)
            ]
            return Played(
                sum(len(e.crashes_s) for e in run.endpoints),
                tuple(run.reached_after(part, counts_s) for part in day.guilty),
                (after[0] / before[0], after[1] / before[1]),
            )


class CrashingPartsTest(unittest.TestCase):
    @params(
        (Day(), 1),
        (Day(gateways=24, guilty=("bx", "ax")), 2),
        (Day(24, 12, 10.0, ("bx", "by"), 3), 3),
    )
    def test_a_part_that_crashes_endpoints_is_held_back(
        self, day: Day, seed: int
    ) -> None:
        """No two requests were alike, so none was held back, and endpoint after
        endpoint crashed."""
        played = asyncio.run(play(day, seed))
        for reaching in played.reaching:
            self.assertLessEqual(reaching, REACHING_ALLOWED, played)
        for begun in played.begun:
            self.assertGreaterEqual(begun, LEAST_BEGUN, played)
