"""Predicted times to the first output of a request, by endpoint. Without I/O."""

import heapq
from collections.abc import Iterable, Sequence

from celerytrack.ids import Zone
from celerytrack.routing.endpoint import Endpoint, RequestProfile
from celerytrack.routing.prefill import PREFILL_TOKENS_PER_S, prefill_s
from celerytrack.routing.rendezvous import rendezvous_weight

RUNNING_REQUEST_COST_S = 0.00015
"""Time that each running request adds to the time to first token: its part of the few
decoding steps until then."""
FIRST_TOKEN_OVERHEAD_S = 0.01
"""Time to first token beyond the prefill: two engine steps and the network round
trip."""
LEAVE_HOME_FACTOR = 7.0
"""Weight of an uncached token of a shared part at an engine that is not the home. Its
prefill evicts parts of other sessions there, and the session's next request goes to
the home again."""
SECOND_HOME_FACTOR = 3.0
"""The same weight at the second home. All entries send the overflow of the home there,
so that the part is probably cached at the second home, and at no other engine."""
COLD_FACTOR = 1.6
"""Factor on the predicted time of an endpoint that is warming up. It is in the middle
of what cold caches of compiled code and data cost; the endpoint's measured
answers correct the prediction."""
CROSS_ZONE_COST_S = 0.004
"""Cost of an endpoint in another failure domain: the network round trip, and the price
of traffic between domains."""
QUEUE_FACTOR = 4.0
"""Most requests of all entries at an endpoint, as a multiple of its slots."""


def home_engines(
    profile: RequestProfile, candidates: Iterable[Endpoint]
) -> list[Endpoint]:
    """The home of the session and its second home, the same at all entries."""
    if not profile.parts:
        return []
    session = profile.session_key
    return heapq.nlargest(
        2, candidates, key=lambda e: rendezvous_weight(session, e.endpoint_id)
    )


def predict_s(
    endpoint: Endpoint,
    profile: RequestProfile,
    homes: Sequence[Endpoint],
    zone: Zone,
    fleet_load_ratio: float,
    now_s: float,
) -> float:
    """Predicted time to the first output of a request that is sent now.

    :param homes: the engines that cache the session's shared parts.
    :param zone: failure domain of this entry.
    """
    slots = max(1, endpoint.registration.slots)
    running = endpoint.running * fleet_load_ratio
    cross_zone_s = 0.0 if endpoint.registration.zone == zone else CROSS_ZONE_COST_S
    excess_load = max(0.0, running / slots - 1.0)
    cold_factor = COLD_FACTOR if now_s < endpoint.cold_until_s else 1.0
    if not profile.parts:
        busy_factor = 1.0 + running / slots + excess_load
        seconds = (
            endpoint.latency_s * busy_factor * (1 + endpoint.failure_rate)
            + cross_zone_s
        )
        return cold_factor * seconds
    rank = homes.index(endpoint) if endpoint in homes else len(homes)
    uncached = endpoint.uncached_tokens(profile, is_home(endpoint, homes), now_s)
    factor = SECOND_HOME_FACTOR if rank == 1 else LEAVE_HOME_FACTOR
    shared = max(0, uncached - profile.unshared_tokens) * (factor - 1)
    seconds = (
        prefill_s(uncached, profile.prompt_tokens)
        + running * RUNNING_REQUEST_COST_S
        + FIRST_TOKEN_OVERHEAD_S
    )
    seconds += shared / PREFILL_TOKENS_PER_S
    seconds += endpoint.pending_prefill_s + endpoint.peer_prefill_left_s(now_s)
    seconds += excess_load * 0.5
    seconds = endpoint.slowness * seconds * (1 + endpoint.failure_rate) + cross_zone_s
    return cold_factor * seconds


def is_home(endpoint: Endpoint, homes: Sequence[Endpoint]) -> bool:
    """Whether ``endpoint`` is the session's home, which caches its shared parts."""
    return bool(homes) and endpoint is homes[0]


def has_capacity(
    endpoint: Endpoint, fleet_load_ratio: float, max_connections: int
) -> bool:
    """Whether one more request of this entry finds room, with the fleet's load."""
    connection_limit = max(2.0, max_connections / fleet_load_ratio)
    slots = endpoint.registration.slots
    queue_limit = max(4.0, QUEUE_FACTOR * slots / fleet_load_ratio)
    return endpoint.running < min(connection_limit, queue_limit)
