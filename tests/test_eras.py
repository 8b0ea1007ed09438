"""Tables for the era of the log: what each answer tells, and what is held to."""

import random
import unittest

from nose2.tools import params

from celerytrack.endpoint import Registration
from celerytrack.endpoints import DEREGISTERED_GRACE_S, EndpointPool, RegistrationChange
from celerytrack.eras import REWRITTEN_S, Era, EraNews, EraWatch
from celerytrack.ids import AccountId, EndpointId, EntryId, ServiceName, Zone
from celerytrack.members import Member, MembershipView, MemberState
from celerytrack.platform.log_format import decode_era
from celerytrack.platform.rows import decode_member, encode_member
from celerytrack.prepaid import PrepaidBook, Row
from celerytrack.prepaid.restores import HOLD_S
from celerytrack.strict import UnreadableError

SAME, CHANGED, LATE = EraNews.SAME, EraNews.CHANGED, EraNews.LATE
A = AccountId("a")
ME, PEER, THIRD = EntryId("me"), EntryId("peer"), EntryId("third")
TOTAL = 100_000
OLD, NEW, NEWER = Era(1), Era(2), Era(3)


class EraWatchTest(unittest.TestCase):
    @params(
        # What each answer tells in turn: its era, the changes known when the call was
        # made, and what it counts as.
        [(1, 0, SAME), (1, 0, SAME)],
        [(1, 0, SAME), (2, 0, CHANGED), (2, 0, SAME), (1, 0, LATE), (2, 1, SAME)],
        [(1, 0, SAME), (2, 0, CHANGED), (3, 0, CHANGED), (2, 0, LATE), (3, 1, SAME)],
        [(1, 0, SAME), (2, 0, CHANGED), (3, 1, CHANGED), (2, 1, LATE), (3, 2, SAME)],
        # It jumps.
        [(1, 0, SAME), (7, 0, CHANGED), (7, 1, SAME), (1, 0, LATE)],
        # It falls: in answer to a call of now it is another log.
        [(5, 0, SAME), (4, 0, CHANGED), (4, 1, SAME)],
        [(5, 0, SAME), (6, 0, CHANGED), (5, 1, CHANGED), (6, 1, CHANGED)],
        # It is missing, always or in some answers.
        [(None, 0, SAME), (None, 0, SAME)],
        [(None, 0, SAME), (3, 0, SAME), (None, 0, SAME), (3, 0, SAME)],
        [(1, 0, SAME), (2, 0, CHANGED), (None, 0, LATE), (None, 1, SAME)],
    )
    def test_what_answers_tell(self, answers):
        """An answer of the era before is applied after one of the new era."""
        watch = EraWatch()
        for era, asked_at, news in answers:
            self.assertIs(watch.take(era, asked_at, 0.0), news, (era, asked_at))

    @params((1, 2, True), (1, 3, False), (2, 1, False))
    def test_listeners_are_told_first(self, old, new, expected):
        watch = EraWatch()
        told = []
        watch.on_change(told.append)
        watch.take(Era(old), 0, 1.0)
        watch.take(Era(new), 0, 2.0)
        (change,) = told
        self.assertEqual((change.old, change.new, change.seen_at_s), (old, new, 2.0))
        self.assertIs(change.expected, expected)
        self.assertFalse(watch.rewritten(2.0 + REWRITTEN_S / 2))
        self.assertTrue(watch.rewritten(2.0 + REWRITTEN_S))

    @params("", "x", "-1", "1.5", " 2", "+2", "0x1", "²", "9" * 40)
    def test_what_is_no_number_is_refused(self, value):
        with self.assertRaises(UnreadableError):
            decode_era(value)

    @params((None, None), ("0", 0), ("17", 17))
    def test_numbers_are_taken(self, value, era):
        self.assertEqual(decode_era(value), era)


def _book(claimed=30_000, mine=10_000):
    """A book in which another entry claims much, and this one has a row of ``OLD``."""
    book = PrepaidBook(ME)
    book.set_totals({A: TOTAL})
    book.fold(PEER, {A: Row(claimed, 5_000, 2_000)}, OLD)
    book.fold(ME, {A: Row(mine, mine)}, OLD)
    return book


def _write(book, era, now_s):
    """A row of this entry, made in ``era``."""
    book.plan(2, now_s)
    row = book.next_row(now_s)
    book.fold(ME, row, era)
    book.row_folded()
    return row


class RestoreGuardTest(unittest.TestCase):
    @params(
        # The row of the copy, its era, and what counts.
        ({A: Row(8_000, 8_000, 1_000)}, OLD, 30_000),
        ({A: Row(50_000, 8_000, 1_000)}, OLD, 50_000),
        ({A: Row(8_000, 8_000, 1_000)}, None, 30_000),
        ({}, None, 30_000),
        ({A: Row(8_000, 8_000, 1_000)}, NEW, 8_000),
    )
    def test_claims_fall_by_their_owner_only(self, row, era, counts):
        """A copy lacks a claim, and its tokens are spent twice."""
        book = _book()
        book.rose(NEW, {PEER}, 0.0)
        book.fold(PEER, row, era)
        self.assertEqual(book.rows.claimed_tokens(A) - 10_000, counts)

    def test_an_entry_missing_on_the_copy_keeps_its_claim(self):
        book = _book()
        book.rose(NEW, {PEER}, 0.0)
        book.keep_only({ME})
        self.assertEqual(book.rows.claimed_tokens(A), 40_000)

    @params(
        # Who writes in the new era, when this is looked at, whether it may take more.
        ((), 1.0, False),
        ((PEER,), 1.0, False),
        ((PEER, THIRD), 1.0, True),
        ((PEER,), HOLD_S, True),
    )
    def test_nothing_more_is_taken_until_all_have_written(self, writers, at_s, takes):
        """Room that appeared by the loss of a claim is claimed and spent."""
        book = _book()
        book.fold(THIRD, {A: Row(1_000, 1_000)}, OLD)
        book.rose(NEW, {PEER, THIRD}, 0.0)
        _write(book, NEW, 0.1)
        before = book._share(A).accepted_tokens
        for writer in writers:
            book.fold(writer, {A: Row(1_000, 1_000)}, NEW)
        book.want(A, 20_000)
        _write(book, NEW, at_s)
        self.assertEqual(book._share(A).accepted_tokens > before, takes)

    def test_a_row_of_before_does_not_end_the_hold(self):
        """An append of the old era that lands late in the new one tells an older
        claim than its owner has."""
        book = _book()
        book.rose(NEW, {PEER}, 0.0)
        book.fold(PEER, {A: Row(1_000, 1_000)}, OLD)
        _write(book, NEW, 1.0)
        self.assertTrue(book.guard.holding)
        self.assertEqual(book.rows.claimed_tokens(A), 30_000)

    def test_what_may_be_spent_stays_so(self):
        """The log's return takes what a plain outage would have left."""
        book = _book()
        _write(book, OLD, 0.0)
        left = book.left_tokens(A, 0.5)
        self.assertGreater(left, 0)
        book.rose(NEW, {PEER}, 0.5)
        book.fold(ME, {}, None)
        self.assertEqual(book.left_tokens(A, 0.5), left)

    def test_a_gift_stays_accounted(self):
        book = _book()
        _write(book, OLD, 0.0)
        given = book.give(A, 100, 0.5)
        book.receive(A, 40)
        floor = book._share(A).floor_tokens
        book.rose(NEW, {PEER}, 0.5)
        row = _write(book, NEW, 1.0)
        self.assertEqual((given, book._share(A).floor_tokens), (100, floor))
        self.assertGreaterEqual(row[A].claimed_tokens, floor)

    def test_without_a_row_of_its_own_it_takes_nothing(self):
        """The bound passes while this entry's own row is nowhere on the log."""
        book = _book()
        book.rose(NEW, {PEER}, 0.0)
        book.plan(2, 2 * HOLD_S)
        self.assertTrue(book.guard.holding)

    def test_another_restore_begins_anew(self):
        book = _book()
        book.rose(NEW, {PEER}, 0.0)
        book.fold(PEER, {A: Row(40_000, 1_000)}, NEW)
        book.rose(NEWER, {PEER}, 0.5)
        book.fold(PEER, {A: Row(8_000, 1_000)}, NEW)
        self.assertEqual(book.rows.claimed_tokens(A) - 10_000, 40_000)
        _write(book, NEWER, 1.0)
        self.assertTrue(book.guard.holding)

    def test_who_leaves_returns_what_it_has_not_spent(self):
        book = _book()
        _write(book, OLD, 0.0)
        book.rose(NEW, {PEER}, 0.5)
        book.return_unspent()
        row = _write(book, NEW, 1.0)
        self.assertEqual(row[A].claimed_tokens, 0)


def _member(**fields):
    values = {"epoch": 1, "made_s": 10.0, "started_s": 1.0, "era": OLD, **fields}
    state = values.pop("state", MemberState.SERVING)
    return Member(PEER, values.pop("epoch"), "f", "p", Zone("z"), state, **values)


class OlderRowTest(unittest.TestCase):
    @params(
        # What was known, what the copy holds, whether that is taken.
        ({}, {"made_s": 9.0}, False),
        ({}, {"made_s": 10.0}, True),
        ({}, {"made_s": 11.0}, True),
        ({"epoch": 3, "started_s": 5.0}, {"epoch": 1}, False),
        ({"epoch": 3, "started_s": 5.0, "era": NEW}, {"epoch": 9}, False),
        ({"epoch": 9, "era": OLD}, {"epoch": 2, "started_s": 5.0, "era": NEW}, True),
    )
    def test_only_a_newer_row_replaces_another(self, known, read, taken):
        """An entry that leaves is told to callers again, from the copy."""
        view = MembershipView(ME)
        view.fold(_member(**known, state=MemberState.LEAVING), 0.0)
        view.fold(_member(**read), 1.0)
        self.assertIs(view.member(PEER).state is MemberState.SERVING, taken)

    def test_a_row_carries_its_era(self):
        for era in (None, NEW):
            member = _member(era=era)
            self.assertEqual(decode_member(PEER, encode_member(member)).era, era)


def _registration(sequence, draining=False, born_ms=1):
    endpoint_id, service = EndpointId("e"), ServiceName("s")
    numbers = {"born_ms": born_ms, "sequence": sequence}
    return Registration(endpoint_id, service, "h:1", Zone("z"), 8, draining, **numbers)


class RegistrationOfACopyTest(unittest.TestCase):
    def _left(self, forgotten):
        book = EndpointPool(Zone("z"), random.Random(1))
        book.register(_registration(5), 0.0)
        book.mark_deregistered(EndpointId("e"), 1.0)
        if forgotten:
            book.evict_deregistered(1.1 + DEREGISTERED_GRACE_S)
        return book

    @params(
        # Whether it is forgotten by then, the record of the copy, what it counts as.
        (False, _registration(5), RegistrationChange.STALE),
        (False, _registration(4), RegistrationChange.STALE),
        (False, _registration(6), RegistrationChange.SAME),
        (True, _registration(5), RegistrationChange.STALE),
        (True, _registration(6), RegistrationChange.NEW),
        (True, _registration(1, born_ms=2), RegistrationChange.NEW),
    )
    def test_who_left_comes_back_by_a_newer_record(self, forgotten, record, took):
        """The copy holds the last record of an endpoint that left, and it gets work."""
        book = self._left(forgotten)
        book.on_log_restored()
        self.assertIs(book.register(record, 2.0), took)
        stands = book.registered_ids() == [EndpointId("e")]
        self.assertIs(stands, took is not RegistrationChange.STALE)

    def test_a_record_that_lapsed_is_back_as_it_was_without_a_restore(self):
        self.assertIs(
            self._left(False).register(_registration(5), 2.0), RegistrationChange.SAME
        )

    def test_what_is_missing_is_gone_after_its_time(self):
        book = EndpointPool(Zone("z"), random.Random(1))
        book.restores.missing(EndpointId("e"), 1.0)
        book.restores.missing(EndpointId("f"), 1.0)
        book.restores.written(EndpointId("f"))
        self.assertEqual(book.restores.take_gone(0.9 + REWRITTEN_S), [])
        self.assertEqual(book.restores.take_gone(1.0 + REWRITTEN_S), ["e"])
        self.assertEqual(book.restores.take_gone(9.0), [])
