"""Table tests of the ledger fold and the escrow book."""

import unittest

from nose2.tools import params

from celerytrack.escrow import EscrowBook, HeldGrant, grant_size
from celerytrack.ids import AccountId, EntryId, GrantId, RequestId
from celerytrack.ledger import Ledger

A = AccountId("acct")


def _topup(n: int, tid: str = "t1") -> dict[str, object]:
    return {"type": "topup", "account": A, "tokens": n, "topup_id": tid}


def _grant(gid: str, n: int) -> dict[str, object]:
    return {"type": "grant", "account": A, "entry": "e1", "grant_id": gid, "tokens": n}


def _settle(gid: str, spent: int) -> dict[str, object]:
    return {"type": "settle", "grant_id": gid, "spent_tokens": spent}


class LedgerFoldTest(unittest.TestCase):
    @params(
        # records, free, open, spent
        ([_topup(100)], 100, 0, 0),
        ([_topup(100), _topup(100)], 100, 0, 0),  # same topup id: counted once
        ([_topup(100), _grant("g1", 60)], 40, 60, 0),
        ([_topup(100), _grant("g1", 60), _grant("g2", 60)], 40, 60, 0),  # g2 void
        ([_topup(100), _grant("g1", 60), _grant("g1", 60)], 40, 60, 0),  # retry
        ([_topup(100), _grant("g1", 60), _settle("g1", 10)], 90, 0, 10),
        (
            [_topup(100), _grant("g1", 60), _settle("g1", 10), _settle("g1", 50)],
            90,
            0,
            10,
        ),
        ([_topup(100), _grant("g1", 60), _settle("g1", 999)], 40, 0, 60),  # capped
        ([_grant("g1", 1)], 0, 0, 0),
    )
    def test_fold(self, records, free, open_, spent):
        ledger = Ledger()
        ledger.apply_all(enumerate(records))
        totals = ledger.account(A)
        self.assertEqual(
            (totals.free_tokens, totals.open_tokens, totals.spent_tokens),
            (free, open_, spent),
        )

    def test_snapshot_restores_the_fold(self):
        ledger = Ledger()
        ledger.apply_all(enumerate([_topup(100), _grant("g1", 30)]))
        copy = Ledger()
        copy.apply(1, ledger.snapshot())
        copy.apply(2, _settle("g1", 5))
        self.assertEqual(copy.account(A).free_tokens, 95)

    def test_records_below_next_offset_are_skipped(self):
        ledger = Ledger()
        ledger.apply(0, _topup(100))
        ledger.apply(0, _topup(100, "t2"))
        self.assertEqual(ledger.account(A).budget_tokens, 100)


class EscrowBookTest(unittest.TestCase):
    def _book(self, *sizes: int) -> EscrowBook:
        book = EscrowBook(EntryId("e1"))
        for i, size in enumerate(sizes):
            book.add(HeldGrant(GrantId(f"g{i}"), A, size, usable_until_s=100.0))
        return book

    @params(
        # grants, reserve, now_s, reserved?
        ((50,), 40, 0.0, True),
        ((50,), 60, 0.0, False),
        ((30, 30), 50, 0.0, True),
        ((50,), 10, 100.0, False),  # lease ended
    )
    def test_reserve(self, sizes, tokens, now_s, ok):
        book = self._book(*sizes)
        got = book.reserve(RequestId("r"), A, tokens, now_s)
        self.assertEqual(got is not None, ok)

    @params((40, 25, 25, 25), (40, 90, 40, 10), (40, 0, 0, 50))
    def test_commit_frees_the_rest(self, reserve, spent, counted, left):
        book = self._book(50)
        reservation = book.reserve(RequestId("r"), A, reserve, 0.0)
        assert reservation is not None
        self.assertEqual(book.commit(reservation, spent), counted)
        self.assertEqual(book.available(A, 0.0), left)


class GrantSizeTest(unittest.TestCase):
    @params(
        # free, wanted, usual grant, size
        (100_000, 100, 4000, 4000),
        (8000, 100, 4000, 2000),  # a quarter of what is free
        (8000, 3000, 4000, 3000),  # but at least what the request needs
        (200, 300, 4000, 200),  # never more than is free
        (0, 100, 4000, 0),
    )
    def test_grant_size(self, free, wanted, usual, size):
        self.assertEqual(grant_size(free, wanted, usual), size)
