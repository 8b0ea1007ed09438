"""Endpoints that said that they leave, as one entry knows them. Without I/O.

An endpoint that leaves says so until it ends. Its word is final for its incarnation: a
record on the log that calls it ready was written by someone who did not know yet.
"""

import attrs

from celerytrack.ids import EndpointId

MAX_KNOWN_LEAVING = 16_384
"""Most endpoints that are kept, to bound memory; the oldest ended long ago."""


def is_later_incarnation(born_ms: int, other_ms: int) -> bool:
    """Whether an incarnation started after another one of the same endpoint.

    Where a start is unknown (0), each incarnation has an id of its own.
    """
    return 0 < other_ms < born_ms


@attrs.frozen
class LeavingReport:
    """What one entry tells another about an endpoint that leaves.

    :ivar born_ms: incarnation of the endpoint; 0 if unknown.
    :ivar age_s: time since an entry first heard it.
    """

    endpoint_id: EndpointId
    born_ms: int
    age_s: float


@attrs.frozen
class _Leaving:
    born_ms: int
    heard_at_s: float


class LeavingTracker:
    """The endpoints that leave. It is empty, and false, while none does."""

    def __init__(self) -> None:
        self._known: dict[EndpointId, _Leaving] = {}

    def __len__(self) -> int:
        return len(self._known)

    def record(self, endpoint_id: EndpointId, born_ms: int, heard_at_s: float) -> bool:
        """Record that an endpoint leaves; returns whether that was unknown."""
        known = self._known.get(endpoint_id)
        if known is None or is_later_incarnation(born_ms, known.born_ms):
            self._known[endpoint_id] = _Leaving(born_ms, heard_at_s)
            if len(self._known) > MAX_KNOWN_LEAVING:
                del self._known[next(iter(self._known))]
            return True
        if not is_later_incarnation(known.born_ms, born_ms):
            first_s = min(heard_at_s, known.heard_at_s)
            self._known[endpoint_id] = _Leaving(max(born_ms, known.born_ms), first_s)
        return False

    def heard_at_s(self, endpoint_id: EndpointId, born_ms: int) -> float | None:
        """When an incarnation was first heard to leave; ``None`` if it was not."""
        known = self._known.get(endpoint_id)
        if known is None or is_later_incarnation(born_ms, known.born_ms):
            return None
        return known.heard_at_s

    def report(self, endpoint_id: EndpointId, now_s: float) -> LeavingReport | None:
        """What to tell other entries; ``None`` if nothing is known."""
        known = self._known.get(endpoint_id)
        if known is None:
            return None
        age_s = max(0.0, now_s - known.heard_at_s)
        return LeavingReport(endpoint_id, known.born_ms, age_s)
