"""How old an entry's last row was when its process began anew, without I/O.

What an earlier start may have spent depends on it. A steady clock lasts as long
as its instance is up; a time of day may be set.
"""

import statistics

from celerytrack.members import MIN_CLOCK_PEERS, Member
from celerytrack.row_pace import BEAT_S

CLOCK_SLACK_S = 0.2
"""Two readings of the clock offset on one instance may differ by this."""


def age_at_start_s(
    last: Member, started_s: float, clock_offset_s: float
) -> float | None:
    """How old ``last`` was when this start began, or ``None`` if the steady
    clock cannot tell: the instance itself started anew meanwhile.

    :param last: the last row of the earlier start, of the same instance.
    :param started_s: when this start began, on the steady clock.
    :param clock_offset_s: this start's time of day less its steady clock.
    """
    same_boot = abs(clock_offset_s - last.clock_offset_s) < CLOCK_SLACK_S
    age_s = started_s - last.made_s
    return age_s if same_boot and age_s >= 0 else None


AGREE_S = 1.0
"""Clocks that agree with most others within this were not set: a clock that is
set jumps by seconds, and a row is read within some tenths of a second."""
CLOCK_ERROR_S = 0.05
"""What two readings of a clock that was not set may be off over a few seconds."""


def age_at_power_s(left: Member, mine: Member, others: list[Member]) -> float | None:
    """How old this entry's last row was when it started again, if it and most
    others lost power together; else ``None``.

    A loss of power starts the steady clock anew, and a time of day alone may
    have been set meanwhile. So it must have agreed with most others' before,
    as the row says, and agree after, by when they all started: fewer than half
    of all clocks are set at one time.

    :param left: the last row of the earlier start.
    :param mine: this entry's row now.
    :param others: the rows of the other entries.
    """
    lead_s = left.clock_lead_s
    if lead_s is None or abs(lead_s) >= AGREE_S:
        return None
    witnesses = [
        row
        for row in others
        if row.left_at_s is not None
        and abs(row.started_at_s - mine.started_at_s) < AGREE_S
    ]
    if len(witnesses) < max(MIN_CLOCK_PEERS, len(others) // 2):
        return None
    started_at_s = statistics.median(row.started_at_s for row in witnesses)
    return _age_s(left, mine, lead_s, started_at_s - mine.started_at_s)


BEHIND_MOST_S = 0.2
"""Clocks that were not set are apart by less than this. Reading a row late makes
the reader's clock look ahead, never behind."""


def age_beside_others_s(
    left: Member, mine: Member, lead_s: float | None
) -> float | None:
    """How old this entry's last row was when it started again, if its time of
    day was not set meanwhile; else ``None``.

    Load pattern answered: single instances lose power for seconds while the others
    serve on. Without this all that the entry claimed counts as spent.

    :param left: the last row of the earlier start.
    :param mine: this entry's row now.
    :param lead_s: how far its time of day is ahead of most others' now, by rows
        that were read promptly; ``None`` if too few were.
    """
    before_s = left.clock_lead_s
    if before_s is None or lead_s is None:
        return None
    # A clock that is set moves by more than a second, so one that agrees both
    # before and after was either never set or is set back to what it was.
    if not (-BEHIND_MOST_S <= before_s < AGREE_S):
        return None
    if not (-BEHIND_MOST_S <= lead_s < AGREE_S):
        return None
    return _age_s(left, mine, before_s, -lead_s)


def _age_s(left: Member, mine: Member, lead_s: float, behind_s: float) -> float | None:
    """The age of ``left`` at this start by a time of day that was not set, at its
    most; ``None`` if that says that it was made later.

    What the clock may have been ahead by before, beyond the age of rows when they
    are read, and behind by after: either makes the row look too new.

    :param lead_s: how far it was ahead before.
    :param behind_s: how far it is behind now.
    """
    passed_s = mine.started_at_s - left.made_at_s
    if passed_s < 0:
        return None
    ahead_s = max(0.0, lead_s - BEAT_S)
    return passed_s + ahead_s + max(0.0, behind_s) + CLOCK_ERROR_S
