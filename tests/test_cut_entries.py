"""Entries that reach no endpoint, while callers, the log and other entries reach
them."""

import asyncio
import random
import unittest

from nose2.tools import params

from tests.cut_callers import (
    KNOWN_AFTER_S,
    CutCallers,
    Served,
    cut_fleet,
    ended_endpoints,
    is_served_alike,
    make_working,
)
from tests.gateway_fleet import config
from tests.link_cuts import LinkState


async def _serve_while_cut(
    cut: int, gateways: int, state: LinkState, seed: int
) -> tuple[Served, Served, float]:
    """How often cut gateways and the others serve, and endpoints said to have ended."""
    fleet, links = cut_fleet(make_working(12), gateways)
    async with fleet:
        callers = CutCallers(fleet, random.Random(seed), same_body=0.5)
        await callers.play(60.0, 1.5)
        links.set_state(range(cut), state)
        await callers.play(60.0, KNOWN_AFTER_S + 3.0)
        own = Served.of(callers.counted(range(cut), KNOWN_AFTER_S))
        others = Served.of(callers.counted(range(cut, gateways), KNOWN_AFTER_S))
        return own, others, ended_endpoints(fleet.gateways)


class CutEntriesTest(unittest.TestCase):
    @params(
        (2, 6, LinkState.HANG),
        (2, 6, LinkState.RESET),
        (5, 6, LinkState.RESET),
        (5, 6, LinkState.REFUSE_NEW),
    )
    def test_callers_of_cut_entries_are_served_like_the_others(
        self, cut: int, gateways: int, state: LinkState
    ) -> None:
        """An entry without links to endpoints refused what its neighbours had room for,
        and said that endpoints had ended."""
        own, others, ended = asyncio.run(_serve_while_cut(cut, gateways, state, 47))
        self.assertGreater(own.calls, 20)
        self.assertTrue(is_served_alike(own, others), f"{own} {others}")
        self.assertEqual(ended, 0)


class LearnedWhileCutTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_latency_is_learned_behind_a_cut(self) -> None:
        """Endpoints looked slow for the time that requests waited behind the cut."""
        fleet, links = cut_fleet(make_working(4), 2, config=config(timeoutMs=1_000))
        async with fleet:
            callers = CutCallers(fleet, random.Random(4), paths=("/once/x",))
            for _ in range(20):
                await callers.ask(0, "/once/x")
            endpoints = fleet.gateways[0].endpoints._endpoints.values()
            before_s = max(endpoint.latency_s for endpoint in endpoints)
            links.set_state([0], LinkState.HANG)
            await asyncio.gather(*(callers.ask(0, "/once/x") for _ in range(12)))
            after_s = max(endpoint.latency_s for endpoint in endpoints)
        self.assertLessEqual(after_s, before_s)
