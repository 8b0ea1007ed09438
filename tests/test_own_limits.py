"""Rate limits that replicas name, for the product's own interface."""

import asyncio
import unittest

from celerytrack.load.caller import Outcome
from celerytrack.load.mix import MIXES
from celerytrack.load.notices import Said, check_limits, say
from celerytrack.load.runner import Plan, run_plan
from tests.fleet import Fleet, get_json

LIMIT_PER_S = 3.0
USED_SHARE = 0.6
"""Least part of the worst window's limit that must be used."""


def _runs(fleet: Fleet) -> dict[str, int]:
    """Number of requests that each replica has run."""
    stats = {r.replica_id: get_json(r.address, "/_stats") for r in fleet.fleet.replicas}
    return {i: sum(found["runs"].values()) for i, found in stats.items()}


class OwnLimitsTest(unittest.TestCase):
    def test_all_entries_together_keep_a_named_limit(self) -> None:
        """Each entry sent as much to a replica that had named its limit."""
        with Fleet("haddad") as fleet:
            asyncio.run(say(fleet.fleet, Said(LIMIT_PER_S)))
            results = asyncio.run(self._run_load(fleet))
            checks = asyncio.run(check_limits(fleet.fleet))
            statuses = [get_json(e.address, "/status") for e in fleet.entry_specs]
            asyncio.run(say(fleet.fleet, Said()))
            runs = _runs(fleet)
            asyncio.run(self._run_load(fleet, 30.0, 5.0))
            called = {i for i, count in _runs(fleet).items() if count > runs[i]}
            after = [get_json(e.address, "/status") for e in fleet.entry_specs]
        self.assertEqual(len(checks), len(fleet.fleet.replicas))
        for check in checks:
            self.assertTrue(check.is_kept, check)
        worst = max(check.worst_window for check in checks)
        self.assertGreaterEqual(worst, USED_SHARE * LIMIT_PER_S * 4.0)
        outcomes = {r.outcome for r in results}
        self.assertLessEqual(outcomes, {Outcome.DONE, Outcome.REFUSED})
        refusals = {r.reason for r in results if r.outcome == Outcome.REFUSED}
        self.assertEqual(refusals, {"rate_limited"})
        for status in statuses:
            self.assertEqual(len(status["limits"]), len(fleet.fleet.replicas))
        self.assertGreaterEqual(len(called), 3)
        for status in after:
            self.assertFalse(called & status["limits"].keys(), status["limits"])

    async def _run_load(
        self, fleet: Fleet, rate_per_s: float = 60.0, lasts_s: float = 12.0
    ) -> list:
        keys = {a.account_id: a.key for a in fleet.config.accounts}
        entries = [e.address for e in fleet.entry_specs]
        plan = Plan(rate_per_s, lasts_s, 1_000, 1)
        return await run_plan(plan, MIXES["haddad"], entries, keys)
