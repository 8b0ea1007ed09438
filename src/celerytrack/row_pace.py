"""How often entries write their rows, without I/O."""

BEAT_S = 0.3
"""Longest time between two rows of a small fleet. What was spent since the last
row is lost with power."""
BEATS_PER_S = 60.0
"""Rows that all entries together write a second, at most: a tenth of the 600
writes a second that the smallest store takes."""
URGENT_GAP_S = 0.01
"""Shortest time between two rows of an entry: requests that lack tokens at the
same moment share one. A longer pause sends long prompts to ask the others."""
URGENT_ROWS_PER_S = 400.0
"""Rows of all entries together at most, when all have requests that wait: two thirds of
what the smallest store takes, and no more than a narrow link carries."""
URGENT_BURST = 4
"""Rows that an entry may write one behind the other: with a pause after each a request
that lacks tokens would often meet it."""


def beat_interval_s(entries: int) -> float:
    """Time between two rows of one entry in a fleet of ``entries``."""
    return max(BEAT_S, entries / BEATS_PER_S)


class RowPace:
    """How soon an entry may write its next row.

    On average entries write :data:`URGENT_ROWS_PER_S` together at most; one that has
    written less of late may write :data:`URGENT_BURST` rows without that pause.
    """

    def __init__(self) -> None:
        self._paid_until_s = float("-inf")

    def pause_s(self, entries: int, now_s: float) -> float:
        """How long an entry that wrote a row at ``now_s`` waits before the next."""
        each_s = entries / URGENT_ROWS_PER_S
        self._paid_until_s = max(self._paid_until_s, now_s - URGENT_BURST * each_s)
        self._paid_until_s += each_s
        return max(URGENT_GAP_S, self._paid_until_s - now_s)
