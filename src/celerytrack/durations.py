"""Recent durations of requests by kind, without I/O."""

import collections
import math

KEPT = 50
"""Most recent requests that are kept per kind."""
FEWEST = 3
"""Requests of a kind that are needed for an estimate."""
LIKELY_SHARE = 0.95
"""Quantile that serves as the estimate."""


class Durations:
    """Durations of the last requests of each kind."""

    def __init__(self) -> None:
        self._took_s: dict[str, collections.deque[float]] = {}

    def add(self, kind: str, took_s: float) -> None:
        """Record that a request of ``kind`` was answered after ``took_s``."""
        took = self._took_s.setdefault(kind, collections.deque(maxlen=KEPT))
        took.append(took_s)

    def likely_s(self, kind: str) -> float:
        """Duration that nearly all recent requests of ``kind`` did not exceed.

        It is infinite if there are too few requests.
        """
        took = sorted(self._took_s.get(kind, ()))
        if len(took) < FEWEST:
            return math.inf
        return took[math.ceil(LIKELY_SHARE * len(took)) - 1]
