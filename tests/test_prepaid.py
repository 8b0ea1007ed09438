"""Table tests of prepaid shares: claims, unlocking, transfers and restarts."""

import math
import random
import unittest

import attrs
from nose2.tools import params

from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.membership.link_capacity import (
    NARROW_LINK_FACTOR,
    min_caller_link_mbps,
)
from celerytrack.membership.members import (
    Member,
    MembershipView,
    MemberState,
    choose_addresses,
)
from celerytrack.membership.row_age import (
    age_after_power_loss_s,
    age_at_start_s,
    age_by_peer_clocks_s,
)
from celerytrack.membership.row_rate import (
    MAX_FLEET_ROWS_PER_S,
    ROW_BURST,
    RowRateLimiter,
    heartbeat_interval_s,
)
from celerytrack.prepaid import AccountClaim, PrepaidBudgets
from celerytrack.prepaid.policy import AccountUsage, share_target
from celerytrack.prepaid.rows import FoldedRows, RowSums
from celerytrack.prepaid.shares import OUTAGE_AGE_S, UNLOCK_DELAY_S, Share

A = AccountId("a")
ME, PEER, THIRD = EntryId("me"), EntryId("peer"), EntryId("third")
TOTAL = 100_000


def _budgets(
    total: int = TOTAL, entries: int = 2, now_s: float = 0.0
) -> PrepaidBudgets:
    """Budgets whose first row is on the log."""
    budgets = PrepaidBudgets(ME)
    budgets.set_totals({A: total})
    budgets.adopt(None)
    _write(budgets, entries, now_s)
    return budgets


def _write(budgets: PrepaidBudgets, entries: int, now_s: float) -> AccountClaim:
    budgets.plan(entries, now_s)
    row = budgets.make_row(now_s)
    budgets.fold(ME, row)
    budgets.confirm_row()
    return row[A]


def _member(entry, epoch=1, made_s=0.0, offset_s=0.0, started_s=0.0, **fields):
    return Member(
        entry,
        epoch,
        "front",
        "peer",
        Zone("z"),
        fields.pop("state", MemberState.SERVING),
        made_s,
        offset_s,
        started_s,
        fields.pop("left_at_s", None),
        fields.pop("clock_lead_s", None),
    )


OLD_S = 30.0
"""A row age at which the whole claim is unlocked."""


class UnlockTest(unittest.TestCase):
    def test_a_claim_unlocks_as_its_row_ages(self):
        """Guards against a limit of two fixed amounts that ignores the row's age.
        In a partition the 3 s of immediate tokens ran out, and requests were refused
        for a second, until the rest unlocked at a row age of 4 s. At a power loss all
        immediate tokens counted as spent, however short the time: 7 to 11 % of every
        total."""
        budgets = _budgets()
        claim = _write(budgets, 2, 0.0)
        ages_s = (UNLOCK_DELAY_S, UNLOCK_DELAY_S + 0.2, 2.0, 4.0, OLD_S)
        left = [budgets.available_tokens(A, age_s) for age_s in ages_s]
        self.assertEqual(left[0], claim.immediate_tokens)
        self.assertEqual(left, sorted(set(left)))
        self.assertEqual(left[-1], claim.claimed_tokens)

    @params(0.0, 0.5, 1.7, 3.5, 9.0)
    def test_the_next_incarnation_counts_what_may_have_been_spent_by_then(self, age_s):
        budgets = _budgets()
        claim = _write(budgets, 2, 0.0)
        spendable = budgets.available_tokens(A, age_s)
        after = PrepaidBudgets(ME)
        after.set_totals({A: TOTAL})
        after.fold(ME, {A: claim})
        after.adopt(age_s)
        after.return_unspent()
        self.assertEqual(after.make_row(age_s)[A].claimed_tokens, spendable)

    @params(0, 100, 1_000, 2_000, 3_000)
    def test_free_in_s_is_when_the_tokens_unlock(self, more):
        budgets = _budgets()
        claim = _write(budgets, 2, 0.0)
        tokens = claim.immediate_tokens + more
        after_s = budgets.free_in_s(A, tokens, 0.5)
        self.assertLess(
            budgets.available_tokens(A, 0.5 + after_s - 0.01), tokens + (more == 0)
        )
        self.assertGreaterEqual(
            budgets.available_tokens(A, 0.5 + after_s + 0.01), tokens
        )
        self.assertIsNone(budgets.free_in_s(A, claim.claimed_tokens + 1, 0.5))

    def test_the_next_row_covers_a_waiting_request_in_full(self):
        """Guards against a next row that covers only what the last one lacked. Its
        tokens lock again with the new row, so a request for 2,000 was refused with
        1,985 available, though the log replied and the claim sufficed: the row was a
        second old, and the request still lacked what that second had unlocked."""
        budgets = _budgets()
        claim = _write(budgets, 2, 0.0)
        free = budgets.available_tokens(A, OUTAGE_AGE_S)
        self.assertGreater(free, claim.immediate_tokens)
        self.assertIsNone(budgets.reserve(A, free + 10, OUTAGE_AGE_S))
        _write(budgets, 2, OUTAGE_AGE_S)
        self.assertIsNotNone(budgets.reserve(A, free + 10, OUTAGE_AGE_S))

    def test_a_row_in_flight_and_the_folded_row_both_limit(self):
        """Guards against a limit taken from the newest row alone. A row that allows
        more is in flight, the entry spends by it and is killed, and the append is
        lost. The next incarnation finds the previous row and counts less than was
        spent, so the total is overspent."""
        budgets = _budgets()
        before = _write(budgets, 2, 0.0)
        reservation = budgets.reserve(A, before.immediate_tokens, 0.1)
        self.assertIsNotNone(reservation)
        self.assertIsNone(budgets.reserve(A, 3_000, 0.1))
        budgets.plan(2, 0.1)
        self.assertGreater(
            budgets.make_row(0.1)[A].immediate_tokens, before.limit_tokens(0.1)
        )
        spendable = before.limit_tokens(0.1) - before.immediate_tokens
        self.assertEqual(budgets.available_tokens(A, 0.1), spendable)

    def test_a_row_in_flight_lowers_the_limit_and_never_raises_it(self):
        """Guards against a limit taken from the folded row alone. A lower row is in
        flight, the entry spends up to the higher folded one, the append lands late,
        and others claim the freed tokens, so the total is overspent."""
        budgets = _budgets()
        high = budgets.available_tokens(A, 0.1)
        budgets.return_unspent()
        budgets.make_row(1.0)
        budgets.set_totals({A: TOTAL + 1})
        self.assertGreater(high, 0)
        self.assertEqual(budgets.available_tokens(A, 1.1), 0)

    def test_a_claim_that_does_not_fit_is_not_spent_and_is_withdrawn(self):
        budgets = PrepaidBudgets(ME)
        budgets.set_totals({A: TOTAL})
        budgets.adopt(None)
        budgets.plan(2, 0.0)
        row = budgets.make_row(0.0)
        budgets.fold(PEER, {A: AccountClaim(TOTAL, TOTAL)})
        budgets.fold(ME, row)
        budgets.confirm_row()
        self.assertEqual(budgets.available_tokens(A, OLD_S), 0)
        budgets.plan(2, 0.1)
        self.assertEqual(budgets.make_row(0.1)[A].claimed_tokens, 0)

    def test_no_allowance_rises_while_a_row_cannot_be_decoded(self):
        """Guards against treating an undecodable row as absent. Entries of two
        releases with different row formats run side by side and reject each other's
        rows. Each sees the whole total free and claims it: every account overspent."""
        budgets = PrepaidBudgets(ME)
        budgets.set_totals({A: TOTAL})
        budgets.mark_unreadable(PEER)
        budgets.adopt(None)
        _write(budgets, 2, 0.0)
        self.assertEqual(budgets.available_tokens(A, OLD_S), 0)
        budgets.fold(PEER, {A: AccountClaim()})
        budgets.confirm_row()
        self.assertGreater(budgets.available_tokens(A, OLD_S), 0)


class ConcentratedSpendTest(unittest.TestCase):
    def test_an_idle_entry_releases_an_account_that_others_spend(self):
        """Guards against equal shares whichever entry spends. Callers keep connections,
        so an account's requests come through one entry. In a partition these were
        refused while other entries without callers held most of the total."""
        idle, busy = _budgets(), PrepaidBudgets(PEER)
        first = _write(idle, 2, 0.0).claimed_tokens
        idle.fold(PEER, {A: AccountClaim(60_000, 50_000, 40_000, 0, 0, 4_000)})
        later = _write(idle, 2, 1.0).claimed_tokens
        self.assertLess(later, first / 2)
        busy.set_totals({A: TOTAL})
        busy.adopt(None)
        for second in range(10):
            _write_as(busy, PEER, 2, float(second))
            reservation = busy.reserve(A, 2_000, second + 0.5)
            if reservation is None:
                # The row task writes a row for the missing tokens.
                _write_as(busy, PEER, 2, second + 0.51)
                reservation = busy.reserve(A, 2_000, second + 0.52)
            self.assertIsNotNone(reservation)
            busy.commit(reservation, 2_000, second + 0.52)
        left = busy.available_tokens(A, 10.0 + OLD_S)
        self.assertGreater(left, 9 * 2_000)


def _write_as(
    budgets: PrepaidBudgets, entry: EntryId, entries: int, now_s: float
) -> None:
    budgets.plan(entries, now_s)
    row = budgets.make_row(now_s)
    budgets.fold(entry, row)
    budgets.confirm_row()


class UrgentTest(unittest.TestCase):
    @params((False, 0), (True, 1_500))
    def test_the_last_tokens_are_claimed_for_urgent_requests(self, urgent, left):
        """Guards against last tokens that any request may use. A power loss with little
        of a total left loses all claims; a few of the longest prompts then took the
        free tokens, and less than a quarter of the requests were served."""
        budgets = PrepaidBudgets(ME)
        budgets.set_totals({A: TOTAL})
        budgets.fold(PEER, {A: AccountClaim(98_000, 98_000, 98_000)})
        budgets.adopt(None)
        budgets.reserve(A, 1_500, 0.0, urgent)
        _write(budgets, 2, 0.0)
        self.assertEqual(budgets.available_tokens(A, 0.1), left)


class CanClaimTest(unittest.TestCase):
    @params(
        # claimed by another entry, tokens, urgent, whether a row could claim them
        (50_000, 1_000, False, True),
        (98_000, 1_000, False, False),  # the last 1.5 % are for urgent ones
        (98_000, 1_000, True, True),
        (99_000, 1_000, True, False),
    )
    def test_can_claim(self, claimed, tokens, urgent, expected):
        budgets = PrepaidBudgets(ME)
        budgets.set_totals({A: TOTAL})
        budgets.fold(PEER, {A: AccountClaim(claimed, claimed, claimed)})
        self.assertIs(budgets.can_claim(A, tokens, urgent), expected)

    @params((0.0, True), (OLD_S, False))
    def test_has_locked_tokens(self, age_s, expected):
        self.assertIs(_budgets().has_locked_tokens(A, age_s), expected)


class TransferTest(unittest.TestCase):
    def test_a_transfer_moves_tokens_and_never_creates_any(self):
        sender, receiver = _budgets(), PrepaidBudgets(PEER)
        receiver.set_totals({A: TOTAL})
        before = sender.available_tokens(A, 0.1)
        moved = sender.transfer_out(A, 500, 0.1)
        receiver.transfer_in(A, moved)
        self.assertEqual(moved, 500)
        self.assertEqual(sender.available_tokens(A, 0.1), before - 500)
        self.assertEqual(receiver.available_tokens(A, 0.1), 500)
        self.assertIsNone(receiver.reserve(A, 501, 0.1))
        self.assertIsNotNone(receiver.reserve(A, 500, 0.1))

    def test_no_more_is_transferred_than_is_available(self):
        sender = _budgets()
        self.assertLess(sender.transfer_out(A, TOTAL, 0.1), TOTAL)
        self.assertGreaterEqual(sender.available_tokens(A, 0.1), 0)


class ExhaustedTest(unittest.TestCase):
    @params(
        # used by a peer, claimed by it, cost, certainly exhausted
        (99_000, 99_500, 1_001, True),
        (99_000, 99_500, 1_000, False),
        (10_000, 99_500, 5_000, False),  # claimed is not used
    )
    def test_only_known_use_exhausts_a_total(self, used, claimed, cost, expected):
        budgets = PrepaidBudgets(ME)
        budgets.set_totals({A: TOTAL})
        budgets.fold(PEER, {A: AccountClaim(claimed, claimed, used)})
        self.assertIs(budgets.is_exhausted(A, cost), expected)


class AdoptTest(unittest.TestCase):
    @params(
        (0.0, 3_000),
        (UNLOCK_DELAY_S + 1.0, 3_500),
        (OUTAGE_AGE_S, 3_000 + round(500 * (OUTAGE_AGE_S - UNLOCK_DELAY_S))),
        (None, 10_000),
    )
    def test_what_may_have_been_spent_counts_as_spent(self, age_s, expected):
        budgets = PrepaidBudgets(ME)
        budgets.set_totals({A: 10_050})
        budgets.fold(
            ME, {A: AccountClaim(10_000, 3_000, 1_000, unlock_tokens_per_s=500)}
        )
        budgets.adopt(age_s)
        self.assertLessEqual(budgets.available_tokens(A, 0.1), 0)
        budgets.return_unspent()
        self.assertEqual(budgets.make_row(0.1)[A].claimed_tokens, expected)

    def test_what_cannot_have_been_spent_is_freed(self):
        budgets = PrepaidBudgets(ME)
        budgets.set_totals({A: 10_050})
        left = {A: AccountClaim(10_000, 3_000, 1_000, unlock_tokens_per_s=500)}
        budgets.fold(ME, left)
        budgets.adopt(None)
        budgets.free_adopted(left, UNLOCK_DELAY_S + 1.0)
        budgets.return_unspent()
        self.assertEqual(budgets.make_row(0.1)[A].claimed_tokens, 3_500)


class AgeAtStartTest(unittest.TestCase):
    @params(
        # start on the monotonic clock, clock offset at the start, row age
        (12.0, 1_000.0, 2.0),
        (14.5, 1_000.0, 4.5),
        (12.0, 1_002.4, None),  # the wall clock was set, or a new boot
        (2.0, 1_010.0, None),  # a new boot resets the monotonic clock
        (2.0, 1_000.0, None),
    )
    def test_age_by_the_monotonic_clock(self, started_s, offset_s, expected):
        last = _member(ME, made_s=10.0, offset_s=1_000.0)
        self.assertEqual(age_at_start_s(last, started_s, offset_s), expected)


class LostPowerTest(unittest.TestCase):
    """A row was made at wall time 100 s; all lose power and restart at 102 s."""

    others = [_member(e, 2, 103.0, 0.0, 102.0, left_at_s=100.0) for e in "abc"]

    def _age_s(self, lead_s, before_s=0.0, after_s=0.0, age_s=0.0, others=None):
        made_at_s = 100.0 - age_s + before_s
        previous = _member(ME, 1, made_at_s, clock_lead_s=lead_s)
        current = _member(ME, 2, 3.0, 100.0 + after_s, 2.0, left_at_s=made_at_s)
        return age_after_power_loss_s(
            previous, current, self.others if others is None else others
        )

    @params(
        # lead in the row, clock set before / after, row's age, expected age
        (0.2, 0.0, 0.0, 0.0, 2.05),
        (0.2, 0.0, 0.0, 0.7, 2.75),
        (0.8, 0.6, 0.0, 0.0, 1.95),  # a little ahead, which is compensated
        (0.2, 0.0, -0.6, 0.0, 2.05),  # a little behind at the start
        (0.2, 0.0, -2.4, 0.0, None),  # set back while it was down
        (2.6, 2.4, 0.0, 0.0, None),  # ahead when the row was made
        (None, 0.0, 0.0, 0.0, None),  # no clock to compare with
        (0.2, 0.0, -6.0, 6.0, None),  # partitioned before, and set back to hide it
        (-2.2, -2.4, 0.0, 0.0, None),
    )
    def test_age_needs_a_clock_that_agrees_with_the_others(
        self, lead_s, before_s, after_s, age_s, expected
    ):
        found_s = self._age_s(lead_s, before_s, after_s, age_s)
        if expected is None:
            self.assertIsNone(found_s)
        else:
            self.assertAlmostEqual(found_s, expected)

    def test_an_entry_partitioned_before_a_power_loss_knows_its_row_age(self):
        """Guards against comparing the times of last rows to judge a clock; the row
        itself records its clock's lead instead. Four of seven entries are partitioned
        for 8 s, then power is lost, and their last rows are 8 s older than the others'.
        No entry freed its claim, a quarter of every total, and up to a third of the
        requests were refused."""
        self.assertAlmostEqual(self._age_s(0.2, age_s=8.0), 10.05)
        partitioned = [_member(e, 2, 103.0, 0.0, 102.0, left_at_s=92.0) for e in "abc"]
        self.assertAlmostEqual(self._age_s(0.2, others=partitioned), 2.05)

    @params(
        # others that lost power too, others that did not, whether the age is known
        (3, 0, True),
        (2, 0, True),
        (1, 0, False),
        (2, 4, False),
    )
    def test_most_must_be_witnesses(self, together, separate, expected):
        """Guards against looking up the others' rows instead of reading their recorded
        ``left_at_s``. After a power loss of all, the last of seven entries to restart
        read rows that the first had already rewritten, so only two freed their
        claims."""
        others = self.others[:together]
        others += [_member(f"x{i}", 1, 90.0) for i in range(separate)]
        self.assertIs(self._age_s(0.2, others=others) is not None, expected)


class SmallAccountTest(unittest.TestCase):
    """Guards against faster unlocking that starts before the longest restart, or is
    too slow for one long prompt. An entry sees a small account's long prompts 12 s
    apart, each worth 10 s of the account's spend there. In a partition of all entries
    each was refused, and a power loss of 3 s cost the account 4 s of its spend."""

    claim = AccountClaim(
        claimed_tokens=12_000, immediate_tokens=0, unlock_tokens_per_s=800
    )

    def test_a_prompt_of_10_s_of_spend_is_served_within_half_a_partition(self):
        self.assertLess(self.claim.free_in_s(8_000, 0.0), 4.5)

    def test_a_power_loss_of_3_s_costs_less_than_3_s_of_spend(self):
        self.assertLess(self.claim.limit_tokens(3.3), 3.0 * 800)


class SinglePowerLossTest(unittest.TestCase):
    """Guards against a row age known only to entries that lose power together. One of
    nine instances lost power for 3 s, which reset its monotonic clock, and no other
    entry lost power with it. Accounts were exhausted with 4 % of their totals counted
    as spent that were never spent."""

    @params(
        # lead before, lead now, expected age: the row is 3 s old at the start
        (0.2, 0.01, 3.05),
        (0.5, 0.01, 3.25),  # perhaps ahead before, by the excess over 0.3 s
        (0.2, -0.15, 3.2),  # perhaps behind now
        (0.2, -1.2, None),  # set back while it was down
        (0.2, 1.2, None),  # set ahead
        (1.4, 0.01, None),
        (-0.5, 0.01, None),
        (None, 0.01, None),
        (0.2, None, None),  # no clock to compare with
    )
    def test_age_by_the_clocks_of_running_peers(self, before_s, now_s, expected):
        previous = _member(ME, 1, made_s=50.0, offset_s=50.0, clock_lead_s=before_s)
        current = _member(ME, 2, made_s=4.0, offset_s=100.0, started_s=3.0)
        found_s = age_by_peer_clocks_s(previous, current, now_s)
        if expected is None:
            self.assertIsNone(found_s)
        else:
            self.assertAlmostEqual(found_s, expected)

    def test_delayed_rows_of_an_outage_do_not_hide_a_clock_set_back(self):
        """The reason to wait for three rows; no failure was seen. The store is down for
        2 s, and rows made before that land at its return. To an entry that starts then
        with its clock set back by 2 s they look new: a late row makes the reader's
        clock appear ahead by as much as it is behind."""
        view = MembershipView(ME)
        for name in ("a", "b", "c"):
            view.fold(_member(EntryId(name), made_s=98.0, offset_s=0.0), 100.0)
        self.assertIsNone(view.prompt_clock_lead_s(-2.0))
        for at_s in (100.4, 100.7):
            for name in ("a", "b", "c"):
                row = _member(EntryId(name), made_s=at_s - 0.02, offset_s=0.0)
                view.fold(row, at_s)
        self.assertAlmostEqual(view.prompt_clock_lead_s(-2.0), -1.98)


class ClockLeadTest(unittest.TestCase):
    @params(
        # how far this clock is ahead, how late rows are read, expected lead
        (0.0, 0.2, 0.2),
        (2.4, 0.2, 2.6),
        (-2.4, 0.2, -2.2),
        (2.4, 8.0, 10.4),
    )
    def test_late_rows_never_hide_a_clock_that_is_ahead(self, ahead_s, late_s, lead_s):
        view = MembershipView(ME)
        self.assertIsNone(view.clock_lead_s(1_000.0))
        for entry in (PEER, THIRD):
            # Made at wall time 1,100 s, which is 100 s on this monotonic clock.
            view.fold(_member(entry, made_s=500.0, offset_s=600.0), 100.0 + late_s)
        self.assertAlmostEqual(view.clock_lead_s(1_000.0 + ahead_s), lead_s)

    def test_a_clock_set_after_the_rows_were_read_is_detected(self):
        view = MembershipView(ME)
        for entry in (PEER, THIRD):
            view.fold(_member(entry, made_s=100.0), 100.1)
        self.assertAlmostEqual(view.clock_lead_s(0.0), 0.1)
        self.assertAlmostEqual(view.clock_lead_s(30.0), 30.1)

    def test_rows_delayed_by_a_partition_do_not_hide_a_correct_clock(self):
        """Guards against judging a clock by the newest row of each entry alone. The log
        is down for 8 s, so that each entry's row is 8 s old when it lands; most entries
        write the next one seconds later. Entries with callers write rows meanwhile
        which say that their clock is 8 s ahead. After a power loss, the age of such a
        row is unknown and its whole claim counts as spent: in a fleet of 195 a third of
        the paid requests was refused from then to the end of the day."""
        view = MembershipView(ME)
        for made_s, read_s in ((21.0, 21.1), (22.0, 22.1), (23.0, 31.7)):
            for entry in (PEER, THIRD):
                view.fold(_member(entry, made_s=made_s), read_s)
        self.assertAlmostEqual(view.clock_lead_s(0.0), 0.1)


class MembershipViewTest(unittest.TestCase):
    def test_entries_go_silent_only_while_the_log_is_read(self):
        view = MembershipView(ME)
        for second in range(20):
            view.record_read(float(second))
            view.fold(_member(THIRD), float(second))
            if second < 10:
                view.fold(_member(PEER), float(second))
        self.assertEqual([m.entry_id for m in view.live_peers(19.5)], [THIRD])
        # The log is unavailable: the last view stays valid.
        self.assertEqual(len(view.live_peers(40.0)), 2)
        view.record_read(40.0)
        self.assertEqual(len(view.live_peers(40.1)), 2)

    def test_a_leaving_entry_is_not_live(self):
        view = MembershipView(ME)
        view.record_read(0.0)
        view.fold(_member(PEER, state=MemberState.LEAVING), 0.0)
        self.assertEqual(view.live_peers(0.1), [])

    def test_an_entry_that_leaves_may_still_know_what_others_do_not(self):
        """Streams that it began are taken up at other entries."""
        view = MembershipView(ME)
        view.record_read(0.0)
        view.fold(_member(PEER), 0.0)
        view.mark_leaving(PEER, view.member(PEER).started_s)
        self.assertEqual(view.live_peers(0.1), [])
        self.assertEqual([m.entry_id for m in view.recent_peers(0.1)], [PEER])

    @params((6, 0.3), (80, 80 / 60), (300, 5.0))
    def test_the_row_rate_is_bounded_in_large_fleets(self, entries, expected_s):
        self.assertAlmostEqual(heartbeat_interval_s(entries), expected_s)

    @params((6,), (64,), (300,))
    def test_an_entry_may_burst_within_the_fleet_row_limit(self, entries):
        limiter = RowRateLimiter()
        now_s, rows = 100.0, 0
        delays_s = []
        while now_s < 110.0:
            rows += 1
            delays_s.append(limiter.next_delay_s(entries, now_s))
            now_s += delays_s[-1]
        self.assertLess(max(delays_s[: ROW_BURST - 1]), 0.02)
        at_rate = 10.0 * MAX_FLEET_ROWS_PER_S / entries
        self.assertLessEqual(rows, ROW_BURST + math.ceil(at_rate))


WIDE, NARROW = 200.0, 10.0


class WideLinksTest(unittest.TestCase):
    """Guards against announcing all entries to callers whatever their links carry. The
    largest account's callers stayed with one entry of 64, on a link of 5 Mbit/s. 75
    requests per second and the other entries' rows filled it for a whole day, replies
    took seconds and requests were refused because its rows were 10.3 s old, while six
    entries with links of 100 Mbit/s were nearly idle."""

    @params(
        # links, the slowest one that takes callers
        ([], 0.0),
        ([NARROW] * 9, NARROW / NARROW_LINK_FACTOR),
        ([0.0] * 9, 0.0),
        ([WIDE] * 6 + [NARROW] * 58, WIDE / NARROW_LINK_FACTOR),
        # A few entries would have to carry the load of twenty times as many.
        ([WIDE] * 4 + [NARROW] * 200, 0.0),
        # Too few to tolerate the loss of one.
        ([WIDE] * 3 + [NARROW] * 10, 0.0),
        # The links differ too little.
        ([WIDE] * 6 + [WIDE / 4] * 20, WIDE / NARROW_LINK_FACTOR),
    )
    def test_which_entries_take_callers(self, links_mbps, least_mbps):
        self.assertEqual(min_caller_link_mbps(links_mbps), least_mbps)

    @params(
        # an entry's own link, and how many parts the callers, the fleet-wide limits
        # and the accounts are divided into
        (WIDE, 6, 6, 6),
        (NARROW, 7, 64, math.inf),
    )
    def test_entries_with_wide_links_are_advertised_and_share_the_work(
        self, own_mbps, caller_entries, rate_shares, account_shares
    ):
        view = _fleet_view(own_mbps, {})
        split = view.caller_split(0.1)
        self.assertEqual(split.caller_entries, caller_entries)
        self.assertEqual(split.rate_limit_shares, rate_shares)
        self.assertEqual(split.account_shares, account_shares)
        advertised = choose_addresses(view.live_peers(0.1), Zone("z"), random.Random(1))
        self.assertEqual(set(advertised), {str(WIDE)})

    def test_all_entries_are_advertised_without_wide_links(self):
        view = MembershipView(ME, NARROW)
        for i in range(10):
            member = _member(EntryId(f"e{i}"))
            view.fold(attrs.evolve(member, link_mbps=NARROW), 0.0)
        self.assertEqual(view.caller_split(0.1).caller_entries, 11)
        advertised = choose_addresses(view.live_peers(0.1), Zone("z"), random.Random(1))
        self.assertEqual(len(advertised), 10)


def _fleet_view(own_mbps, rates):
    """The view of one of 64 entries, six of them with wide links.

    :param rates: tokens per second that entries spend, by name; ``ME`` among them.
    """
    view = MembershipView(ME, own_mbps)
    links = [WIDE] * 6 + [NARROW] * 58
    links.remove(own_mbps)
    entries = {EntryId(f"e{i}"): mbps for i, mbps in enumerate(links)}
    for entry, mbps in {**entries, ME: own_mbps}.items():
        rate = rates.get(entry, 0)
        member = attrs.evolve(
            _member(entry),
            front_address=str(mbps),
            link_mbps=mbps,
            shares={A: AccountClaim(rate_tokens_per_s=rate)} if rate else {},
        )
        view.fold(member, 0.0)
    return view


class StickyCallersTest(unittest.TestCase):
    """Guards against treating an entry with callers of its own as idle because it is
    not advertised. The callers of a large account stay with one entry, whatever is
    advertised. That entry wrote rows at the rate of one of 64 idle ones, two per second
    instead of six times as many, and counted each of its prompts at an engine as seven.
    A fifth of all requests came through it, and a third of these were late or refused
    for lack of tokens (9,024 needed, 2,300 available), though the account had 0.9 of
    its total left."""

    ANNOUNCED = {EntryId(f"e{i}"): 10_000 for i in range(6)}

    @params(
        # what the entry spends, its link, and the expected split
        (20_000, NARROW, 7, 7),
        # An occasional request does not count as callers of its own.
        (900, NARROW, 64, 7),
    )
    def test_an_unadvertised_entry_with_callers_of_its_own_counts_as_taking(
        self, rate, own_mbps, rate_shares, caller_entries
    ):
        split = _fleet_view(own_mbps, {**self.ANNOUNCED, ME: rate}).caller_split(0.1)
        self.assertEqual(split.rate_limit_shares, rate_shares)
        self.assertEqual(split.caller_entries, caller_entries)

    @params((20_000, 7), (900, 6))
    def test_the_other_entries_count_its_part(self, rate, caller_entries):
        rates = {EntryId("e0"): 10_000, EntryId("e20"): rate, ME: 10_000}
        rates |= {EntryId(f"e{i}"): 10_000 for i in range(1, 5)}
        split = _fleet_view(WIDE, rates).caller_split(0.1)
        self.assertEqual(split.rate_limit_shares, caller_entries)

    @params(
        # what this entry spends, and the fleet's work as a multiple of its own
        (0, 7.0),
        (2_000, 7.0),
        (30_000, 3.0),
        (60_000, 2.0),
    )
    def test_fleet_load_ratio_follows_its_part_of_the_spend(self, rate, times):
        split = _fleet_view(NARROW, {**self.ANNOUNCED, ME: rate}).caller_split(0.1)
        self.assertAlmostEqual(split.fleet_load_ratio, times)

    def test_only_entries_with_callers_receive_messages_about_prompts(self):
        """Guards against sending messages about prompts to the first hundred entries of
        195 in the order of their start: most entries that place prompts got none."""
        rates = {**self.ANNOUNCED, EntryId("e50"): 20_000}
        split = _fleet_view(NARROW, rates).caller_split(0.1)
        notified = {member.entry_id for member in split.caller_peers}
        self.assertEqual(notified, set(rates))


class UnspentImmediateTest(unittest.TestCase):
    """Guards against immediate tokens that depend on the recent spend alone and not on
    what is left. The account's callers stay with one entry and send in bursts that use
    more than 0.3 s of spend, and no new row arrives. Requests were refused with 0.93 of
    the total of 2,616,792 left, as long as the store lost replies and in the first
    second of each partition: one for 5,582 tokens with 605 available, under a row that
    was 1.75 s old."""

    @params(
        # used part of the total, lower and upper bound of the immediate tokens
        (0.1, 0.04, 0.06),
        (0.5, 0.02, 0.03),
        # With little left, a power loss must cost little.
        (0.95, 0.0, 0.005),
    )
    def test_immediate_tokens_are_a_share_of_the_unspent(self, used, least, most):
        share = Share()
        share.spend(10_000, 10.0)
        usage = AccountUsage(
            usable_tokens=1_000_000,
            used_tokens=int(used * 1_000_000),
            lost_tokens=0,
            others_tokens_per_s=0.0,
            entries=20,
        )
        immediate = share_target(share, usage, 10.0).immediate_tokens
        self.assertGreaterEqual(immediate, least * 1_000_000)
        self.assertLessEqual(immediate, most * 1_000_000)

    def test_immediate_tokens_of_all_entries_are_a_share_of_the_unspent(self):
        """A power loss of the whole fleet costs no more with many entries."""
        immediate = []
        for rate in (100, 1_000, 4_000):
            share = Share()
            share.spend(rate, 10.0)
            rate_now = share.rate_tokens_per_s(10.0)
            usage = AccountUsage(1_000_000, 400_000, 0, 5_100.0 - rate_now, 3)
            immediate.append(share_target(share, usage, 10.0).immediate_tokens)
        self.assertLess(sum(immediate), 0.06 * 600_000)


class FoldedRowsTest(unittest.TestCase):
    def test_sums_equal_those_of_the_newest_rows(self):
        """Sums that drift from the rows would let entries claim tokens twice."""
        rng = random.Random(1)
        folded, newest = FoldedRows(ME), {}
        entries = [ME, PEER, THIRD]
        for _ in range(500):
            entry = rng.choice(entries)
            accounts = rng.sample([A, AccountId("b"), AccountId("c")], rng.randrange(4))
            row = {
                a: AccountClaim(*(rng.randrange(3) for _ in range(7))) for a in accounts
            }
            folded.fold(entry, row)
            newest[entry] = row
            rows = [r[A] for e, r in newest.items() if A in r and e != ME]
            expected = RowSums(
                sum(r.used_tokens for r in rows),
                sum(r.lost_tokens for r in rows),
                sum(r.rate_tokens_per_s for r in rows),
                sum(r.wanted_tokens > 0 for r in rows),
            )
            self.assertEqual(folded.others(A), expected)
            claimed = [r[A].claimed_tokens for r in newest.values() if A in r]
            self.assertEqual(folded.claimed_tokens(A), sum(claimed))
