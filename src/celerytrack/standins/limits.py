"""Rate limits that the replica stand-ins name, and what arrives beyond them."""

import time
from collections import deque
from typing import Any

import attrs

from celerytrack.platform.notices import notice_headers

SETTLE_S = 3.0
"""Time after the first answer that names a limit until the limit must be kept."""
WINDOW_S = 4.0
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5.0


def allowed_requests(limit_per_s: float) -> float:
    """Most requests in ``WINDOW_S`` at a replica that names a limit."""
    return EXCESS_FACTOR * limit_per_s * WINDOW_S + EXCESS_REQUESTS


@attrs.define
class NamedLimit:
    """Names a limit while the fault knobs say so, and counts arrivals.

    The knobs are ``limit_per_s``, the limit (absent or null for none), and
    ``limit_for_s``, after which it ends by itself.

    :ivar knobs: the stand-in's fault knobs.
    :ivar worst: most requests in any window since the limit had to be kept.
    """

    knobs: dict[str, Any]
    worst: int = 0
    _named_at_s: float | None = None
    _arrivals_s: deque[float] = attrs.field(factory=deque)

    def limit_per_s(self, now_s: float) -> float | None:
        """The limit that is named now."""
        limit_per_s = self.knobs.get("limit_per_s")
        if limit_per_s is None:
            self._named_at_s = None
            return None
        if self._named_at_s is None:
            self._named_at_s = now_s
            self._arrivals_s.clear()
            self.worst = 0
        if now_s - self._named_at_s > self.knobs.get("limit_for_s", float("inf")):
            self.knobs["limit_per_s"] = None
            return None
        return float(limit_per_s)

    def record_arrival(self) -> None:
        """Count a request that arrived."""
        now_s = time.monotonic()
        if self.limit_per_s(now_s) is None or self._named_at_s is None:
            return
        if now_s - self._named_at_s < SETTLE_S:
            return
        self._arrivals_s.append(now_s)
        while now_s - self._arrivals_s[0] > WINDOW_S:
            self._arrivals_s.popleft()
        self.worst = max(self.worst, len(self._arrivals_s))

    def headers(self) -> dict[str, str]:
        """The headers for an answer made now."""
        limit_per_s = self.limit_per_s(time.monotonic())
        return notice_headers(None if limit_per_s is None else f"{limit_per_s:g}")

    def stats(self) -> dict[str, Any]:
        """What the load tool checks."""
        return {
            "worst_window": self.worst,
            "limit_per_s": self.knobs.get("limit_per_s"),
        }
