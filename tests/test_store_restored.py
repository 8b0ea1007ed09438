"""Nine gateways as processes, before a log that comes back from older copies."""

import asyncio
import collections
import os
import unittest

from nose2.tools import params

from tests.restored_site import (
    INPUT_TOKENS,
    OUTPUT_TOKENS,
    RestoredSite,
)

GATEWAYS, STOPPED = 9, 4
TOTAL_TOKENS = 700_000
"""Used up about when the third return is over."""
WRITTEN_AGAIN_MOST_S = 1.8
"""How long after a return the operator and the endpoints may write again."""
SEEDS = [(int(s),) for s in os.environ.get("STORE_RESTORED_SEEDS", "1").split(",")]
"""One in CI, many by hand."""
LEAST_SPENT = 0.9
"""Part that must be delivered of the total of an account that asks for more."""


class StoreRestoredTest(unittest.TestCase):
    @params(*SEEDS)
    def test_nothing_is_lost_with_what_the_log_lost(self, seed):
        """Guards against a log that comes back from an older copy being believed."""
        asyncio.run(self._three_returns(seed))

    async def _three_returns(self, seed: int) -> None:
        async with RestoredSite(GATEWAYS, TOTAL_TOKENS, seed) as site:
            site.send_load(connections_each=2, pause_s=0.5)
            await asyncio.sleep(1.0)
            for k in range(2):
                await site.change_and_restore(k, self._written_again_s(site))
                await asyncio.sleep(1.5)
            again_s = self._written_again_s(site)
            back = site.run_in_background(site.change_and_restore(2, again_s))
            await asyncio.sleep(1.6)
            await site.roll(site.gateways[:STOPPED], apart_s=0.4)
            await back
            await asyncio.sleep(2.0)
            site.stop_load()
            await asyncio.sleep(1.0)
        self._check(site)

    @staticmethod
    def _written_again_s(site: RestoredSite) -> float:
        return site.rng.uniform(0.0, WRITTEN_AGAIN_MOST_S)

    def _check(self, site: RestoredSite) -> None:
        runs = collections.Counter(
            r.headers["X-Attempt-Id"] for e in site.endpoints for r in e.seen
        )
        report = f"spent {_spent(site)} {site.seen}"
        with self.subTest("nothing is overspent"):
            self.assertLessEqual(_spent(site), TOTAL_TOKENS, report)
        with self.subTest("what was paid for is delivered"):
            self.assertGreater(_spent(site), LEAST_SPENT * TOTAL_TOKENS, report)
        with self.subTest("nothing runs twice"):
            twice = {r: n for r, n in runs.items() if n > 1 and r.startswith("r")}
            self.assertEqual(twice, {}, report)
        with self.subTest("no older version is in force again"):
            self.assertEqual([w for probe in site.probes for w in probe.wrong], [])
        with self.subTest("the newest version is in force everywhere"):
            versions = [probe.in_force for probe in site.probes]
            self.assertEqual(versions, [site.operator.version] * GATEWAYS)
        with self.subTest("nothing that was accepted is lost"):
            traces = "\n".join(site.traces)
            self.assertEqual(site.seen.lost, {}, f"{report}\n{traces}")
        with self.subTest("stops end by themselves"):
            self.assertEqual(site.exits, [0] * STOPPED, report)
        with self.subTest("a leaving endpoint gets nothing new"):
            late = {
                e.name: len(e.seen) - site.left_at[e.name]
                for e in site.endpoints
                if e.name in site.left_at
            }
            self.assertEqual(set(late.values()), {0}, late)


def _spent(site: RestoredSite) -> int:
    """What the paid account used, by the endpoints' count."""
    ids = {
        r.headers["X-Attempt-Id"]
        for e in site.endpoints
        for r in e.seen
        if r.path == "/stream/x"
    }
    return len(ids) * (INPUT_TOKENS + OUTPUT_TOKENS)


if __name__ == "__main__":
    unittest.main()
