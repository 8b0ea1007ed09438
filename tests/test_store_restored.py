"""Nine gateway processes with a log that is restored from older backups."""

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

GATEWAYS, RESTARTED = 9, 4
TOTAL_TOKENS = 700_000
"""Used up at about the end of the third restore."""
MAX_REWRITE_DELAY_S = 1.8
"""Longest time from a restore until the lost records are written again."""
SEEDS = [(int(s),) for s in os.environ.get("STORE_RESTORED_SEEDS", "1").split(",")]
"""One seed in CI; more in runs by hand."""
MAX_CROSSED = 3
"""Most requests of a run that may cross the close of their connection."""
MIN_SPENT = 0.9
"""Part of the total that must be delivered to an account whose demand exceeds it."""


class StoreRestoredTest(unittest.TestCase):
    @params(*SEEDS)
    def test_nothing_is_lost_with_what_the_log_lost(self, seed):
        """Guards against entries that trust a log restored from an older backup.

        The backup lacks claims, versions and departures that took effect; during the
        third restore four gateways are restarted as well.
        """
        asyncio.run(self._restore_three_times(seed))

    async def _restore_three_times(self, seed: int) -> None:
        async with RestoredSite(GATEWAYS, TOTAL_TOKENS, seed) as site:
            site.send_load(connections_each=2, pause_s=0.5)
            await asyncio.sleep(1.0)
            for round_number in range(2):
                await site.change_and_restore(round_number, self._rewrite_delay_s(site))
                await asyncio.sleep(1.5)
            rewrite_delay_s = self._rewrite_delay_s(site)
            restoring = site.run_in_background(
                site.change_and_restore(2, rewrite_delay_s)
            )
            await asyncio.sleep(1.6)
            await site.roll(site.gateways[:RESTARTED], apart_s=0.4)
            await restoring
            await asyncio.sleep(2.0)
            site.stop_load()
            await asyncio.sleep(1.0)
        self._check(site)

    @staticmethod
    def _rewrite_delay_s(site: RestoredSite) -> float:
        return site.rng.uniform(0.0, MAX_REWRITE_DELAY_S)

    def _check(self, site: RestoredSite) -> None:
        runs = collections.Counter(
            r.headers["X-Attempt-Id"] for e in site.endpoints for r in e.seen
        )
        report = f"spent {_spent(site)} {site.seen}"
        with self.subTest("nothing is overspent"):
            self.assertLessEqual(_spent(site), TOTAL_TOKENS, report)
        with self.subTest("the prepaid total is delivered"):
            self.assertGreater(_spent(site), MIN_SPENT * TOTAL_TOKENS, report)
        with self.subTest("no request runs twice"):
            twice = {r: n for r, n in runs.items() if n > 1 and r.startswith("r")}
            self.assertEqual(twice, {}, report)
        with self.subTest("no older version is in force again"):
            self.assertEqual([w for probe in site.probes for w in probe.wrong], [])
        with self.subTest("the newest version is in force everywhere"):
            versions = [probe.in_force for probe in site.probes]
            self.assertEqual(versions, [site.operator.version] * GATEWAYS)
        with self.subTest("no accepted request is lost"):
            traces = "\n".join(site.traces)
            self.assertEqual(site.seen.lost, {}, f"{report}\n{traces}")
        with self.subTest("few requests cross the close of their connection"):
            self.assertLessEqual(len(site.seen.crossed), MAX_CROSSED, report)
        with self.subTest("planned stops end by themselves"):
            self.assertEqual(site.exits, [0] * RESTARTED, report)
        with self.subTest("a leaving endpoint gets no new requests"):
            late = {
                e.name: len(e.seen) - site.left_at[e.name]
                for e in site.endpoints
                if e.name in site.left_at
            }
            self.assertEqual(set(late.values()), {0}, late)


def _spent(site: RestoredSite) -> int:
    """Tokens used by the paid account, as counted at the endpoints."""
    ids = {
        r.headers["X-Attempt-Id"]
        for e in site.endpoints
        for r in e.seen
        if r.path == "/stream/x"
    }
    return len(ids) * (INPUT_TOKENS + OUTPUT_TOKENS)


if __name__ == "__main__":
    unittest.main()
