"""Return of load to endpoints that were sent nothing for a time. Without I/O.

Backoffs of several entries at one endpoint often end together. Each entry comes back at
a slightly different time, with one request, and doubles the number of its requests in
progress with each answer, so that the first instant does not overload the endpoint
again.
"""

import attrs

from celerytrack.ids import EndpointId
from celerytrack.notices.leaving import is_later_incarnation

FULL_WINDOW = 16
"""Requests in progress from which the return is over."""
MAX_RETURN_S = 3.0
"""Time after which the return is over in any case."""
RETURN_ROOM_S = 0.02
"""When to look again for room: about the time of a short answer."""


@attrs.define
class _Return:
    """The return to one endpoint.

    :ivar born_ms: incarnation of the endpoint; 0 if unknown.
    :ivar opens_at_s: when the first request may be sent.
    :ivar window: most requests in progress.
    :ivar pending: requests in progress.
    """

    born_ms: int
    opens_at_s: float
    window: int = 1
    pending: int = 0


class ReturnTracker:
    """The returns that have not ended. It is empty, and false, while there are none."""

    def __init__(self) -> None:
        self._returns: dict[EndpointId, _Return] = {}

    def __bool__(self) -> bool:
        return bool(self._returns)

    def begin(self, endpoint_id: EndpointId, born_ms: int, opens_at_s: float) -> None:
        """Let requests return to an incarnation from a time on."""
        old = self._returns.get(endpoint_id)
        pending = old.pending if old else 0
        self._returns[endpoint_id] = _Return(born_ms, opens_at_s, pending=pending)

    def opens_in_s(self, endpoint_id: EndpointId, born_ms: int, now_s: float) -> float:
        """Time until the return leaves room for another request; 0 if it does."""
        known = self._returns.get(endpoint_id)
        if known is None or is_later_incarnation(born_ms, known.born_ms):
            return 0.0
        if now_s < known.opens_at_s:
            return known.opens_at_s - now_s
        return 0.0 if known.pending < known.window else RETURN_ROOM_S

    def record_sent(self, endpoint_id: EndpointId) -> bool:
        """Count a request that is sent now; returns whether it is part of a return."""
        known = self._returns.get(endpoint_id)
        if known is not None:
            known.pending += 1
        return known is not None

    def record_answer(
        self, endpoint_id: EndpointId, sent_at_s: float, succeeded: bool
    ) -> None:
        """Widen the window for a successful answer to a request of the return."""
        known = self._returns.get(endpoint_id)
        if known is None or not succeeded or sent_at_s < known.opens_at_s:
            return
        known.window *= 2
        if known.window >= FULL_WINDOW:
            del self._returns[endpoint_id]

    def record_done(self, endpoint_id: EndpointId) -> None:
        """Count a request of the return that has ended, however it did."""
        known = self._returns.get(endpoint_id)
        if known is not None and known.pending > 0:
            known.pending -= 1

    def clear(self) -> None:
        """Let all load return at once."""
        self._returns.clear()

    def expire(self, now_s: float) -> None:
        """End the returns that last too long."""
        for endpoint_id, known in list(self._returns.items()):
            if now_s - known.opens_at_s > MAX_RETURN_S:
                del self._returns[endpoint_id]
