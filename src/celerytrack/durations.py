"""Recent durations of requests by kind, without I/O."""

import collections
import math

MAX_SAMPLES = 50
"""Number of recent requests that are kept per kind."""
MIN_SAMPLES = 3
"""Requests of a kind that are needed for an estimate."""
ESTIMATE_QUANTILE = 0.95
"""Quantile that serves as the estimate."""


class RecentDurations:
    """Durations of the last requests of each kind."""

    def __init__(self) -> None:
        self._took_s: dict[str, collections.deque[float]] = {}

    def add(self, kind: str, took_s: float) -> None:
        """Record that a request of ``kind`` was answered after ``took_s``."""
        took = self._took_s.setdefault(kind, collections.deque(maxlen=MAX_SAMPLES))
        took.append(took_s)

    def p95_s(self, kind: str) -> float:
        """Duration that nearly all recent requests of ``kind`` did not exceed.

        It is infinite if there are too few requests.
        """
        took = sorted(self._took_s.get(kind, ()))
        if len(took) < MIN_SAMPLES:
            return math.inf
        return took[math.ceil(ESTIMATE_QUANTILE * len(took)) - 1]
