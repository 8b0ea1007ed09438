"""Retry budget and backoff, without I/O.

Retries can turn a short overload into a long one, because each refused request
comes back as several. A budget limits them to a share of the incoming requests,
so they add at most a fixed share of load, whatever fails. Resuming a started
answer at another replica does not count as a retry: only the prefill of its
prompt is repeated.
"""

import random

import attrs

from celerytrack.verdict import Refusal, Verdict

RETRY_RATIO = 0.2
"""Retries allowed per request: they add at most a fifth of load."""
_BURST = 10.0
_BACKOFF_BASE_S = 0.02
_MAX_BACKOFF_S = 0.5


@attrs.define
class RetryBudget:
    """A token bucket filled by requests and emptied by retries.

    A share of less than one retry is used by chance, so that the sum over many entries
    stays what it should be.

    :ivar ratio: retries that one request adds.
    :ivar burst: capacity of the bucket in retries; it starts full.
    :ivar rng: decides whether a part of a retry is one.
    """

    ratio: float = attrs.field(default=RETRY_RATIO, validator=attrs.validators.ge(0))
    burst: float = attrs.field(default=_BURST, validator=attrs.validators.gt(0))
    rng: random.Random = attrs.field(factory=random.Random)
    _tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.burst

    def record_request(self) -> None:
        """Add the share of an incoming request to the bucket."""
        self._tokens = min(self._tokens + self.ratio, self.burst)

    def resize(self, burst: float) -> None:
        """Change the capacity: the share of an entry changes with the fleet."""
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def try_acquire(self) -> bool:
        """Take one retry from the bucket; ``False`` means that none is left."""
        if self._tokens >= 1:
            self._tokens -= 1
            return True
        if self.burst >= 1:
            return False
        part, self._tokens = self._tokens, 0.0
        return self.rng.random() < part


def may_retry(refusal: Refusal, idempotent: bool) -> bool:
    """Whether it is safe to send the request to another replica.

    :param idempotent: whether a request of its class may run twice.
    """
    return refusal.verdict is Verdict.DID_NOT_RUN or idempotent


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Seconds to wait before retry number ``attempt`` (from 0).

    Full jitter under an exponential cap spreads out the retries of one fault.
    """
    return rng.uniform(0.0, min(_BACKOFF_BASE_S * 2**attempt, _MAX_BACKOFF_S))
