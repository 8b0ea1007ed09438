"""Registrations after the log is restored from an older backup, without I/O."""

from collections.abc import Set

from celerytrack.eras import REWRITE_GRACE_S
from celerytrack.ids import EndpointId
from celerytrack.routing.endpoint import Registration


class RestoredRegistrations:
    """Which registrations in the backup are outdated, and which it lacks.

    Endpoints write their registrations again. Until then, the log lists some endpoints
    that have left as registered, and lacks others.
    """

    def __init__(self) -> None:
        self._left: set[EndpointId] = set()
        self._missing_since_s: dict[EndpointId, float] = {}

    def on_log_restored(self, gone: Set[EndpointId]) -> None:
        """Record which endpoints had left when the log was restored from a backup.

        :param gone: the endpoints known to have left.
        """
        self._left = set(gone)

    def is_outdated(self, registration: Registration, last: Registration) -> bool:
        """Whether a later record or the endpoint's leaving supersedes ``registration``.

        :param last: the last record read of the same endpoint.
        """
        if registration.is_older_than(last):
            return True
        if registration.endpoint_id not in self._left or not last.is_ordered:
            return False
        return not last.is_older_than(registration)

    def mark_written(self, endpoint_id: EndpointId) -> None:
        """Record that the endpoint has written its registration again."""
        self._left.discard(endpoint_id)
        self._missing_since_s.pop(endpoint_id, None)

    def mark_missing(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Record that the log lacks the registration; it is retained for now."""
        self._missing_since_s.setdefault(endpoint_id, now_s)

    def pop_expired(self, now_s: float) -> list[EndpointId]:
        """The missing endpoints that were not written again in time; each once."""
        since_s = self._missing_since_s
        gone = [i for i, at_s in since_s.items() if now_s - at_s >= REWRITE_GRACE_S]
        for endpoint_id in gone:
            del since_s[endpoint_id]
        return gone
