"""How often entries write their rows, without I/O."""

MIN_HEARTBEAT_INTERVAL_S = 0.3
"""Heartbeat interval in a small fleet; larger fleets have a longer one. A power loss
loses the record of what was spent since the last row."""
MAX_FLEET_HEARTBEATS_PER_S = 60.0
"""Most rows per second of all entries together: a tenth of the 600 writes per second
that the smallest store takes."""
MIN_ROW_INTERVAL_S = 0.01
"""Shortest time between two rows of an entry, so that concurrent requests that lack
tokens share one row. With a longer interval, long prompts would have to ask other
entries for tokens."""
MAX_FLEET_ROWS_PER_S = 400.0
"""Most rows per second of all entries together when all have waiting requests: two
thirds of what the smallest store takes, and no more than a narrow link carries."""
ROW_BURST = 4
"""Rows that an entry may write in a burst. With a pause after each row, requests that
lack tokens would often wait for its end."""


def heartbeat_interval_s(entries: int) -> float:
    """The longest time between two rows of an entry in a fleet of ``entries``."""
    return max(MIN_HEARTBEAT_INTERVAL_S, entries / MAX_FLEET_HEARTBEATS_PER_S)


class RowRateLimiter:
    """Limits the rate of an entry's rows.

    On average all entries together write at most :data:`MAX_FLEET_ROWS_PER_S`. An entry
    that has recently written less may write a burst of :data:`ROW_BURST` rows.
    """

    def __init__(self) -> None:
        self._paid_until_s = float("-inf")

    def next_delay_s(self, entries: int, now_s: float) -> float:
        """The delay before the next row after one written at ``now_s``."""
        each_s = entries / MAX_FLEET_ROWS_PER_S
        self._paid_until_s = max(self._paid_until_s, now_s - ROW_BURST * each_s)
        self._paid_until_s += each_s
        return max(MIN_ROW_INTERVAL_S, self._paid_until_s - now_s)
