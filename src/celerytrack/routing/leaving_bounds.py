"""Until when requests may be sent to an endpoint that is leaving, without I/O.

An endpoint serves for a fixed time after the log has confirmed that it leaves. An entry
reads that later. All it knows is when it last read that the endpoint was still there.
"""

import attrs

SEND_MARGIN_S = 0.25
"""Time in which a request that is sent reaches its endpoint."""
EXPIRY_HEARTBEATS = 3
"""Heartbeats that an endpoint misses until its registration expires."""
LAPSED_GRACE_S = 1.5
"""How long the only endpoint of a service is used after its registration expired while
the log could not be read. Such registrations are written again within two seconds."""


@attrs.frozen
class LeavingBounds:
    """How long endpoints serve, and how long their registrations live.

    :ivar serves_on_s: how long an endpoint serves after its leaving was confirmed.
    :ivar heartbeat_s: interval at which it writes its registration.
    """

    serves_on_s: float = 2.0
    heartbeat_s: float = 1.2

    def send_until_s(self, present_at_s: float) -> float:
        """Until when requests may be sent to an endpoint that leaves.

        :param present_at_s: when its registration was last known to be there. It may
            have left right after that.
        """
        return present_at_s + self.serves_on_s - SEND_MARGIN_S

    def send_until_if_gone_s(self, present_at_s: float, now_s: float) -> float:
        """Until when they may be sent to one whose registration is gone, which may have
        expired if it was not read for long."""
        if now_s - present_at_s > EXPIRY_HEARTBEATS * self.heartbeat_s:
            return now_s + LAPSED_GRACE_S
        return self.send_until_s(present_at_s)
