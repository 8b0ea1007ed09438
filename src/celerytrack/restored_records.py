"""Registrations on a log that came back from an older copy, without I/O."""

from collections.abc import Set

from celerytrack.endpoint import Registration
from celerytrack.eras import REWRITTEN_S
from celerytrack.ids import EndpointId


class RestoredRecords:
    """Which registrations on the copy are over, and which are missing there.

    Endpoints write theirs again. Until then the copy tells of some that have left as
    if they had not, and of others nothing.
    """

    def __init__(self) -> None:
        self._left: set[EndpointId] = set()
        self._missing_since_s: dict[EndpointId, float] = {}

    def came_back(self, gone: Set[EndpointId]) -> None:
        """The log came back from a copy.

        :param gone: the endpoints known to have left.
        """
        self._left = set(gone)

    def outdated(self, registration: Registration, last: Registration) -> bool:
        """Whether ``registration`` says nothing that was not over before.

        :param last: the last record read of the same endpoint.
        """
        if registration.is_older_than(last):
            return True
        if registration.endpoint_id not in self._left or not last.is_ordered:
            return False
        return not last.is_older_than(registration)

    def written(self, endpoint_id: EndpointId) -> None:
        """The endpoint has written its registration."""
        self._left.discard(endpoint_id)
        self._missing_since_s.pop(endpoint_id, None)

    def missing(self, endpoint_id: EndpointId, now_s: float) -> None:
        """The registration is not on the copy: it is kept for now."""
        self._missing_since_s.setdefault(endpoint_id, now_s)

    def take_gone(self, now_s: float) -> list[EndpointId]:
        """Those that were missing and were not written again in time; once each."""
        since_s = self._missing_since_s
        gone = [i for i, at_s in since_s.items() if now_s - at_s >= REWRITTEN_S]
        for endpoint_id in gone:
            del since_s[endpoint_id]
        return gone
