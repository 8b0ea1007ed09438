"""How much of a log that goes on is read at once, and up to when it is known."""

import collections

import attrs

from celerytrack.platform.log_format import Batch

TURN_KB = 1_024
"""Most that is read before others get a turn: some 16 ms of a link of 500 Mbit/s, and
no more than the store puts into one answer by default."""
TURN_S = 0.5
"""Longest time of a turn: less than the interval of reads."""
PAUSE_SHARE = 0.25
"""Pause after a turn that leaves more to read, relative to the time it took."""


@attrs.define
class ReadTurn:
    """Reads that follow each other at once.

    :ivar begun_s: when the first of them began.
    :ivar left_bytes: how much may still be read.
    """

    begun_s: float
    left_bytes: int = TURN_KB * 1_024

    def has_room(self, now_s: float) -> bool:
        """Whether another read may follow at once."""
        return self.left_bytes > 0 and now_s < self.begun_s + TURN_S

    def pause_s(self, now_s: float) -> float:
        """Pause until the next turn if the log goes on."""
        return PAUSE_SHARE * (now_s - self.begun_s)


def size_of(batch: Batch) -> int:
    """Bytes of the values in an answer of the log."""
    return sum(len(record.value or b"") for record in batch.records)


class StatedEnds:
    """Up to when a log is known that is written while it is read.

    Each answer states the end of the log. Once all records below that end are read, all
    that was written before that answer is known, even if the log has grown meanwhile.
    """

    def __init__(self) -> None:
        self._ends: collections.deque[tuple[int, float]] = collections.deque()

    def note(self, end: int, made_at_s: float) -> None:
        """Note the end stated by an answer that was made after ``made_at_s``."""
        if not self._ends or end > self._ends[-1][0]:
            self._ends.append((end, made_at_s))
        elif end == self._ends[-1][0]:
            self._ends[-1] = (end, made_at_s)

    def pop_reached(self, next_offset: int) -> float | None:
        """The time before which all is known once the records below ``next_offset``
        are read; ``None`` if no stated end is newly reached."""
        known_at_s = None
        while self._ends and self._ends[0][0] <= next_offset:
            _, known_at_s = self._ends.popleft()
        return known_at_s

    def clear(self) -> None:
        """Forget all ends: offsets are assigned anew or were skipped."""
        self._ends.clear()
