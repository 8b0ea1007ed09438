"""Signs that an entry reaches no endpoint of a service. Without I/O.

One endpoint that can't be reached is the endpoint's own matter. If several fail and
nothing is heard of the others, the fault may be on the entry's side.
"""

import collections

import attrs

from celerytrack.ids import EndpointId, ServiceName

RECENT_S = 0.1
"""An answer that is no older shows that the links work."""
MIN_FAILED = 2
"""Endpoints that fail without a sign of another until the links are in doubt although
answers arrive."""


@attrs.define
class _ServiceSigns:
    """Signs of one service.

    :ivar heard_at_s: when an answer last arrived from one of its endpoints.
    :ivar unconnected: endpoints to which no connection could be made since one was made
        to any of them.
    :ivar broken: endpoints whose connections broke since an answer was heard.
    """

    heard_at_s: float = float("-inf")
    unconnected: set[EndpointId] = attrs.field(factory=set)
    broken: set[EndpointId] = attrs.field(factory=set)


class ReachEvidence:
    """What this entry heard from endpoints, and which it failed to reach."""

    def __init__(self) -> None:
        self._signs: collections.defaultdict[ServiceName, _ServiceSigns]
        self._signs = collections.defaultdict(_ServiceSigns)

    def record_heard(self, service: ServiceName, now_s: float) -> None:
        """Record that a part of an answer arrived."""
        signs = self._signs[service]
        signs.heard_at_s = now_s
        if signs.broken:
            signs.broken.clear()

    def record_connected(self, service: ServiceName) -> None:
        """Record that a new connection to an endpoint was made."""
        self._signs[service].unconnected.clear()

    def record_unconnected(self, service: ServiceName, endpoint: EndpointId) -> None:
        """Record that no connection to an endpoint could be made."""
        self._signs[service].unconnected.add(endpoint)

    def record_broken(self, service: ServiceName, endpoint: EndpointId) -> None:
        """Record that a connection broke."""
        self._signs[service].broken.add(endpoint)

    def heard_at_s(self, service: ServiceName) -> float:
        """When an answer last arrived."""
        return self._signs[service].heard_at_s

    def heard_elsewhere_at_s(self, service: ServiceName) -> float:
        """When an answer last arrived from any other service."""
        others = (s.heard_at_s for name, s in self._signs.items() if name != service)
        return max(others, default=float("-inf"))

    def failed(self, service: ServiceName) -> set[EndpointId]:
        """The endpoints that failed since another was reached."""
        signs = self._signs[service]
        return signs.unconnected | signs.broken

    def is_doubtful(self, service: ServiceName, now_s: float) -> bool:
        """Whether this entry may reach none of the endpoints."""
        signs = self._signs[service]
        if len(signs.unconnected) >= MIN_FAILED:
            return True
        failed = bool(signs.unconnected or signs.broken)
        return failed and now_s - signs.heard_at_s > RECENT_S
