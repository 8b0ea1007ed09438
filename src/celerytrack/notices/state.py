"""What placement asks before a request is sent to an endpoint. Without I/O."""

import attrs

from celerytrack.ids import EndpointId
from celerytrack.notices.backoff import BackoffTracker
from celerytrack.notices.leaving import LeavingTracker
from celerytrack.notices.returns import ReturnTracker

LAST_RESORT_S = 1.5
"""How long an endpoint that leaves is still used if its service has no other. It serves
for two seconds and more; requests are on their way for part of them."""


@attrs.frozen
class EndpointNotices:
    """Leavings, backoffs and returns; false while there are none.

    An endpoint is *closed* to this entry while it leaves, backs off, or load returns to
    it in steps that leave no room now.
    """

    leaving: LeavingTracker = attrs.field(factory=LeavingTracker)
    backoffs: BackoffTracker = attrs.field(factory=BackoffTracker)
    returns: ReturnTracker = attrs.field(factory=ReturnTracker)

    def __bool__(self) -> bool:
        return bool(self.leaving or self.backoffs or self.returns)

    def is_leaving(self, endpoint_id: EndpointId, born_ms: int) -> bool:
        """Whether an incarnation said that it leaves."""
        return self.leaving.heard_at_s(endpoint_id, born_ms) is not None

    def is_last_resort(
        self, endpoint_id: EndpointId, born_ms: int, now_s: float
    ) -> bool:
        """Whether an incarnation that leaves may be used if there is no other."""
        heard_at_s = self.leaving.heard_at_s(endpoint_id, born_ms)
        return heard_at_s is not None and now_s - heard_at_s < LAST_RESORT_S

    def opens_in_s(self, endpoint_id: EndpointId, born_ms: int, now_s: float) -> float:
        """Time until a backoff and the return after it leave room; 0 if they do."""
        returns_in_s = self.returns.opens_in_s(endpoint_id, born_ms, now_s)
        until_s = self.backoffs.until_s(endpoint_id, born_ms)
        return returns_in_s if until_s is None else max(returns_in_s, until_s - now_s)

    def may_send(self, endpoint_id: EndpointId, born_ms: int, now_s: float) -> bool:
        """Whether a request that was placed before may be sent now.

        Only the endpoint's own word counts here, not how load returns.
        """
        if self.is_leaving(endpoint_id, born_ms):
            return self.is_last_resort(endpoint_id, born_ms, now_s)
        backoff_until_s = self.backoffs.until_s(endpoint_id, born_ms)
        return backoff_until_s is None or now_s >= backoff_until_s
