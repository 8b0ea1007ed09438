"""The age of an entry's last row when its process restarted, without I/O.

The age bounds what the earlier incarnation may have spent. A monotonic clock
resets when its instance restarts; a wall clock may be set.
"""

import statistics

from celerytrack.membership.members import MIN_CLOCK_PEERS, Member
from celerytrack.membership.row_rate import MIN_HEARTBEAT_INTERVAL_S

CLOCK_SLACK_S = 0.2
"""Largest difference of two readings of the clock offset on one instance."""


def age_at_start_s(
    last: Member, started_s: float, clock_offset_s: float
) -> float | None:
    """The age of ``last`` when this incarnation started; ``None`` if the monotonic
    clock cannot tell, because the instance itself restarted meanwhile.

    :param last: the last row of the earlier incarnation on the same instance.
    :param started_s: when this incarnation started, on the monotonic clock.
    :param clock_offset_s: this incarnation's wall clock minus its monotonic clock.
    """
    same_boot = abs(clock_offset_s - last.clock_offset_s) < CLOCK_SLACK_S
    age_s = started_s - last.made_s
    return age_s if same_boot and age_s >= 0 else None


CLOCK_AGREEMENT_S = 1.0
"""A clock that agrees with most others within this was not set: a clock that is set
jumps by seconds, and a row is read within some tenths of a second."""
CLOCK_ERROR_S = 0.05
"""Largest error of two readings, some seconds apart, of a clock that was not set."""


def age_after_power_loss_s(
    previous: Member, current: Member, others: list[Member]
) -> float | None:
    """The age of this entry's last row at its restart, if it and most others lost power
    together; else ``None``.

    A power loss resets the monotonic clock, and the wall clock alone may have been set
    meanwhile. So the wall clock must have agreed with most others before, by the lead
    recorded in the row, and must agree now, by the common start times. This holds as
    long as fewer than half of all clocks are set at one time.

    :param previous: the last row of the earlier incarnation.
    :param current: this entry's present row.
    :param others: the rows of the other entries.
    """
    lead_s = previous.clock_lead_s
    if lead_s is None or abs(lead_s) >= CLOCK_AGREEMENT_S:
        return None
    restarted_peers = [
        row
        for row in others
        if row.left_at_s is not None
        and abs(row.started_at_s - current.started_at_s) < CLOCK_AGREEMENT_S
    ]
    if len(restarted_peers) < max(MIN_CLOCK_PEERS, len(others) // 2):
        return None
    started_at_s = statistics.median(row.started_at_s for row in restarted_peers)
    return _age_s(previous, current, lead_s, started_at_s - current.started_at_s)


MAX_CLOCK_LAG_S = 0.2
"""Clocks that were not set differ by less than this. Reading a row late makes the
reader's clock appear ahead, never behind."""


def age_by_peer_clocks_s(
    previous: Member, current: Member, lead_s: float | None
) -> float | None:
    """The age of this entry's last row at its restart, if its wall clock was not set
    meanwhile; else ``None``.

    Covers single instances that lose power for seconds while the others keep serving.
    Without it, the whole claim of the entry would count as spent.

    :param previous: the last row of the earlier incarnation.
    :param current: this entry's present row.
    :param lead_s: how far its wall clock is ahead of most others' now, by rows that
        were read promptly; ``None`` if there were too few.
    """
    before_s = previous.clock_lead_s
    if before_s is None or lead_s is None:
        return None
    # Setting a clock moves it by more than a second, so one that agrees before and
    # after was either never set or was set back to its former time.
    if not (-MAX_CLOCK_LAG_S <= before_s < CLOCK_AGREEMENT_S):
        return None
    if not (-MAX_CLOCK_LAG_S <= lead_s < CLOCK_AGREEMENT_S):
        return None
    return _age_s(previous, current, before_s, -lead_s)


def _age_s(
    previous: Member, current: Member, lead_s: float, behind_s: float
) -> float | None:
    """Upper bound of the age of ``previous`` at the start of this incarnation, by a
    wall clock that was not set; ``None`` if ``previous`` appears to be made later.

    Adds what makes the row look too new: how far the clock may have been ahead before,
    beyond the age of rows when they are read, and how far it may be behind now.

    :param lead_s: how far the clock was ahead before.
    :param behind_s: how far the clock is behind now.
    """
    passed_s = current.started_at_s - previous.made_at_s
    if passed_s < 0:
        return None
    ahead_s = max(0.0, lead_s - MIN_HEARTBEAT_INTERVAL_S)
    return passed_s + ahead_s + max(0.0, behind_s) + CLOCK_ERROR_S
