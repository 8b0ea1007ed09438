"""Leases that the owner of a limited endpoint grants.

Each limited endpoint has one owner among the entries. The owner keeps the endpoint's
token bucket, so that the sum over all entries is bounded however many there are and
however unevenly their callers are spread. A request that no token is left for may wait
in the owner's queue, the most urgent first. Without I/O.
"""

import math

import attrs

from celerytrack.limits.room import MIN_STEP_S, LearnedRoom, LeaseKey

MIN_RATE_PER_S = 0.25
"""Rate at which a limit of 0 is tried: only an answer tells that it has ended."""
BURST_S = 0.25
"""Time for which unused tokens are kept, beyond the first one."""
_WHOLE_TOKEN = 1.0 - 1e-9
"""A whole token, but for the rounding of times."""
OWNER_RETRY_AFTER_S = 0.2
"""When to ask again after no reply, or one of an entry that isn't the owner."""
MAX_WAITING = 1_000
"""Most requests that wait for one endpoint, to bound memory."""


@attrs.frozen
class LeaseRequest:
    """A request for a lease.

    :ivar key: identifies the request to its sender.
    :ivar priority: 0 is the most urgent.
    :ivar max_wait_s: longest time to wait for a token.
    :ivar count: number of requests that the sender expects soon.
    """

    key: LeaseKey
    priority: int
    max_wait_s: float
    count: int = 1


@attrs.frozen
class LeaseGranted:
    """The request may be sent now.

    :ivar count: number of requests that may be sent, this one included; the others
        soon, or never.
    """

    count: int = 1


@attrs.frozen
class LeaseDenied:
    """The request must not be sent.

    :ivar retry_after_s: when a token is expected for a request like this one.
    """

    retry_after_s: float


LeaseDecision = LeaseGranted | LeaseDenied


@attrs.frozen
class _Waiting:
    request: LeaseRequest
    expires_at_s: float


class LeaseQueue:
    """Token bucket of one limited endpoint, and the requests that wait for a token.

    The bucket starts empty: what other entries sent just before is unknown.

    :param rate_per_s: leases a second.
    :ivar room: what a brittle endpoint has room for; ``None`` if it is not brittle.
    """

    def __init__(self, rate_per_s: float, now_s: float) -> None:
        self.room: LearnedRoom | None = None
        self._rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        self._tokens = 0.0
        self._filled_at_s = now_s
        self._waiting: list[_Waiting] = []
        self._burst_s = BURST_S

    @property
    def tokens(self) -> float:
        """Tokens left when the bucket was last filled."""
        return self._tokens

    def set_rate(
        self, rate_per_s: float, now_s: float, burst_s: float = BURST_S
    ) -> None:
        """Change the rate from now on.

        :param burst_s: time for which unused tokens are kept, beyond the first one.
        """
        self._fill(now_s)
        self._burst_s = burst_s
        self._rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        self._tokens = min(self._tokens, self._burst)

    def add_tokens(self, tokens: float, now_s: float) -> None:
        """Add tokens that were handed over or returned."""
        self._fill(now_s)
        self._tokens = min(self._tokens + tokens, self._burst)

    def request(self, request: LeaseRequest, now_s: float) -> LeaseDecision | None:
        """Decide on a request at once; ``None`` if it waits.

        Call :meth:`pop_decided` first.
        """
        self._fill(now_s)
        if self._may_grant(now_s) and not self._waiting:
            return self._grant(request, now_s)
        ahead = sum(w.request.priority <= request.priority for w in self._waiting)
        wait_s = self._expected_wait_s(ahead, now_s)
        if wait_s > request.max_wait_s or len(self._waiting) >= MAX_WAITING:
            return LeaseDenied(wait_s)
        self._waiting.append(_Waiting(request, now_s + request.max_wait_s))
        self._waiting.sort(key=lambda w: w.request.priority)
        return None

    def waiting(self) -> list[LeaseRequest]:
        """The waiting requests, the most urgent first."""
        return [w.request for w in self._waiting]

    def cancel(self, key: LeaseKey) -> bool:
        """Remove a waiting request; returns whether it was waiting."""
        count = len(self._waiting)
        self._waiting = [w for w in self._waiting if w.request.key != key]
        return len(self._waiting) < count

    def pop_decided(self, now_s: float) -> list[tuple[LeaseRequest, LeaseDecision]]:
        """Remove and return the waiting requests that are decided by now."""
        self._fill(now_s)
        decided: list[tuple[LeaseRequest, LeaseDecision]] = []
        waiting: list[_Waiting] = []
        for item in self._waiting:
            if now_s >= item.expires_at_s:
                denied = LeaseDenied(self._expected_wait_s(len(waiting), now_s))
                decided.append((item.request, denied))
            elif self._may_grant(now_s):
                single = attrs.evolve(item.request, count=1)
                decided.append((item.request, self._grant(single, now_s)))
            else:
                waiting.append(item)
        self._waiting = waiting
        return decided

    def next_decision_s(self, now_s: float) -> float:
        """Time until a waiting request is decided; infinite if none waits."""
        if not self._waiting:
            return math.inf
        self._fill(now_s)
        token_s = (1.0 - self._tokens) / self._rate_per_s
        if self.room is not None:
            token_s = max(token_s, self.room.opens_in_s(now_s))
        expiry_s = min(w.expires_at_s for w in self._waiting) - now_s
        return max(MIN_STEP_S, min(token_s, expiry_s))

    @property
    def _burst(self) -> float:
        return 1.0 + self._burst_s * self._rate_per_s

    def _may_grant(self, now_s: float) -> bool:
        has_room = self.room is None or self.room.has_room(now_s)
        return has_room and self._tokens >= _WHOLE_TOKEN

    def _grant(self, request: LeaseRequest, now_s: float) -> LeaseGranted:
        """Grant a lease; of a brittle endpoint one at a time, as each is counted."""
        count = max(1, min(request.count, int(self._tokens)))
        if self.room is not None:
            count = 1
            self.room.record_grant(request.key, now_s)
        self._tokens -= count
        return LeaseGranted(count)

    def _expected_wait_s(self, ahead: int, now_s: float) -> float:
        """Time until a lease is expected for a request with ``ahead`` before it."""
        wait_s = (1.0 - self._tokens + ahead) / self._rate_per_s
        if self.room is None:
            return wait_s
        return max(wait_s, self.room.expected_wait_s(ahead, now_s))

    def _fill(self, now_s: float) -> None:
        passed_s = max(0.0, now_s - self._filled_at_s)
        self._tokens = min(self._tokens + passed_s * self._rate_per_s, self._burst)
        self._filled_at_s = now_s
