"""How often a failed attempt may be tried again, without I/O.

Retries are what turns a short overload into a long one: each refused request
comes back as several. A budget ties them to the requests that came in, so
they add at most a fixed share of load, whatever fails. An answer that is
begun and goes on at another replica is no retry: no work is done again but the
reading of its prompt.
"""

import random

import attrs

from celerytrack.verdict import Refusal, Verdict

RETRY_RATIO = 0.2
"""Retries allowed per request: at most a fifth more load."""
_BURST = 10.0
_BASE_S = 0.02
_MAX_S = 0.5


@attrs.define
class RetryBudget:
    """A token bucket filled by requests and emptied by retries.

    :ivar ratio: what one request adds.
    :ivar burst: most retries that are saved up, and those there are at first.
    """

    ratio: float = attrs.field(default=RETRY_RATIO, validator=attrs.validators.ge(0))
    burst: float = attrs.field(default=_BURST, validator=attrs.validators.gt(0))
    _level: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._level = self.burst

    def record_request(self) -> None:
        """Count a request that came in."""
        self._level = min(self._level + self.ratio, self.burst)

    def try_acquire(self) -> bool:
        """Take one retry; ``False`` means give up now."""
        if self._level < 1:
            return False
        self._level -= 1
        return True


def may_retry(refusal: Refusal, idempotent: bool) -> bool:
    """Whether sending the request again elsewhere is safe.

    :param idempotent: whether the class may run twice.
    """
    return refusal.verdict is Verdict.DID_NOT_RUN or idempotent


def backoff_s(attempt: int, rng: random.Random) -> float:
    """How long to wait before retry number ``attempt`` (from 0): full
    jitter under an exponential cap, so retries of one fault spread out."""
    return rng.uniform(0.0, min(_BASE_S * 2**attempt, _MAX_S))
