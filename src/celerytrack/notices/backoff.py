"""Backoffs that endpoints asked this entry for. Without I/O.

An endpoint that turns a request away may say how long it wants no other. That holds
between the two of them: other entries may go on. Nothing but time, or another
incarnation, ends it.
"""

import attrs

from celerytrack.ids import EndpointId
from celerytrack.notices.leaving import is_later_incarnation

MAX_BACKOFF_S = 86_400.0
"""Longest backoff that is believed: a longer one would outlast any operator."""


@attrs.frozen
class _Backoff:
    born_ms: int
    until_s: float


class BackoffTracker:
    """The backoffs in force. It is empty, and false, while there are none."""

    def __init__(self) -> None:
        self._known: dict[EndpointId, _Backoff] = {}

    def __bool__(self) -> bool:
        return bool(self._known)

    def record(
        self, endpoint_id: EndpointId, born_ms: int, backoff_s: float, now_s: float
    ) -> bool:
        """Record an answer that asks for a backoff; returns whether it changed.

        A shorter backoff than the rest of the one in force changes nothing.
        """
        until_s = now_s + min(backoff_s, MAX_BACKOFF_S)
        known = self._known.get(endpoint_id)
        if known is not None and is_later_incarnation(known.born_ms, born_ms):
            return False
        if known is not None and not is_later_incarnation(born_ms, known.born_ms):
            if until_s <= known.until_s:
                return False
            born_ms = max(born_ms, known.born_ms)
        self._known[endpoint_id] = _Backoff(born_ms, until_s)
        return True

    def until_s(self, endpoint_id: EndpointId, born_ms: int) -> float | None:
        """When the backoff of an incarnation ends; ``None`` if it has none."""
        known = self._known.get(endpoint_id)
        if known is None or is_later_incarnation(born_ms, known.born_ms):
            return None
        return known.until_s

    def in_force(self) -> dict[EndpointId, float]:
        """When each backoff ends."""
        return {i: known.until_s for i, known in self._known.items()}

    def pop_ended(self, now_s: float) -> list[EndpointId]:
        """Remove and return the endpoints whose backoff is over."""
        ended = [i for i, known in self._known.items() if known.until_s <= now_s]
        for endpoint_id in ended:
            del self._known[endpoint_id]
        return ended
