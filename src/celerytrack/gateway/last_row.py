"""The last row of this entry's previous incarnation, and its age."""

import logging
import time

from celerytrack.eras import Era
from celerytrack.events import Event, log_event
from celerytrack.membership.members import Member, MembershipView
from celerytrack.membership.row_age import (
    age_after_power_loss_s,
    age_at_start_s,
    age_by_peer_clocks_s,
)
from celerytrack.prepaid import PrepaidBudgets

_log = logging.getLogger(__name__)

RESOLVE_AGE_TIMEOUT_S = 8.0
"""How long after startup an entry looks for others that lost power together with it:
they start within a second of each other and write a row a second later."""


class PreviousRow:
    """Estimates how old the last row of the previous incarnation was when that
    incarnation had certainly ended.

    The part of its claim that cannot have been spent at that age is freed.

    :param started_s: start of this process on the monotonic clock.
    :ivar left_at_s: when that row was made, by the wall clock of its incarnation.
    """

    def __init__(self, started_s: float) -> None:
        self.left_at_s: float | None = None
        self._started_s = started_s
        self._undated_row: Member | None = None

    def estimate_age_s(self, last: Member | None, era: Era | None) -> float | None:
        """Age of ``last``; ``None`` if there is no row or its age is unknown.

        :param era: current era of the log. If the row is of an older era, a restore
            may have lost rows that followed it.
        """
        if last is None:
            return None
        self.left_at_s = last.made_at_s
        if None not in (last.era, era) and last.era != era:
            return None
        age_s = age_at_start_s(last, self._started_s, clock_offset_s())
        self._undated_row = last if age_s is None else None
        return age_s

    def resolve_age(
        self, own_row: Member, members: MembershipView, budgets: PrepaidBudgets
    ) -> None:
        """Determine an age that is still unknown and free what the adopted claim
        cannot have spent.

        The age follows from entries that lost power as well, or else from those that
        did not.

        :param own_row: newest row of this incarnation.
        """
        previous = self._undated_row
        if previous is None:
            return
        rows = members.members()
        others = [row for entry, row in rows.items() if entry != members.entry_id]
        age_s = age_after_power_loss_s(previous, own_row, others)
        if age_s is None:
            lead_s = members.prompt_clock_lead_s(clock_offset_s())
            age_s = age_by_peer_clocks_s(previous, own_row, lead_s)
        if age_s is not None:
            budgets.free_adopted(previous.shares, age_s)
            log_event(
                _log,
                Event.SHARES_FREED,
                age_s=age_s,
                others=len(others),
                lost=budgets.lost_tokens(),
            )
        elif time.monotonic() - self._started_s < RESOLVE_AGE_TIMEOUT_S:
            return
        self._undated_row = None


def clock_offset_s() -> float:
    """Wall clock minus monotonic clock of this instance."""
    return time.time() - time.monotonic()
