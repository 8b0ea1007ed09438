"""How long requests of each kind took lately, without I/O."""

import collections
import math

KEPT = 50
"""Requests of a kind that are remembered."""
FEWEST = 3
"""Requests of a kind that must have ended before anything is said of the next."""
LIKELY_SHARE = 0.95
"""Part of the requests of a kind that end within what is likely."""


class Durations:
    """How long the last requests of each kind were in progress."""

    def __init__(self) -> None:
        self._took_s: dict[str, collections.deque[float]] = {}

    def add(self, kind: str, took_s: float) -> None:
        """A request of ``kind`` was answered after ``took_s``."""
        took = self._took_s.setdefault(kind, collections.deque(maxlen=KEPT))
        took.append(took_s)

    def likely_s(self, kind: str) -> float:
        """What nearly all requests of ``kind`` end within, as far as is known."""
        took = sorted(self._took_s.get(kind, ()))
        if len(took) < FEWEST:
            return math.inf
        return took[math.ceil(LIKELY_SHARE * len(took)) - 1]
