"""Placement of a modelled request before endpoints that need leases."""

import random
from collections.abc import Collection, Sequence
from typing import Protocol, TypeVar

from celerytrack.ids import EndpointId
from celerytrack.lab.peer_fleet import ModelPeer
from celerytrack.limits.asks import Lease
from celerytrack.limits.leases import LeaseDenied
from celerytrack.limits.placement import Candidate, Leased, LeasePlacer

MAX_WAIT_S = 0.3
"""Time for which a request may wait for a lease."""


class ModelEndpoint(Protocol):
    """An endpoint of a modelled fleet."""

    @property
    def endpoint_id(self) -> EndpointId:
        """Its id."""


_E = TypeVar("_E", bound=ModelEndpoint)


async def place(
    entry: ModelPeer, endpoints: Sequence[_E], rng: random.Random
) -> Leased[_E] | None:
    """Choose an endpoint at random, with a lease if it needs one.

    :returns: ``None`` if no lease is to be had in time.
    """

    def choose(excluded: Collection[EndpointId]) -> Candidate[_E] | None:
        allowed = [e for e in endpoints if e.endpoint_id not in excluded]
        if not allowed:
            return None
        endpoint = rng.choice(allowed)
        return Candidate(endpoint.endpoint_id, endpoint)

    limits = entry.notices.limits
    if not limits.tracker:
        endpoint = rng.choice(endpoints)
        return Leased(endpoint, Lease(endpoint.endpoint_id))
    placer = LeasePlacer[_E](limits, 0, lambda endpoint: True, [])
    leased = await placer.lease_best(choose)
    if leased is not None:
        return leased
    known = limits.tracker.limited()
    limited = [
        Candidate(e.endpoint_id, e, MAX_WAIT_S)
        for e in endpoints
        if e.endpoint_id in known
    ]
    waited = await placer.lease_in_time(limited, rng)
    return None if isinstance(waited, LeaseDenied) else waited
