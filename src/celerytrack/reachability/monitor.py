"""Follows whether this entry reaches the endpoints of each service, and logs it."""

import logging
import time

from celerytrack.events import Event, log_event
from celerytrack.ids import EndpointId, ServiceName
from celerytrack.reachability.evidence import ReachEvidence

_log = logging.getLogger(__name__)


class ReachMonitor:
    """What this entry knows of its links to endpoints.

    :ivar evidence: signs of links that work or fail.
    """

    def __init__(self) -> None:
        self.evidence = ReachEvidence()
        self._doubted_since_s: dict[ServiceName, float] = {}

    def record_heard(self, service: ServiceName, now_s: float) -> None:
        """Record that a part of an answer arrived."""
        self.evidence.record_heard(service, now_s)

    def record_connected(self, service: ServiceName) -> None:
        """Record that a new connection to an endpoint was made."""
        self.evidence.record_connected(service)
        since_s = self._doubted_since_s.pop(service, None)
        if since_s is not None:
            _log_reached(service, time.monotonic() - since_s)

    def record_failure(
        self, service: ServiceName, endpoint: EndpointId, sent: bool, now_s: float
    ) -> None:
        """Record that an endpoint was not reached, or a connection to it broke.

        :param sent: whether there was a connection.
        """
        if sent:
            self.evidence.record_broken(service, endpoint)
        else:
            self.evidence.record_unconnected(service, endpoint)
        if service in self._doubted_since_s:
            return
        if self.evidence.is_doubtful(service, now_s):
            self._doubted_since_s[service] = now_s
            _log_in_doubt(self.evidence, service, now_s)


def _log_in_doubt(evidence: ReachEvidence, service: ServiceName, now_s: float) -> None:
    silent_s = now_s - evidence.heard_at_s(service)
    log_event(
        _log,
        Event.LINKS_IN_DOUBT,
        logging.WARNING,
        service=service,
        failed=sorted(evidence.failed(service)),
        silent_ms=round(silent_s * 1_000) if silent_s < float("inf") else None,
    )


def _log_reached(service: ServiceName, after_s: float) -> None:
    log_event(_log, Event.LINKS_UP, service=service, after_ms=round(after_s * 1_000))
