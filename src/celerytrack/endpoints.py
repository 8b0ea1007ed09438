"""Choice of the endpoint for a request, without I/O.

An entry sees only its own share of the load. It assumes that the other entries choose
as it does, and multiplies its own requests at an endpoint by the ratio of the fleet's
load to its own (``fleet_load_ratio``).

Prompts share parts. An engine prefills a shared part once and then has it in its cache,
so all requests of a session should go to one engine, through whichever entry they come.
All entries rank the engines for a session by the same rendezvous hash. They therefore
agree on its *home* and second home without messages, and use another engine only if its
predicted first token is much earlier.
"""

import enum
import heapq
import random
from collections.abc import Collection, Iterable, Sequence

from cachetools import LRUCache

from celerytrack.endpoint import (
    Choice,
    Dispatch,
    Endpoint,
    Opening,
    Registration,
    RequestProfile,
)
from celerytrack.ids import EndpointId, ServiceName, Zone
from celerytrack.notices.state import EndpointNotices
from celerytrack.prefill import PREFILL_TOKENS_PER_S, prefill_s
from celerytrack.restored_registrations import RestoredRegistrations
from celerytrack.routing import rendezvous_weight

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
MIN_EJECTION_S = 0.4
"""Ejection time after the first failed connection or missing answer; it doubles with
each further failure."""
MAX_EJECTION_S = 5.0
"""Longest ejection. A replaced endpoint has a new id, so a longer ejection would only
delay the return of an endpoint that has recovered."""
FAILURE_EWMA_WEIGHT = 0.15
"""Weight of the newest answer in the moving average of an endpoint's failure rate."""
GREY_FAILURE_RATE = 0.35
"""Failure rate that ejects an endpoint which accepts connections (grey failure), if it
is also more than :data:`GREY_FAILURE_FACTOR` times the average rate of the service's
other endpoints."""
GREY_FAILURE_FACTOR = 2.0
GREY_EJECTION_S = 2.0
"""Ejection time after a grey failure, until a request tries the endpoint again."""
DEREGISTERED_GRACE_S = 1.5
"""How long an endpoint without registration is still used if its service has no other.
Registrations expire while the store is unreachable and are written again within two
seconds; an endpoint that has left keeps serving for two seconds."""
MAX_TOMBSTONES = 1_024
"""Removed endpoints whose last record is kept, so that an older record that arrives
late does not register them again."""
CRASH_EJECTION_S = 4.0
"""Ejection time after a crash. The registration stays until some heartbeats are missed,
and each request sent there loses the time of a failed connection."""
QUEUE_FACTOR = 4.0
"""Most requests of all entries at an endpoint, as a multiple of its slots."""


class RegistrationChange(enum.Enum):
    """Effect of a registration record."""

    NEW = "new"
    RESTARTED = "started_again"
    """Another incarnation has the id now, with an empty cache."""
    CHANGED = "changed"
    """The endpoint began or ended draining."""
    SAME = "same"
    STALE = "stale"
    """A later record was read before; this one is ignored."""


class EndpointPool:
    """The known endpoints, and the choice among them.

    :param zone: the failure domain of this entry.
    :param notices: what endpoints said of themselves.
    """

    def __init__(
        self,
        zone: Zone,
        rng: random.Random,
        notices: EndpointNotices | None = None,
    ) -> None:
        self._zone = zone
        self._rng = rng
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._tombstones: LRUCache[EndpointId, Registration] = LRUCache(MAX_TOMBSTONES)
        self._notices = EndpointNotices() if notices is None else notices
        self.restored_registrations = RestoredRegistrations()

    def register(self, registration: Registration, now_s: float) -> RegistrationChange:
        """Apply a registration record that was read at ``now_s``."""
        known = self._endpoints.get(registration.endpoint_id)
        last = known.registration if known else None
        last = last or self._tombstones.get(registration.endpoint_id)
        if last is not None and self.restored_registrations.is_outdated(
            registration, last
        ):
            return RegistrationChange.STALE
        self.restored_registrations.mark_written(registration.endpoint_id)
        if known is None:
            self._add(registration, now_s)
            return RegistrationChange.NEW
        if 0 < known.registration.born_ms < registration.born_ms:
            # The statistics and cached parts belong to an earlier incarnation. Parts
            # counted as cached would need an unpredicted prefill. Earlier requests
            # refer to the old object and finish there.
            self._add(registration, now_s)
            return RegistrationChange.RESTARTED
        changed = known.registration.draining is not registration.draining
        known.registration = registration
        known.deregistered_at_s = None
        return RegistrationChange.CHANGED if changed else RegistrationChange.SAME

    def on_log_restored(self) -> None:
        """Handle the restore of the log from an older backup: endpoints that are gone
        by now register again only with a newer record."""
        gone = (
            i for i, e in self._endpoints.items() if e.deregistered_at_s is not None
        )
        self.restored_registrations.on_log_restored({*gone, *self._tombstones})

    def _add(self, registration: Registration, now_s: float) -> None:
        endpoint = Endpoint(registration)
        endpoint.cold_until_s = now_s + registration.cold_s
        self._endpoints[registration.endpoint_id] = endpoint

    def mark_deregistered(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Record that the registration of an endpoint disappeared."""
        known = self._endpoints.get(endpoint_id)
        if known is not None and known.deregistered_at_s is None:
            known.deregistered_at_s = now_s

    def deregister_now(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Record that an endpoint is gone, or that its newest record is unusable.

        It gets no more requests, even if its service has no other endpoint.
        """
        self.mark_deregistered(endpoint_id, now_s - DEREGISTERED_GRACE_S)

    def mark_crashed(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Eject an endpoint that crashed, as observed by some entry."""
        known = self._endpoints.get(endpoint_id)
        if known is not None:
            ejected_until_s = max(known.ejected_until_s, now_s + CRASH_EJECTION_S)
            known.ejected_until_s = ejected_until_s

    def is_available(self, endpoint: Endpoint, now_s: float) -> bool:
        """Whether an endpoint that was chosen earlier still accepts requests."""
        is_leaving = self.is_leaving(endpoint) or endpoint.deregistered_at_s is not None
        return (
            not is_leaving
            and not self.is_superseded(endpoint)
            and self._opens_in_s(endpoint, now_s) <= 0
        )

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint is known to leave, by its record or its own word."""
        return endpoint.registration.draining or self._said_leaving(endpoint)

    def may_send(self, endpoint: Endpoint, now_s: float) -> bool:
        """Whether a request that was placed may be sent now, by the endpoint's word."""
        born_ms = endpoint.registration.born_ms
        return self._notices.may_send(endpoint.endpoint_id, born_ms, now_s)

    def next_opening(
        self,
        profile: RequestProfile,
        avoid: Collection[EndpointId],
        fleet_load_ratio: float,
        now_s: float,
    ) -> Opening | None:
        """When the first endpoint opens that is closed for a time.

        :param avoid: endpoints that must not be chosen.
        :returns: ``None`` if none is.
        """
        candidates = self._candidates(profile.service, now_s)
        opens_in_s = [self._opens_in_s(e, now_s) for e in candidates]
        closed = [
            (wait_s, i)
            for i, wait_s in enumerate(opens_in_s)
            if wait_s > 0 and candidates[i].endpoint_id not in avoid
        ]
        if not closed:
            return None
        first_s, index = min(closed)
        homes = self._homes(profile, candidates)
        first = candidates[index]
        predicted_s = self._predict(first, profile, homes, fleet_load_ratio, now_s)
        return Opening(first_s, predicted_s, all_closed=min(opens_in_s) > 0)

    def withheld(self, service: ServiceName, now_s: float) -> list[EndpointId]:
        """The registered endpoints of ``service`` that their own word closes."""
        return [
            e.endpoint_id
            for e in self._endpoints.values()
            if e.registration.service == service
            and e.deregistered_at_s is None
            and (self._said_leaving(e) or self._opens_in_s(e, now_s) > 0)
        ]

    def is_superseded(self, endpoint: Endpoint) -> bool:
        """Whether a newer incarnation has the id of ``endpoint``."""
        known = self._endpoints.get(endpoint.endpoint_id)
        return known is not None and known is not endpoint

    def serving(self, service: ServiceName, now_s: float) -> list[Registration]:
        """The registrations of the endpoints of ``service`` that serve."""
        return [e.registration for e in self._candidates(service, now_s)]

    def address_of(self, endpoint_id: EndpointId) -> str | None:
        """The address of a registered endpoint."""
        known = self._endpoints.get(endpoint_id)
        if known is None or known.deregistered_at_s is not None:
            return None
        return known.registration.address

    def forgive_unreached(self, service: ServiceName) -> None:
        """Forget the connections to endpoints of ``service`` that failed: the links of
        this entry were down, not the endpoints."""
        for endpoint in self._endpoints.values():
            failed = endpoint.consecutive_failures > 0
            if failed and endpoint.registration.service == service:
                endpoint.consecutive_failures = 0
                endpoint.failure_rate = 0.0
                endpoint.ejected_until_s = 0.0

    def available_builds(self, service: ServiceName, now_s: float) -> set[str]:
        """The builds of the available endpoints of ``service``."""
        return {e.registration.build for e in self._candidates(service, now_s)}

    def registered_ids(self) -> list[EndpointId]:
        """The ids of the registered endpoints."""
        return [i for i, e in self._endpoints.items() if e.deregistered_at_s is None]

    def evict_deregistered(self, now_s: float) -> list[Endpoint]:
        """Remove and return endpoints that lost their registration and are idle."""
        gone = [
            e
            for e in self._endpoints.values()
            if e.deregistered_at_s is not None
            and now_s - e.deregistered_at_s > DEREGISTERED_GRACE_S
            and e.running == 0
        ]
        for endpoint in gone:
            del self._endpoints[endpoint.endpoint_id]
            self._tombstones[endpoint.endpoint_id] = endpoint.registration
        return gone

    def choose(
        self,
        profile: RequestProfile,
        fleet_load_ratio: float,
        max_connections: int,
        avoid: Sequence[EndpointId],
        now_s: float,
    ) -> Choice | None:
        """The endpoint with the earliest predicted answer.

        :param fleet_load_ratio: ratio of the fleet's load to the load of this entry.
        :param max_connections: connections that one endpoint accepts from all entries.
        :param avoid: endpoints that must not be chosen.
        :returns: ``None`` if no endpoint has capacity.
        """
        candidates = [
            e
            for e in self._candidates(profile.service, now_s)
            if e.endpoint_id not in avoid
        ]
        if self._notices:
            candidates = [e for e in candidates if self._opens_in_s(e, now_s) <= 0]
        available = [
            e for e in candidates if _has_capacity(e, fleet_load_ratio, max_connections)
        ]
        return self._choose_among(
            available, candidates, profile, fleet_load_ratio, now_s
        )

    def predict_at(
        self,
        endpoint_id: EndpointId,
        profile: RequestProfile,
        fleet_load_ratio: float,
        max_connections: int,
        now_s: float,
    ) -> Choice | None:
        """The choice of a given endpoint; ``None`` if it has no capacity."""
        candidates = self._candidates(profile.service, now_s)
        available = [
            e
            for e in candidates
            if e.endpoint_id == endpoint_id
            and _has_capacity(e, fleet_load_ratio, max_connections)
            and self._opens_in_s(e, now_s) <= 0
        ]
        return self._choose_among(
            available, candidates, profile, fleet_load_ratio, now_s
        )

    def _choose_among(
        self,
        available: list[Endpoint],
        candidates: list[Endpoint],
        profile: RequestProfile,
        fleet_load_ratio: float,
        now_s: float,
    ) -> Choice | None:
        if not available:
            return None
        homes = self._homes(profile, candidates)
        healthy = [e for e in available if now_s >= e.ejected_until_s] or available

        costs = [
            (
                self._predict(e, profile, homes, fleet_load_ratio, now_s),
                self._rng.random(),
                i,
            )
            for i, e in enumerate(healthy)
        ]
        predicted_s, _, index = min(costs)
        best = healthy[index]
        uncached = best.uncached_tokens(profile, _is_home(best, homes), now_s)
        return Choice(best, predicted_s, prefill_s(uncached, profile.prompt_tokens))

    def record_dispatch(
        self, choice: Choice, profile: RequestProfile, now_s: float
    ) -> Dispatch:
        """Count a request that is now sent to the chosen endpoint."""
        endpoint = choice.endpoint
        endpoint.running += 1
        endpoint.pending_prefill_s += choice.work_s
        endpoint.cache_prompt(profile, now_s)
        return Dispatch(endpoint, now_s, choice.predicted_s, choice.work_s)

    def add_peer_prefill(
        self, endpoint_id: EndpointId, work_s: float, now_s: float
    ) -> None:
        """Count a prompt of another entry that takes ``work_s`` to prefill."""
        known = self._endpoints.get(endpoint_id)
        if known is not None:
            known.add_peer_prefill(work_s, now_s)

    def record_success(self, endpoint: Endpoint) -> None:
        """Record a successful answer."""
        endpoint.consecutive_failures = 0
        endpoint.failure_rate -= FAILURE_EWMA_WEIGHT * endpoint.failure_rate

    def record_failure(self, endpoint: Endpoint, hard: bool, now_s: float) -> None:
        """Record a failed answer.

        :param hard: whether the connection failed, broke or timed out, so that the next
            request would fail too; otherwise the endpoint answered with an error.
        """
        endpoint.failure_rate += FAILURE_EWMA_WEIGHT * (1 - endpoint.failure_rate)
        if hard:
            endpoint.consecutive_failures += 1
            ejection_s = min(
                MIN_EJECTION_S * 2 ** (endpoint.consecutive_failures - 1),
                MAX_EJECTION_S,
            )
            endpoint.ejected_until_s = now_s + ejection_s
        elif endpoint.failure_rate > max(
            GREY_FAILURE_RATE, GREY_FAILURE_FACTOR * self._peer_failure_rate(endpoint)
        ):
            endpoint.ejected_until_s = now_s + GREY_EJECTION_S

    # -- internals ---------------------------------------------------------

    def _candidates(self, service: ServiceName, now_s: float) -> list[Endpoint]:
        not_draining = [
            e
            for e in self._endpoints.values()
            if e.registration.service == service and not e.registration.draining
        ]
        serving = not_draining
        if self._notices.leaving:
            serving = [e for e in not_draining if not self._said_leaving(e)]
        registered = [e for e in serving if e.deregistered_at_s is None]
        if registered:
            return registered
        return [e for e in not_draining if self._is_last_resort(e, now_s)]

    def _is_last_resort(self, endpoint: Endpoint, now_s: float) -> bool:
        """Whether an endpoint that leaves is used if its service has no other."""
        gone_s = endpoint.deregistered_at_s
        if gone_s is not None and now_s - gone_s >= DEREGISTERED_GRACE_S:
            return False
        return not self._said_leaving(endpoint) or self._notices.is_last_resort(
            endpoint.endpoint_id, endpoint.registration.born_ms, now_s
        )

    def _said_leaving(self, endpoint: Endpoint) -> bool:
        return self._notices.is_leaving(
            endpoint.endpoint_id, endpoint.registration.born_ms
        )

    def _opens_in_s(self, endpoint: Endpoint, now_s: float) -> float:
        return self._notices.opens_in_s(
            endpoint.endpoint_id, endpoint.registration.born_ms, now_s
        )

    def _homes(
        self, profile: RequestProfile, candidates: Iterable[Endpoint]
    ) -> list[Endpoint]:
        """The home of the session and its second home, the same at all entries."""
        if not profile.parts:
            return []
        session = profile.session_key
        return heapq.nlargest(
            2, candidates, key=lambda e: rendezvous_weight(session, e.endpoint_id)
        )

    def _predict(
        self,
        endpoint: Endpoint,
        profile: RequestProfile,
        homes: Sequence[Endpoint],
        fleet_load_ratio: float,
        now_s: float,
    ) -> float:
        slots = max(1, endpoint.registration.slots)
        running = endpoint.running * fleet_load_ratio
        cross_zone_s = (
            0.0 if endpoint.registration.zone == self._zone else CROSS_ZONE_COST_S
        )
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
        uncached = endpoint.uncached_tokens(profile, _is_home(endpoint, homes), now_s)
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
        seconds = (
            endpoint.slowness * seconds * (1 + endpoint.failure_rate) + cross_zone_s
        )
        return cold_factor * seconds

    def _peer_failure_rate(self, endpoint: Endpoint) -> float:
        peers = [
            e.failure_rate
            for e in self._endpoints.values()
            if e.registration.service == endpoint.registration.service
            and e is not endpoint
        ]
        return sum(peers) / len(peers) if peers else 0.0


def _is_home(endpoint: Endpoint, homes: Sequence[Endpoint]) -> bool:
    """Whether ``endpoint`` is the session's home, which caches its shared parts."""
    return bool(homes) and endpoint is homes[0]


def _has_capacity(
    endpoint: Endpoint, fleet_load_ratio: float, max_connections: int
) -> bool:
    connection_limit = max(2.0, max_connections / fleet_load_ratio)
    slots = endpoint.registration.slots
    queue_limit = max(4.0, QUEUE_FACTOR * slots / fleet_load_ratio)
    return endpoint.running < min(connection_limit, queue_limit)
