"""Replica stand-ins that say that they are brittle, and count what they turn away."""

from collections import deque
from typing import Any

import attrs

from celerytrack.platform.notices import notice_headers

WINDOW_S = 1.0


@attrs.define
class Brittleness:
    """Turns requests away for want of room while the fault knobs say so.

    The knobs are ``bears_per_s``, the rejections a second that it says it bears (absent
    or null while it is not brittle), and ``room``, the requests that it takes at once.

    :ivar worst: most rejections in any second since it said that it is brittle.
    """

    knobs: dict[str, Any]
    worst: int = 0
    _rejected_at_s: deque[float] = attrs.field(factory=deque)

    def rejects(self, running: int, now_s: float) -> bool:
        """Whether a request is turned away, which is counted.

        :param running: requests in progress.
        """
        room = self.knobs.get("room")
        if self.knobs.get("bears_per_s") is None or room is None or running < room:
            return False
        self._rejected_at_s.append(now_s)
        while self._rejected_at_s[0] <= now_s - WINDOW_S:
            self._rejected_at_s.popleft()
        self.worst = max(self.worst, len(self._rejected_at_s))
        return True

    def headers(self) -> dict[str, str]:
        """The headers of an answer."""
        bears_per_s = self.knobs.get("bears_per_s")
        return notice_headers(
            brittle=None if bears_per_s is None else f"{bears_per_s:g}"
        )

    def stats(self) -> dict[str, Any]:
        """What the load tool checks."""
        return {"bears_per_s": self.knobs.get("bears_per_s"), "worst": self.worst}
