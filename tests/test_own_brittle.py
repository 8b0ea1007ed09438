"""Replicas that say that they are brittle, before entries of the own interface."""

import asyncio
import random
import unittest

from tests.own_cut_fleet import OwnCutFleet

BEARS_PER_S = 5
FALLS_ALLOWED = 2
RATE_PER_S = 90.0
WORK_S = 0.2
ROOM = 2
LEAST_USED = 0.7
LASTS_S = 6.0


async def _play() -> tuple[list[int], int]:
    """Most rejections in a second of each replica, and requests that were run."""
    async with OwnCutFleet(3) as fleet:
        for state in fleet.services:
            state.latency_s = WORK_S
            state.knobs["bears_per_s"] = BEARS_PER_S
        rng = random.Random(11)
        await fleet.play(RATE_PER_S, 3.0, rng, 0)
        before = sum(sum(state.runs.values()) for state in fleet.services)
        for state in fleet.services:
            state.knobs["room"] = ROOM
        await fleet.play(RATE_PER_S, LASTS_S, rng, 10_000)
        runs = sum(sum(state.runs.values()) for state in fleet.services) - before
        return [state.notices.brittleness.worst for state in fleet.services], runs


class OwnBrittleTest(unittest.TestCase):
    def test_brittle_replicas_stay_up_and_are_used(self) -> None:
        """The sum of all entries' requests that had to be turned away made them fall
        over."""
        worst, runs = asyncio.run(_play())
        fell = sum(rejections > BEARS_PER_S for rejections in worst)
        self.assertLessEqual(fell, FALLS_ALLOWED, worst)
        room = len(worst) * ROOM / WORK_S * LASTS_S
        self.assertGreaterEqual(runs, LEAST_USED * room)
