"""Randomised model-based runs of prepaid shares over a modelled keyed topic.

Entries share one topic with one row each. Each step is a top-up, a request
reserved or finished, a row made, landed late or acknowledged, a fold (of the tail,
or of the newest rows after the history was lost), a partition or heal, a transfer
that arrives or is lost, time passing, a kill or a power loss. After every step,
what requests used or may still use must fit the total.

A scripted run must catch two naive variants, which tests the checker: an entry that
ignores the claim of its earlier incarnation, and one that spends its claim in a
partition while its next incarnation assumes that the row it left was new.
"""

import unittest

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from nose2.tools import params

from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.membership.members import Member, MemberState
from celerytrack.membership.row_age import age_at_start_s
from celerytrack.prepaid import AccountClaim, PrepaidBudgets, Reservation

LONG_S = 5.0
"""A partition in which an entry spends more than its next incarnation counts if that
assumes the row to be as new as possible."""
ACCOUNT = AccountId("a")
ENTRIES = [EntryId(f"e{i}") for i in range(3)]
TOTAL = 10_000
indexes = st.integers(0, len(ENTRIES) - 1)


class _Machine:
    """One instance: its monotonic clock and its present process."""

    def __init__(self, entry: EntryId) -> None:
        self.entry = entry
        self.clock_skew_s = 0.0
        self.partitioned = False
        self.boot(0.0)

    def boot(self, now_s: float) -> None:
        self.started_s = now_s + self.clock_skew_s
        self.budgets = PrepaidBudgets(self.entry)
        self.folded = 0
        self.pending: Member | None = None
        self.landed_at: int | None = None
        self.reservations: list[Reservation] = []

    def clock_s(self, now_s: float) -> float:
        return now_s + self.clock_skew_s


class PrepaidMachine(RuleBasedStateMachine):
    """Entries, their topic, partitions, kills and time."""

    assumes_new = False
    ignores_claim = False

    @initialize()
    def start(self) -> None:
        self.now_s = 0.0
        self.total = TOTAL
        self.log: list[Member] = []
        self.used = 0
        self.machines = [_Machine(e) for e in ENTRIES]
        for machine in self.machines:
            self._adopt_row(machine)

    # -- the steps ----------------------------------------------------------

    @rule(more=st.integers(1, 3_000))
    def topup(self, more: int) -> None:
        if self.total < 3 * TOTAL:
            self.total += more

    @rule(dt_s=st.sampled_from([0.1, 1.0, LONG_S, 2 * LONG_S]))
    def tick(self, dt_s: float) -> None:
        self.now_s += dt_s

    @rule(i=indexes, tokens=st.integers(1, 2_500))
    def reserve(self, i: int, tokens: int) -> None:
        m = self.machines[i]
        reservation = m.budgets.reserve(ACCOUNT, tokens, m.clock_s(self.now_s))
        if reservation is not None:
            m.reservations.append(reservation)

    @rule(i=indexes, part=st.floats(0, 1))
    def finish(self, i: int, part: float) -> None:
        m = self.machines[i]
        if m.reservations:
            reservation = m.reservations.pop(0)
            used = int(reservation.tokens * part)
            m.budgets.commit(reservation, used, m.clock_s(self.now_s))
            self.used += used

    @rule(i=indexes, tokens=st.integers(500, 2_500))
    def spend(self, i: int, tokens: int) -> None:
        self.reserve(i, tokens)
        self.finish(i, 1.0)

    @rule(i=indexes)
    def write(self, i: int) -> None:
        self.make_row(i)
        self.land(i)
        self.acknowledge(i)

    @rule(i=indexes)
    def make_row(self, i: int) -> None:
        m = self.machines[i]
        if m.pending is not None:
            return
        now_s = m.clock_s(self.now_s)
        m.budgets.plan(len(ENTRIES), now_s)
        row = m.budgets.make_row(now_s)
        m.pending = Member(
            m.entry,
            1,
            "",
            "",
            Zone("z"),
            MemberState.SERVING,
            made_s=now_s,
            clock_offset_s=self.now_s - now_s,
            shares=row,
        )

    @rule(i=indexes)
    def land(self, i: int) -> None:
        m = self.machines[i]
        if m.pending is not None and m.landed_at is None:
            m.landed_at = len(self.log)
            self.log.append(m.pending)

    @rule(i=indexes)
    def acknowledge(self, i: int) -> None:
        m = self.machines[i]
        if m.landed_at is not None and not m.partitioned:
            self._fold(m)
            m.budgets.confirm_row()
            m.pending = m.landed_at = None

    @rule(i=indexes)
    def fold(self, i: int) -> None:
        if not self.machines[i].partitioned:
            self._fold(self.machines[i])

    @rule(i=indexes)
    def reload_newest(self, i: int) -> None:
        m = self.machines[i]
        if not m.partitioned:
            newest = {row.entry_id: row for row in self.log}
            for row in newest.values():
                m.budgets.fold(row.entry_id, row.shares)
            m.budgets.retain_entries(set(newest))
            m.folded = len(self.log)

    @rule(i=indexes)
    def partition_or_heal(self, i: int) -> None:
        self.machines[i].partitioned = not self.machines[i].partitioned

    @rule(i=indexes, j=indexes, tokens=st.integers(1, 2_000), lost=st.booleans())
    def transfer(self, i: int, j: int, tokens: int, lost: bool) -> None:
        sender, receiver = self.machines[i], self.machines[j]
        if i == j:
            return
        moved = sender.budgets.transfer_out(ACCOUNT, tokens, sender.clock_s(self.now_s))
        if not lost:
            receiver.budgets.transfer_in(ACCOUNT, moved)

    @rule(i=indexes, power=st.booleans(), down_s=st.sampled_from([0.5, 1.5, 6.0]))
    def kill(self, i: int, power: bool, down_s: float) -> None:
        m = self.machines[i]
        self.used += sum(r.tokens for r in m.reservations)
        self.now_s += down_s
        if power:
            m.clock_skew_s += 1_000.0
        m.boot(self.now_s)
        m.partitioned = False
        self._adopt_row(m)

    @invariant()
    def totals_hold(self) -> None:
        reserved = sum(r.tokens for m in self.machines for r in m.reservations)
        assert self.used + reserved <= self.total, (self.used, reserved, self.total)

    # -- helpers -------------------------------------------------------------

    def _fold(self, m: _Machine) -> None:
        m.budgets.set_totals({ACCOUNT: self.total})
        for row in self.log[m.folded :]:
            m.budgets.fold(row.entry_id, row.shares)
        m.folded = len(self.log)

    def _adopt_row(self, m: _Machine) -> None:
        self._fold(m)
        last = next((r for r in reversed(self.log) if r.entry_id == m.entry), None)
        now_s = m.clock_s(self.now_s)
        age_s = None
        if last is not None:
            age_s = age_at_start_s(last, m.started_s, self.now_s - now_s)
        if self.assumes_new:
            age_s = 0.0
        if self.ignores_claim:
            m.budgets.fold(m.entry, {ACCOUNT: AccountClaim()})
        m.budgets.adopt(age_s)


class IgnoringMachine(PrepaidMachine):
    """Naive: the next incarnation ignores the claim of the previous one."""

    ignores_claim = True


class TrustingMachine(PrepaidMachine):
    """Naive: the next incarnation assumes that the row it finds was new."""

    assumes_new = True


def _scripted(machine: PrepaidMachine) -> None:
    """Spend at all entries, let one spend all in a partition, and kill that one."""
    machine.start()
    for _ in range(40):
        for i in range(len(ENTRIES)):
            machine.write(i)
            # The first request asks for the tokens that the next row unlocks.
            machine.spend(i, 300)
            machine.write(i)
            machine.spend(i, 300)
        machine.tick(LONG_S)
        for _ in range(20):
            machine.spend(0, 200)
        machine.kill(0, power=True, down_s=0.5)
        machine.totals_hold()


class PrepaidModelTest(unittest.TestCase):
    def test_no_total_is_ever_overspent(self):
        run_state_machine_as_test(
            PrepaidMachine,
            settings=settings(
                max_examples=150,
                stateful_step_count=50,
                deadline=None,
                derandomize=True,
                suppress_health_check=list(HealthCheck),
            ),
        )

    def test_scripted_losses_do_not_overspend_the_total(self):
        _scripted(PrepaidMachine())

    @params(IgnoringMachine, TrustingMachine)
    def test_the_checker_catches_naive_starts(self, naive):
        with self.assertRaises(AssertionError):
            _scripted(naive())
