"""Replicas that say that they leave or back off, for the product's own interface."""

import asyncio
import itertools
import random
import time
import unittest

from nose2.tools import params

from celerytrack.entry.fleet_view import read_born_ms
from celerytrack.entry.notices import EntryNotices
from celerytrack.ids import EndpointId, EntryId, ReplicaId, RequestId, Zone
from celerytrack.load.caller import Outcome, Result
from celerytrack.load.mix import MIXES
from celerytrack.load.notices import Said, check_notices, say
from celerytrack.load.runner import Plan, run_plan
from celerytrack.notices.answer import AnswerNotices
from celerytrack.routing.replica_load import ReplicaLoad
from celerytrack.verdict import Refusal
from tests.fleet import Fleet, get_json
from tests.own_cut_fleet import OwnCutFleet

RATE_PER_S = 40.0


async def _run_load(fleet: Fleet, lasts_s: float, seed: int) -> list[Result]:
    keys = {a.account_id: a.key for a in fleet.config.accounts}
    entries = [e.address for e in fleet.entry_specs]
    plan = Plan(RATE_PER_S, lasts_s, 1_000, seed)
    return await run_plan(plan, MIXES["haddad"], entries, keys)


class IncarnationTest(unittest.TestCase):
    def test_a_replica_that_started_again_is_used(self) -> None:
        """It left, and was never used again under its id."""
        notices = EntryNotices(
            EntryId("e"), "127.0.0.1:1", lambda _: [], lambda _: 0.0, random.Random(1)
        )
        replica = ReplicaLoad(ReplicaId("r"), Zone("z"), "m", born_ms=1_000)
        said = AnswerNotices(leaving=True)
        now_s = time.monotonic()
        notices.sync.record_answer(
            EndpointId("r"), replica.born_ms, said, now_s, RequestId("q"), True, now_s
        )
        self.assertEqual(notices.closed([replica], now_s + 2.0), {"r"})
        self.assertEqual(notices.last_resorts([replica], now_s + 1.0), [replica])
        self.assertEqual(notices.last_resorts([replica], now_s + 2.0), [])
        replica.born_ms = 2_000
        self.assertEqual(notices.closed([replica], now_s + 2.0), frozenset())


class LeaseTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_lease_is_taken_for_a_replica_that_backs_off(self) -> None:
        """It was leased, not sent to, and leased again until the time was up."""
        notices = EntryNotices(
            EntryId("e"), "127.0.0.1:1", lambda _: [], lambda _: 0.0, random.Random(1)
        )
        replica = ReplicaLoad(ReplicaId("r"), Zone("z"), "m")
        now_s = time.monotonic()
        said = AnswerNotices(limit_per_s=50.0, backoff_s=5.0)
        notices.sync.record_answer(
            EndpointId("r"), 0, said, now_s, RequestId("q"), False, now_s
        )
        placed = await notices.lease(
            lambda excluded: None, [replica], 0, 0.5, random.Random(1)
        )
        self.assertIsInstance(placed, Refusal)


class LoadReportTest(unittest.TestCase):
    @params(
        (2_000, 2_000),
        (None, 1_000),
        (0, 1_000),
        (-5, 1_000),
        (True, 1_000),
        ("2000", 1_000),
        (float("nan"), 1_000),
        (float("inf"), 1_000),
        (1 << 80, 1_000),
    )
    def test_only_a_time_is_taken_for_a_start(
        self, reported: object, born_ms: int
    ) -> None:
        """A report that named none ended the task that follows the replicas, or closed
        or opened a replica by mistake."""
        self.assertEqual(read_born_ms({"born_ms": reported}, 1_000), born_ms)


class OwnNoticesTest(unittest.TestCase):
    def test_a_replica_that_said_it_leaves_gets_no_more_requests(self) -> None:
        """Each entry sent to it until the instance list said so."""
        with Fleet("haddad") as fleet:
            leaving = fleet.fleet.replicas[0].replica_id
            said = Said(leaving=True)
            asyncio.run(say(fleet.fleet, said, frozenset({leaving})))
            results = asyncio.run(_run_load(fleet, 7.0, 1))
            (check,) = asyncio.run(check_notices(fleet.fleet))
            statuses = [get_json(e.address, "/status") for e in fleet.entry_specs]
        self.assertEqual(check.late, 0)
        for status in statuses:
            self.assertEqual(status["leaving_replicas"], [leaving])
        self.assertEqual({r.outcome for r in results}, {Outcome.DONE})

    def test_replicas_that_asked_for_a_backoff_are_left_alone(self) -> None:
        """Each entry sent to them again after a short ejection."""
        with Fleet("haddad") as fleet:
            asyncio.run(say(fleet.fleet, Said(backoff_s=1.5, rejects_share=0.05)))
            results = asyncio.run(_run_load(fleet, 8.0, 2))
            checks = asyncio.run(check_notices(fleet.fleet))
        self.assertEqual(len(checks), len(fleet.fleet.replicas))
        for check in checks:
            self.assertTrue(check.is_kept, check)
        outcomes = {r.outcome for r in results}
        self.assertLessEqual(outcomes, {Outcome.DONE, Outcome.REFUSED})
        done = sum(r.outcome == Outcome.DONE for r in results)
        self.assertGreaterEqual(done, 0.8 * len(results))


class PlacedCallTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_replica_that_left_meanwhile_gets_no_call_that_was_placed(
        self,
    ) -> None:
        """It was chosen, left the list while the call waited, and got it all the
        same."""
        async with OwnCutFleet(1) as fleet:
            entry, left = fleet.entries[0], []
            choose, choices = entry.choose, itertools.count()

            def choose_one_that_leaves(*args):
                replica = choose(*args)
                # The first choice only checks that a replica has room.
                if next(choices) == 1:
                    left.append(replica)
                    replica.leaving = True
                return replica

            entry.choose = choose_one_that_leaves
            # The list says so only later.
            entry.view.refresh = _nothing
            self.assertEqual(await fleet.call(0, "lookup", 1), 200)
            number = int(left[0].replica_id.removeprefix("service-"))
            self.assertEqual(sum(fleet.services[number].runs.values()), 0)


async def _nothing() -> None: ...
