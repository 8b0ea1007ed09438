"""The rate that a brittle endpoint bears, learned from its rejections. Without I/O.

Such an endpoint names no rate, only the rejections a second after which it falls over,
and its room shrinks without a word. The owner of the endpoint, which grants the leases
of all entries, lowers the rate with each rejection (multiplicative decrease) and lets
it grow while there is none (additive increase). When the rejections of the last second
come near what the endpoint bears, it grants none until the second is over.
"""

import collections
import math

import attrs

from celerytrack.ids import EndpointId
from celerytrack.limits.tracker import UNLIMITED_PER_S

MEASURE_S = 1.0
"""Time over which leases are counted, for the rate that led to a rejection."""
DECREASE_FACTOR = 0.85
MIN_DECREASE_INTERVAL_S = 0.3
"""Rejections that follow sooner belong to requests sent at the old rate."""
INCREASE_SHARE_PER_S = 0.06
MAX_INCREASE_SHARE_PER_S = 0.5
MIN_INCREASE_PER_S2 = 0.1
"""Growth of the rate in a second, as a share of it and at least."""
QUIET_S = 2.0
"""Time without a rejection after which the share doubles with each second: a rate
learned from few requests may be far too low."""
MIN_MEASURE_S = 0.2
MIN_RATE_PER_S = 0.5
TOLERATED_SHARE = 0.3
"""Share of the rejections it bears up to which the rate is not lowered: a few of them
show that its room is used."""
SPARE_SHARE = 0.2
"""Share of the rejections it bears that is kept for requests on their way."""
REJECTIONS_S = 1.0
"""Time over which an endpoint counts its rejections."""
_MAX_DOUBLINGS = 8.0
KEPT_S = 60.0
"""How long a learned rate is kept for an endpoint that has fallen over, or that says
no more that it is brittle."""


@attrs.define
class LearnedRate:
    """What one brittle endpoint bears.

    :ivar rate_per_s: requests a second; ``None`` until the first rejection.
    """

    rate_per_s: float | None = None
    _changed_at_s: float = -math.inf
    _decreased_at_s: float = -math.inf
    _granted_at_s: collections.deque[float] = attrs.field(factory=collections.deque)
    _rejected_at_s: collections.deque[float] = attrs.field(factory=collections.deque)

    def record_grant(self, now_s: float) -> None:
        """Count a lease that was granted."""
        self._granted_at_s.append(now_s)
        while self._granted_at_s[0] < now_s - MEASURE_S:
            self._granted_at_s.popleft()

    def granted(self, now_s: float) -> int:
        """Leases granted in the last :data:`MEASURE_S`."""
        return sum(at_s > now_s - MEASURE_S for at_s in self._granted_at_s)

    def record_rejection(self, bears_per_s: float, now_s: float) -> float:
        """Lower the rate after a rejection.

        :param bears_per_s: rejections a second that the endpoint bears.
        :returns: for how long no lease is to be granted.
        """
        self._rejected_at_s.append(now_s)
        while self._rejected_at_s[0] <= now_s - REJECTIONS_S:
            self._rejected_at_s.popleft()
        too_many = len(self._rejected_at_s) >= TOLERATED_SHARE * bears_per_s
        # A standby that granted nothing does not know which rate was too high.
        is_known = self.rate_per_s is not None or bool(self._granted_at_s)
        if (
            too_many
            and is_known
            and now_s - self._decreased_at_s >= MIN_DECREASE_INTERVAL_S
        ):
            self._decreased_at_s = now_s
            rate_per_s = DECREASE_FACTOR * self._rate_before(now_s)
            self.rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
            self._changed_at_s = now_s
        if len(self._rejected_at_s) < (1 - SPARE_SHARE) * bears_per_s:
            return 0.0
        return self._rejected_at_s[0] + REJECTIONS_S - now_s

    def grow(self, now_s: float) -> float | None:
        """Let the rate grow with the time that passed; returns it."""
        if self.rate_per_s is None:
            return None
        passed_s = max(0.0, now_s - self._changed_at_s)
        rejected_at_s = self._rejected_at_s[-1] if self._rejected_at_s else now_s
        doublings = min(max(0.0, now_s - rejected_at_s - QUIET_S), _MAX_DOUBLINGS)
        share = min(INCREASE_SHARE_PER_S * 2.0**doublings, MAX_INCREASE_SHARE_PER_S)
        growth = max(share * self.rate_per_s, MIN_INCREASE_PER_S2)
        self.rate_per_s = min(self.rate_per_s + growth * passed_s, UNLIMITED_PER_S)
        self._changed_at_s = now_s
        return self.rate_per_s

    def is_unused(self, now_s: float) -> bool:
        """Whether nothing was granted or rejected for a long time."""
        newest_s = max(
            times[-1] if times else -math.inf
            for times in (self._granted_at_s, self._rejected_at_s)
        )
        return now_s - newest_s > KEPT_S

    def _rate_before(self, now_s: float) -> float:
        recent = self.granted(now_s)
        known_s = now_s - self._granted_at_s[0] if self._granted_at_s else 0.0
        over_s = min(max(known_s, MIN_MEASURE_S), MEASURE_S)
        measured_per_s = max(recent / over_s, MIN_RATE_PER_S)
        if self.rate_per_s is None:
            return measured_per_s
        # Leases that were not asked for say nothing of what the endpoint bears.
        return min(self.rate_per_s, max(measured_per_s, self.rate_per_s / 2))


class LearnedRates:
    """The learned rates of the brittle endpoints that this entry grants leases for."""

    def __init__(self) -> None:
        self._known: dict[EndpointId, LearnedRate] = {}

    def get(self, endpoint_id: EndpointId) -> LearnedRate:
        """The learned rate of an endpoint, also from before it fell over."""
        return self._known.setdefault(endpoint_id, LearnedRate())

    def expire(self, now_s: float) -> None:
        """Forget the rates that are no longer used."""
        unused = [i for i, rate in self._known.items() if rate.is_unused(now_s)]
        for endpoint_id in unused:
            del self._known[endpoint_id]
