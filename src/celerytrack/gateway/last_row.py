"""The row that this entry's earlier start left, and what of it counts as spent."""

import logging
import time

from celerytrack.clocks import (
    age_at_power_s,
    age_at_start_s,
    age_beside_others_s,
)
from celerytrack.eras import Era
from celerytrack.events import Event, log_event
from celerytrack.members import Member, MembershipView
from celerytrack.prepaid import PrepaidBook

_log = logging.getLogger(__name__)

RECONSIDER_S = 8.0
"""How long after its start an entry looks for others that lost power with it:
they start within a second of each other, and write a row a second later."""


class LastRow:
    """Tells how old the last row of the earlier start was when that start had ended.

    :param started_s: when this start began, on the steady clock.
    :ivar left_at_s: when that row was made, by that start's time of day.
    """

    def __init__(self, started_s: float) -> None:
        self.left_at_s: float | None = None
        self._started_s = started_s
        self._doubtful: Member | None = None

    def age_s(self, last: Member | None, era: Era | None) -> float | None:
        """How old ``last`` was; ``None`` if there is none or nobody can tell.

        :param era: the era of the log now. Rows that came after one of an older era
            may be lost with the copy that the log came back from.
        """
        if last is None:
            return None
        self.left_at_s = last.made_at_s
        if None not in (last.era, era) and last.era != era:
            return None
        age_s = age_at_start_s(last, self._started_s, clock_offset_s())
        self._doubtful = last if age_s is None else None
        return age_s

    def reconsider(
        self, mine: Member, members: MembershipView, book: PrepaidBook
    ) -> None:
        """See how old the last row was, by those that lost power too or by those
        that did not, so that the rest of the claim adopted as spent is free.

        :param mine: this start's newest row.
        """
        left = self._doubtful
        if left is None:
            return
        rows = members.members()
        others = [row for entry, row in rows.items() if entry != members.me]
        age_s = age_at_power_s(left, mine, others)
        if age_s is None:
            lead_s = members.prompt_clock_lead_s(clock_offset_s())
            age_s = age_beside_others_s(left, mine, lead_s)
        if age_s is not None:
            book.free_beyond(left.shares, age_s)
            log_event(
                _log,
                Event.SHARES_FREED,
                age_s=age_s,
                others=len(others),
                lost=book.lost(),
            )
        elif time.monotonic() - self._started_s < RECONSIDER_S:
            return
        self._doubtful = None


def clock_offset_s() -> float:
    """This instance's time of day less its steady clock."""
    return time.time() - time.monotonic()
