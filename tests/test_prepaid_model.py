"""Randomised model-based runs of prepaid shares over a modelled keyed topic.

Entries share one topic with a row each. Each step is a top-up, a request
reserved or ended, a row made, landed late or acknowledged, a fold (of the tail,
or of the newest rows after the history was lost), a cut or heal, a gift that
arrives or is lost, time passing, a kill or a loss of power. After every step,
what requests used or may still use must fit each total.

Two naive variants must be caught by a scripted run, which tests the checker:
an entry that forgets the claim of its earlier start, and one that spends its
claim in a cut while its next start believes that the row it left was new.
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

from celerytrack.clocks import age_at_start_s
from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.members import Member, MemberState
from celerytrack.prepaid import PrepaidBook, Reservation, Row

LONG_S = 5.0
"""A cut in which an entry spends more than its next start counts if that
believes the row to be as new as it can be."""
ACCOUNT = AccountId("a")
ENTRIES = [EntryId(f"e{i}") for i in range(3)]
TOTAL = 10_000
which = st.integers(0, len(ENTRIES) - 1)


class _Machine:
    """One instance: its steady clock, and the process that runs on it now."""

    def __init__(self, entry: EntryId) -> None:
        self.entry = entry
        self.clock_skew_s = 0.0
        self.cut = False
        self.boot(0.0)

    def boot(self, now_s: float) -> None:
        self.started_s = now_s + self.clock_skew_s
        self.book = PrepaidBook(self.entry)
        self.folded = 0
        self.pending: Member | None = None
        self.landed_at: int | None = None
        self.held: list[Reservation] = []

    def clock_s(self, now_s: float) -> float:
        return now_s + self.clock_skew_s


class PrepaidMachine(RuleBasedStateMachine):
    """Entries, their topic, cuts, kills and time."""

    believes_new = False
    forgets = False

    @initialize()
    def start(self) -> None:
        self.now_s = 0.0
        self.total = TOTAL
        self.log: list[Member] = []
        self.used = 0
        self.machines = [_Machine(e) for e in ENTRIES]
        for machine in self.machines:
            self._take_over(machine)

    # -- the steps ----------------------------------------------------------

    @rule(more=st.integers(1, 3_000))
    def topup(self, more: int) -> None:
        if self.total < 3 * TOTAL:
            self.total += more

    @rule(dt_s=st.sampled_from([0.1, 1.0, LONG_S, 2 * LONG_S]))
    def tick(self, dt_s: float) -> None:
        self.now_s += dt_s

    @rule(i=which, tokens=st.integers(1, 2_500))
    def reserve(self, i: int, tokens: int) -> None:
        m = self.machines[i]
        held = m.book.reserve(ACCOUNT, tokens, m.clock_s(self.now_s))
        if held is not None:
            m.held.append(held)

    @rule(i=which, part=st.floats(0, 1))
    def end(self, i: int, part: float) -> None:
        m = self.machines[i]
        if m.held:
            held = m.held.pop(0)
            used = int(held.tokens * part)
            m.book.commit(held, used, m.clock_s(self.now_s))
            self.used += used

    @rule(i=which, tokens=st.integers(500, 2_500))
    def spend(self, i: int, tokens: int) -> None:
        self.reserve(i, tokens)
        self.end(i, 1.0)

    @rule(i=which)
    def write(self, i: int) -> None:
        self.make_row(i)
        self.land(i)
        self.acknowledge(i)

    @rule(i=which)
    def make_row(self, i: int) -> None:
        m = self.machines[i]
        if m.pending is not None:
            return
        now_s = m.clock_s(self.now_s)
        m.book.plan(len(ENTRIES), now_s)
        row = m.book.next_row(now_s)
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

    @rule(i=which)
    def land(self, i: int) -> None:
        m = self.machines[i]
        if m.pending is not None and m.landed_at is None:
            m.landed_at = len(self.log)
            self.log.append(m.pending)

    @rule(i=which)
    def acknowledge(self, i: int) -> None:
        m = self.machines[i]
        if m.landed_at is not None and not m.cut:
            self._fold(m)
            m.book.row_folded()
            m.pending = m.landed_at = None

    @rule(i=which)
    def fold(self, i: int) -> None:
        if not self.machines[i].cut:
            self._fold(self.machines[i])

    @rule(i=which)
    def reload_newest(self, i: int) -> None:
        m = self.machines[i]
        if not m.cut:
            newest = {row.entry_id: row for row in self.log}
            for row in newest.values():
                m.book.fold(row.entry_id, row.shares)
            m.book.keep_only(set(newest))
            m.folded = len(self.log)

    @rule(i=which)
    def cut_or_heal(self, i: int) -> None:
        self.machines[i].cut = not self.machines[i].cut

    @rule(i=which, j=which, tokens=st.integers(1, 2_000), lost=st.booleans())
    def gift(self, i: int, j: int, tokens: int, lost: bool) -> None:
        giver, taker = self.machines[i], self.machines[j]
        if i == j:
            return
        given = giver.book.give(ACCOUNT, tokens, giver.clock_s(self.now_s))
        if not lost:
            taker.book.receive(ACCOUNT, given)

    @rule(i=which, power=st.booleans(), down_s=st.sampled_from([0.5, 1.5, 6.0]))
    def kill(self, i: int, power: bool, down_s: float) -> None:
        m = self.machines[i]
        self.used += sum(h.tokens for h in m.held)
        self.now_s += down_s
        if power:
            m.clock_skew_s += 1_000.0
        m.boot(self.now_s)
        m.cut = False
        self._take_over(m)

    @invariant()
    def totals_hold(self) -> None:
        held = sum(h.tokens for m in self.machines for h in m.held)
        assert self.used + held <= self.total, (self.used, held, self.total)

    # -- helpers -------------------------------------------------------------

    def _fold(self, m: _Machine) -> None:
        m.book.set_totals({ACCOUNT: self.total})
        for row in self.log[m.folded :]:
            m.book.fold(row.entry_id, row.shares)
        m.folded = len(self.log)

    def _take_over(self, m: _Machine) -> None:
        self._fold(m)
        last = next((r for r in reversed(self.log) if r.entry_id == m.entry), None)
        now_s = m.clock_s(self.now_s)
        age_s = None
        if last is not None:
            age_s = age_at_start_s(last, m.started_s, self.now_s - now_s)
        if self.believes_new:
            age_s = 0.0
        if self.forgets:
            m.book.fold(m.entry, {ACCOUNT: Row()})
        m.book.adopt(age_s)


class ForgettingMachine(PrepaidMachine):
    """Naive: a new start ignores what the one before claimed."""

    forgets = True


class TrustingMachine(PrepaidMachine):
    """Naive: a new start always believes that the row it finds was new."""

    believes_new = True


def _scripted(machine: PrepaidMachine) -> None:
    """Fill every hand, let one entry spend all in a cut, kill it twice."""
    machine.start()
    for _ in range(40):
        for i in range(len(ENTRIES)):
            machine.write(i)
            # The first asks for the tokens that the next row brings.
            machine.spend(i, 300)
            machine.write(i)
            machine.spend(i, 300)
        machine.tick(LONG_S)
        for _ in range(20):
            machine.spend(0, 200)
        machine.kill(0, power=True, down_s=0.5)
        machine.totals_hold()


class PrepaidModelTest(unittest.TestCase):
    def test_no_total_is_ever_overrun(self):
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

    def test_a_scripted_run_of_losses_holds_the_total(self):
        _scripted(PrepaidMachine())

    @params(ForgettingMachine, TrustingMachine)
    def test_the_checker_catches_naive_starts(self, naive):
        with self.assertRaises(AssertionError):
            _scripted(naive())
