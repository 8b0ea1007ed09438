"""Requests through real processes on loopback, for both example deployments."""

import asyncio
import unittest

from nose2.tools import params

from celerytrack.load.caller import Outcome
from celerytrack.load.checker import audit_sync
from celerytrack.load.mix import MIXES
from celerytrack.load.runner import Plan, run_plan
from tests.fleet import Fleet


class EndToEndTest(unittest.TestCase):
    @params("haddad", "padma")
    def test_every_request_is_answered_and_billed_once(self, name):
        with Fleet(name, entries=3) as fleet:
            keys = {a.account_id: a.key for a in fleet.config.accounts}
            entries = [e.address for e in fleet.entry_specs]
            plan = Plan(rate_per_s=40.0, duration_s=4.0, max_requests=150, seed=3)
            results = asyncio.run(run_plan(plan, MIXES[name], entries, keys))
            once = {c.name for c in fleet.config.classes if not c.idempotent}
            found = audit_sync(fleet.fleet, once)
        outcomes = [r.outcome for r in results]
        self.assertEqual(outcomes.count(Outcome.DONE), len(results), outcomes)
        self.assertEqual(found.bills, len(results))
        self.assertEqual(found.double_bills, 0)
        self.assertEqual(found.double_runs, 0)
        self.assertEqual(found.overspend_tokens, 0)
