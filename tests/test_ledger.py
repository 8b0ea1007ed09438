"""Table tests of the ledger fold and the escrow."""

import unittest

from nose2.tools import params

from celerytrack.escrow import (
    Escrow,
    HeldGrant,
    grant_size,
    plan_refill,
    reclaimable_grants,
)
from celerytrack.ids import AccountId, EntryId, GrantId, RequestId
from celerytrack.ledger import BillOutcome, Intent, IntentState, Ledger, OpenGrant
from celerytrack.settings import GrantPolicy

A = AccountId("acct")
CHARGED, DUPLICATE, VOID = BillOutcome.CHARGED, BillOutcome.DUPLICATE, BillOutcome.VOID


def _topup(n: int, tid: str = "t1") -> dict[str, object]:
    return {"type": "topup", "account": A, "tokens": n, "topup_id": tid}


def _grant(gid: str, n: int) -> dict[str, object]:
    return {
        "type": "grant",
        "account": A,
        "entry": "e1",
        "boot_id": "b1",
        "grant_id": gid,
        "tokens": n,
    }


def _settle(gid: str) -> dict[str, object]:
    return {"type": "settle", "grant_id": gid}


def _bill(rid: str, gid: str, n: int) -> dict[str, object]:
    return {"type": "bills", "bills": [[rid, A, "hint", [[gid, n]]]]}


def _by(seq: int, record: dict[str, object]) -> dict[str, object]:
    return {**record, "writer": "e1/b1", "seq": seq}


START = [_topup(100), _grant("g1", 60)]


class LedgerFoldTest(unittest.TestCase):
    @params(
        # records, free, open, spent
        ([_topup(100)], 100, 0, 0),
        ([_topup(100), _topup(100)], 100, 0, 0),  # the same top-up id counts once
        (START, 40, 60, 0),
        ([*START, _grant("g2", 60)], 40, 60, 0),  # g2 does not fit and is void
        ([*START, _bill("r1", "g1", 10)], 40, 50, 10),
        ([*START, _bill("r1", "g1", 10), _settle("g1")], 90, 0, 10),
        ([*START, _settle("g1"), _settle("g1")], 100, 0, 0),
        ([_grant("g1", 1)], 0, 0, 0),
        # A record appended twice after a lost reply counts once, even if the
        # grant that it opens was settled in between.
        (
            [
                _topup(100),
                _by(1, _grant("g1", 60)),
                _by(2, _settle("g1")),
                _by(1, _grant("g1", 60)),
            ],
            100,
            0,
            0,
        ),
    )
    def test_fold(self, records, free, open_, spent):
        ledger = Ledger()
        ledger.apply_all(enumerate(records))
        totals = ledger.account(A)
        self.assertEqual(
            (totals.free_tokens, totals.open_tokens, totals.spent_tokens),
            (free, open_, spent),
        )

    @params(
        # records before, the bill, its outcome
        ([], _bill("r1", "g1", 60), CHARGED),
        ([], _bill("r1", "g1", 61), VOID),
        ([], _bill("r1", "g9", 1), VOID),
        ([_bill("r1", "g1", 10)], _bill("r1", "g1", 10), DUPLICATE),
        ([_bill("r1", "g1", 50)], _bill("r2", "g1", 20), VOID),
        # A paused holder bills a grant that was reclaimed: the bill is fenced off.
        ([_settle("g1")], _bill("r1", "g1", 10), VOID),
        # A void bill does not count as billed: another bill may charge the request.
        ([_bill("r1", "g9", 1)], _bill("r1", "g1", 1), CHARGED),
    )
    def test_bill_outcome(self, before, bill, outcome):
        ledger = Ledger()
        ledger.apply_all(enumerate([*START, *before]))
        self.assertEqual(ledger.apply(ledger.next_offset, bill), [outcome])

    @params(
        # records, the intent for key k
        ([("intent", "c1")], Intent("c1")),
        ([("intent", "c1"), ("intent", "c2")], Intent("c1")),
        ([("intent", "c1"), ("abandoned", "c1")], None),
        ([("intent", "c1"), ("abandoned", "c2")], Intent("c1")),
        (
            [("intent", "c1"), ("finished", "c1"), ("abandoned", "c1")],
            Intent("c1", IntentState.FINISHED, "done"),
        ),
        (
            [("intent", "c1"), ("abandoned", "c1"), ("intent", "c2")],
            Intent("c2"),
        ),
    )
    def test_intents(self, records, expected):
        ledger = Ledger()
        for kind, claim_id in records:
            record = {"type": kind, "key": "k", "claim_id": claim_id, "answer": "done"}
            ledger.apply(ledger.next_offset, record)
        self.assertEqual(ledger.intents.get("k"), expected)

    def test_records_below_next_offset_are_skipped(self):
        ledger = Ledger()
        ledger.apply(0, _topup(100))
        ledger.apply(0, _topup(100, "t2"))
        self.assertEqual(ledger.account(A).budget_tokens, 100)


class EscrowTest(unittest.TestCase):
    def _escrow(self, *sizes: int) -> Escrow:
        escrow = Escrow(EntryId("e1"))
        for i, size in enumerate(sizes):
            escrow.add(HeldGrant(GrantId(f"g{i}"), A, size, usable_until_s=100.0))
        return escrow

    @params(
        # grants, tokens to reserve, now_s, whether reserved
        ((50,), 40, 0.0, True),
        ((50,), 60, 0.0, False),
        ((30, 30), 50, 0.0, True),
        ((50,), 10, 100.0, False),  # lease ended
    )
    def test_reserve(self, sizes, tokens, now_s, reserved):
        escrow = self._escrow(*sizes)
        got = escrow.reserve(RequestId("r"), A, tokens, now_s)
        self.assertEqual(got is not None, reserved)

    @params(
        # reserved, spent, charged, outcome of the bill, available afterwards
        (40, 25, 25, CHARGED, 25),
        (40, 90, 40, CHARGED, 10),
        (40, 0, 0, CHARGED, 50),
        (40, 25, 25, DUPLICATE, 50),  # billed by another entry: free again
    )
    def test_commit_and_confirm(self, reserve, spent, charged, outcome, left):
        escrow = self._escrow(50)
        reservation = escrow.reserve(RequestId("r"), A, reserve, 0.0)
        assert reservation is not None
        charges = escrow.commit(reservation, spent)
        self.assertEqual(sum(n for _, n in charges), charged)
        self.assertEqual(bool(escrow.settleable(200.0)), not charges)
        escrow.confirm(charges, outcome)
        self.assertEqual(escrow.available(A, 0.0), left)
        self.assertTrue(escrow.settleable(200.0))


class GrantSizeTest(unittest.TestCase):
    @params(
        # free, available, missing, usual grant, size
        (100_000, 0, 0, 4000, 4000),
        (6000, 0, 0, 4000, 3000),  # half of what is free
        (6000, 0, 3500, 4000, 3500),  # but at least what the request lacks
        (200, 0, 300, 4000, 200),  # never more than is free
        (0, 0, 100, 4000, 0),
        (5000, 3000, 0, 4000, 1000),  # held tokens count toward the half
        (6000, 6000, 0, 4000, 0),
    )
    def test_grant_size(self, free, available, missing, usual, size):
        self.assertEqual(grant_size(free, available, missing, usual), size)

    def test_a_burst_does_not_take_the_whole_budget(self):
        """Guards against a limit per grant without one on what an entry holds. 20
        marking jobs arrive at one entry in 0.2 s, each finds less available than the
        rate calls for, and each takes another grant. When that entry dies, 18 of its
        20 callers are refused at the other one, though two thirds of the budget are
        unspent."""
        free, available = 200_000, 0
        for i in range(20):
            rate = 3128 * (i + 1) / 30.0
            plan = plan_refill(3128, available, free, 0, rate, GrantPolicy())
            free -= plan.grant_tokens
            available += plan.grant_tokens - 3128
        self.assertGreaterEqual(free, 20 * 3128)


class RefillTest(unittest.TestCase):
    @params(
        # cost, available, free, held elsewhere, rate, grant, asked of others
        (100, 5000, 90_000, 0, 0.0, 0, 0),  # enough available
        (100, 900, 90_000, 0, 0.0, 4000, 0),  # below low water
        (100, 5000, 90_000, 0, 200.0, 12_000, 0),  # below half a minute of spend
        (100, 5000, 15_000, 0, 200.0, 5000, 0),  # limited to half of the tokens left
        (700, 500, 100, 9000, 0.0, 100, 1000),  # other entries hold the rest
        (700, 500, 100, 0, 0.0, 100, 0),  # the rest is spent
    )
    def test_plan(self, cost, available, free, elsewhere, rate, grant, others):
        policy = GrantPolicy(cover_s=60.0)
        got = plan_refill(cost, available, free, elsewhere, rate, policy)
        self.assertEqual((got.grant_tokens, got.others_tokens), (grant, others))

    def test_the_rate_is_that_of_recent_reservations(self):
        escrow = Escrow(EntryId("e1"))
        escrow.add(HeldGrant(GrantId("g"), A, 100_000, usable_until_s=1000.0))
        for i in range(200):
            escrow.reserve(RequestId(f"r{i}"), A, 100, float(i))
        self.assertAlmostEqual(escrow.rate_tokens_per_s(A, 200.0), 100.0, delta=5.0)
        self.assertLess(escrow.rate_tokens_per_s(A, 320.0), 5.0)


class ReclaimableTest(unittest.TestCase):
    @params(
        # holder, its boot id, gone entries, seconds since the grant was seen, reclaimed
        ("e2", "b9", ["e2"], 60.0, True),
        ("e2", "b9", ["e2"], 59.0, False),  # the lease may still run
        ("e2", "b9", [], 600.0, False),  # still listed: it may only be partitioned
        ("e1", "b0", [], 0.0, True),  # an earlier incarnation of this entry
        ("e1", "b1", ["e1"], 600.0, False),  # the present incarnation
        ("e1", "b2", [], 600.0, False),  # an incarnation that replaces this one
    )
    def test_reclaimable(self, holder, boot, gone, ago_s, reclaimed):
        grant = OpenGrant(GrantId("g"), A, EntryId(holder), boot, 10)
        got = reclaimable_grants(
            {grant.grant_id: grant},
            {grant.grant_id: 1000.0 - ago_s},
            [EntryId(e) for e in gone],
            EntryId("e1"),
            {"b0"},
            60.0,
            1000.0,
        )
        self.assertEqual(got, ["g"] if reclaimed else [])
