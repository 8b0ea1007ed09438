"""Placement of a request while endpoints are limited: which endpoint, with a lease.

A request whose best endpoint has no room in its limit goes to the next best. If all are
limited, it waits for a token as long as its answer can still be in time.
"""

import random
import time
from collections.abc import Callable, Collection, Sequence
from typing import Generic, TypeVar

import attrs

from celerytrack.ids import EndpointId
from celerytrack.limits.asks import Lease
from celerytrack.limits.leases import LeaseDenied
from celerytrack.limits.sync import LimitSync

_T = TypeVar("_T")

MAX_ASKS = 3
"""Limited endpoints at which a request asks for a lease before it goes to one without
a limit: each one costs a round trip between entries."""
RETRY_SPREAD = 0.5
"""Share by which ``Retry-After`` varies, so that callers don't come back together."""
MIN_RETRY_AFTER_S = 0.1


@attrs.frozen
class Leased(Generic[_T]):
    """A chosen endpoint and the lease for it."""

    choice: _T
    lease: Lease


@attrs.frozen
class Candidate(Generic[_T]):
    """An endpoint that a request may be sent to.

    :ivar max_wait_s: longest wait after which an answer from there is in time.
    """

    endpoint_id: EndpointId
    choice: _T
    max_wait_s: float = 0.0


@attrs.define
class LeasePlacer(Generic[_T]):
    """Gets the leases of one request.

    :ivar is_valid: whether a choice that was made before is still possible.
    :ivar skipped: endpoints that had no room.
    """

    limits: LimitSync
    priority: int
    is_valid: Callable[[_T], bool]
    skipped: list[EndpointId]

    async def lease_best(
        self, choose: Callable[[Collection[EndpointId]], Candidate[_T] | None]
    ) -> Leased[_T] | None:
        """Lease the best endpoint that has room now.

        :param choose: returns the best endpoint, some excluded.
        :returns: ``None`` if there is none.
        """
        for asks in range(MAX_ASKS + 1):
            last = asks == MAX_ASKS
            denied = self.limits.asks.denied(time.monotonic())
            candidate = choose(self.limits.tracker.limited() if last else denied)
            if candidate is None:
                return None
            leased = await self._lease(candidate, 0.0)
            if isinstance(leased, Leased):
                return leased
        return None

    async def lease_in_time(
        self, candidates: Sequence[Candidate[_T]], rng: random.Random
    ) -> Leased[_T] | LeaseDenied:
        """Wait for a token of a limited endpoint.

        It is a random one of those that may have a token in time, so that those who
        wait spread over all of them.
        """
        now_s = time.monotonic()
        waits_s = [
            self.limits.asks.expected_wait_s(c.endpoint_id, self.priority, now_s)
            for c in candidates
        ]
        in_time = [
            candidate
            for candidate, wait_s in zip(candidates, waits_s, strict=True)
            if wait_s <= candidate.max_wait_s
        ]
        if not in_time:
            return LeaseDenied(min(waits_s, default=0.0))
        candidate = rng.choice(in_time)
        return await self._lease(candidate, candidate.max_wait_s)

    async def _lease(
        self, candidate: Candidate[_T], max_wait_s: float
    ) -> Leased[_T] | LeaseDenied:
        was_valid = self.is_valid(candidate.choice)
        lease = await self.limits.asks.acquire(
            candidate.endpoint_id, self.priority, max_wait_s
        )
        if isinstance(lease, LeaseDenied):
            self.skipped.append(candidate.endpoint_id)
            return lease
        if was_valid and not self.is_valid(candidate.choice):
            self.limits.asks.give_back(lease)
            return LeaseDenied(MIN_RETRY_AFTER_S)
        return Leased(candidate.choice, lease)


def spread_retry_after_s(wait_s: float, rng: random.Random) -> float:
    """``Retry-After`` of a request for which there is room after ``wait_s``."""
    spread = rng.uniform(1.0, 1.0 + RETRY_SPREAD)
    return max(MIN_RETRY_AFTER_S, spread * wait_s)
