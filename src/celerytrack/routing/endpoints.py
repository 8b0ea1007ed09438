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
import math
import random
from collections import Counter
from collections.abc import Collection, Iterable, Sequence

from cachetools import LRUCache

from celerytrack.findings import Crash
from celerytrack.ids import EndpointId, ServiceName, Zone
from celerytrack.notices.state import EndpointNotices
from celerytrack.origins.origin import StreamOrigin
from celerytrack.origins.recorded import ServiceVersion
from celerytrack.routing.ejection import (
    forgive,
    record_crash,
    record_error,
    record_success,
    record_unreached,
)
from celerytrack.routing.endpoint import (
    Choice,
    Dispatch,
    Endpoint,
    Opening,
    Registration,
    RequestProfile,
)
from celerytrack.routing.leaving_bounds import LeavingBounds
from celerytrack.routing.predictions import (
    has_capacity,
    home_engines,
    is_home,
    predict_s,
)
from celerytrack.routing.prefill import prefill_s
from celerytrack.routing.restored_registrations import RestoredRegistrations
from celerytrack.routing.versions import ESTABLISHED_AFTER_S, VersionHistory

DOUBT_S = 3.0
"""Time in which a process that started again at its address has registered. Until the
registrations of then are known, what runs there is in doubt."""
MAX_TOMBSTONES = 1_024
"""Removed endpoints whose last record is kept, so that an older record that arrives
late does not register them again."""


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
    :ivar known_at_s: time before which every registration is known.
    """

    def __init__(
        self,
        zone: Zone,
        rng: random.Random,
        notices: EndpointNotices | None = None,
        leaving_bounds: LeavingBounds = LeavingBounds(),  # noqa: B008
    ) -> None:
        self._zone = zone
        self._rng = rng
        self._endpoints: dict[EndpointId, Endpoint] = {}
        self._unregistered: set[EndpointId] = set()
        self._tombstones: LRUCache[EndpointId, Registration] = LRUCache(MAX_TOMBSTONES)
        self._notices = EndpointNotices() if notices is None else notices
        self._leaving_bounds = leaving_bounds
        self.restored_registrations = RestoredRegistrations()
        self._version_history = VersionHistory()
        self.known_at_s = float("-inf")

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
        self._unregistered.discard(registration.endpoint_id)
        self._lapse_if_forgotten(registration, now_s)
        self._record_version(registration, now_s)
        if known is not None:
            self._record_version(known.registration, now_s)
        if known is None:
            self._add(registration, now_s)
            return RegistrationChange.NEW
        if _is_other_incarnation(known.registration, registration):
            # The statistics and cached parts belong to an earlier incarnation. Parts
            # counted as cached would need an unpredicted prefill. Earlier requests
            # refer to the old object and finish there.
            self._record_left(known, now_s)
            self._add(registration, now_s)
            return RegistrationChange.RESTARTED
        if (
            known.deregistered_at_s is not None
            or known.registration.version != registration.version
        ):
            self._record_left(known, now_s)
            known.registered_at_s = now_s
        changed = known.registration.draining is not registration.draining
        if not registration.draining:
            known.send_until_s = math.inf
        elif changed:
            known.send_until_s = self._leaving_bounds.send_until_s(self.known_at_s)
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
        endpoint = Endpoint(registration, registered_at_s=now_s)
        endpoint.cold_until_s = now_s + registration.cold_s
        self._endpoints[registration.endpoint_id] = endpoint

    def mark_deregistered(
        self, endpoint_id: EndpointId, now_s: float, present_at_s: float | None = None
    ) -> None:
        """Record that the registration of an endpoint disappeared.

        :param present_at_s: when it was last known to be there; ``None`` for
            :attr:`known_at_s`.
        """
        known = self._endpoints.get(endpoint_id)
        if known is None or known.deregistered_at_s is not None:
            return
        if present_at_s is None:
            present_at_s = self.known_at_s
        self._record_left(known, now_s)
        known.deregistered_at_s = now_s
        self._unregistered.add(endpoint_id)
        known.send_until_s = min(
            known.send_until_s,
            self._leaving_bounds.send_until_if_gone_s(present_at_s, now_s),
        )

    def deregister_now(self, endpoint_id: EndpointId, now_s: float) -> None:
        """Record that an endpoint is gone, or that its newest record is unusable.

        It gets no more requests, even if its service has no other endpoint.
        """
        self.mark_deregistered(endpoint_id, now_s)
        known = self._endpoints.get(endpoint_id)
        if known is not None:
            known.send_until_s = min(known.send_until_s, now_s)

    def doubt(self, endpoint: Endpoint, now_s: float) -> bool:
        """Record a sign that an endpoint's process may have ended.

        :returns: whether it was not in doubt before.
        """
        was_doubted = self.is_doubted(endpoint)
        endpoint.doubted_at_s = now_s
        return not was_doubted

    def settle_doubt(
        self, endpoint: Endpoint, since_s: float, alive_at_s: float
    ) -> bool:
        """Record that a process lived at ``alive_at_s`` that was there before the sign
        at ``since_s``.

        :returns: whether it is in doubt no more: not after a later sign.
        """
        doubted_at_s = endpoint.doubted_at_s
        if doubted_at_s is not None and since_s <= doubted_at_s <= alive_at_s:
            endpoint.doubted_at_s = None
        return endpoint.doubted_at_s is None

    def is_doubted(self, endpoint: Endpoint) -> bool:
        """Whether another incarnation than the registered one may run at an endpoint.

        Its version may be another one.
        """
        doubted_at_s = endpoint.doubted_at_s
        return doubted_at_s is not None and self.known_at_s < doubted_at_s + DOUBT_S

    def doubt_incarnation(
        self, endpoint_id: EndpointId, born_ms: int, now_s: float
    ) -> None:
        """Record that an incarnation has ended, as another entry found."""
        known = self._endpoints.get(endpoint_id)
        if known is not None and known.registration.born_ms == born_ms:
            self.doubt(known, now_s)

    def origin_at(self, endpoint_id: EndpointId) -> StreamOrigin | None:
        """What runs at an endpoint; ``None`` if it is not known or in doubt."""
        known = self._endpoints.get(endpoint_id)
        if known is None or self.is_doubted(known):
            return None
        return StreamOrigin(known.registration.service, known.registration.version)

    def origin_of_past(
        self, endpoint_id: EndpointId, at_s: float
    ) -> StreamOrigin | None:
        """What ran at an endpoint at a time, by registrations that were read after any
        doubt of then had ended."""
        if self.known_at_s < at_s + DOUBT_S:
            return None
        return self.origin_at(endpoint_id)

    def mark_crashed(self, crash: Crash, now_s: float) -> None:
        """Eject an endpoint that crashed, as observed by some entry.

        Another incarnation that has its id by now is not the one that crashed.
        """
        known = self._endpoints.get(crash.endpoint_id)
        if known is None:
            return
        registration = known.registration
        if (registration.born_ms, registration.build) == (crash.born_ms, crash.build):
            record_crash(known, now_s)
            self.doubt(known, now_s)

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

    def fits(self, endpoint: Endpoint, profile: RequestProfile, now_s: float) -> bool:
        """Whether an endpoint's version may write the next event of a request."""
        if profile.origin is not None or not profile.resumable:
            return profile.fits(endpoint.registration)
        if len(self.versions(profile.service, now_s)) < 2:
            return True
        self._record_present(endpoint, now_s)
        registration = endpoint.registration
        return self._version_history.is_established(
            registration.service, registration.version
        )

    def established_in_s(self, profile: RequestProfile, now_s: float) -> float | None:
        """Time until a stream may begin at a version that has just come up.

        :returns: ``None`` if no endpoint waits for that.
        """
        if profile.origin is not None:
            return None
        new = [
            e
            for e in self._candidates(profile.service, now_s)
            if not self.fits(e, profile, now_s)
        ]
        if not new:
            return None
        first_s = min(e.registered_at_s for e in new)
        return max(0.0, first_s + ESTABLISHED_AFTER_S - now_s)

    def may_send(self, endpoint: Endpoint, now_s: float) -> bool:
        """Whether a request that was placed may be sent now: not if the endpoint may
        have left, and not against its own word."""
        if now_s >= endpoint.send_until_s:
            return False
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
        candidates = self._fitting(profile, now_s)
        opens_in_s = [self._opens_in_s(e, now_s) for e in candidates]
        closed = [
            (wait_s, i)
            for i, wait_s in enumerate(opens_in_s)
            if wait_s > 0 and candidates[i].endpoint_id not in avoid
        ]
        if not closed:
            return None
        first_s, index = min(closed)
        homes = home_engines(profile, candidates)
        first = candidates[index]
        predicted_s = predict_s(
            first, profile, homes, self._zone, fleet_load_ratio, now_s
        )
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

    def service_of(self, endpoint_id: EndpointId) -> ServiceName | None:
        """The service of an endpoint; ``None`` if it is not known."""
        known = self._endpoints.get(endpoint_id)
        return None if known is None else known.registration.service

    def address_of(self, endpoint_id: EndpointId) -> str | None:
        """The address of a registered endpoint."""
        known = self._endpoints.get(endpoint_id)
        if known is None or known.deregistered_at_s is not None:
            return None
        return known.registration.address

    def born_ms(self, endpoint_id: EndpointId) -> int | None:
        """The start of the registered incarnation; ``None`` if there is none."""
        known = self._endpoints.get(endpoint_id)
        return None if known is None else known.registration.born_ms

    def forgive_unreached(self, service: ServiceName) -> None:
        """Forget the connections to endpoints of ``service`` that failed: the links of
        this entry were down, not the endpoints."""
        for endpoint in self._endpoints.values():
            if endpoint.registration.service == service:
                forgive(endpoint)

    def available_builds(self, service: ServiceName, now_s: float) -> set[str]:
        """The builds of the available endpoints of ``service``."""
        return {e.registration.build for e in self._candidates(service, now_s)}

    def versions(self, service: ServiceName, now_s: float) -> frozenset[str]:
        """The software versions of ``service``, also of endpoints that ended lately."""
        present = (
            e.registration.version
            for e in self._endpoints.values()
            if e.registration.service == service
        )
        return self._version_history.versions(service, present, now_s)

    def has_versions(self, service: ServiceName, now_s: float) -> bool:
        """Whether a stream of a route to ``service`` may have begun at another version
        or service."""
        if self._version_history.is_shared(service, now_s):
            return True
        return len(self.versions(service, now_s)) > 1

    def set_shared_services(
        self, services: Collection[ServiceName], now_s: float
    ) -> None:
        """Set the services that share a route, or whose routes have just changed."""
        self._version_history.set_shared(services, now_s)

    def record_version(self, service: ServiceName, version: str, seen_s: float) -> None:
        """Record that an endpoint of ``service`` had a version at a time."""
        self._version_history.record(service, version, seen_s)

    def establish(self, subject: ServiceVersion) -> None:
        """Record that all entries know a version: streams may begin there."""
        self._version_history.establish(subject.service, subject.version)

    def is_established(self, subject: ServiceVersion) -> bool:
        """Whether streams may begin at a version beside others."""
        return self._version_history.is_established(subject.service, subject.version)

    def unestablished(
        self, services: Iterable[ServiceName], now_s: float
    ) -> list[ServiceVersion]:
        """The versions of services with several at which no stream may begin yet."""
        subjects = [
            ServiceVersion(service, version)
            for service in services
            if len(versions := self.versions(service, now_s)) > 1
            for version in versions
        ]
        if all(map(self.is_established, subjects)):
            return []
        for endpoint in self._endpoints.values():
            self._record_present(endpoint, now_s)
        return [s for s in subjects if not self.is_established(s)]

    def seen_versions(self) -> Iterable[tuple[ServiceName, str, float]]:
        """Each service and version, and when it was last seen."""
        return self._version_history

    def _record_version(self, registration: Registration, now_s: float) -> None:
        self.record_version(registration.service, registration.version, now_s)

    def registered_ids(self) -> list[EndpointId]:
        """The ids of the registered endpoints."""
        return [i for i, e in self._endpoints.items() if e.deregistered_at_s is None]

    def evict_deregistered(self, now_s: float) -> list[Endpoint]:
        """Remove and return endpoints that lost their registration and are idle."""
        known = [self._endpoints[i] for i in self._unregistered]
        gone = [e for e in known if now_s >= e.send_until_s and e.running == 0]
        for endpoint in gone:
            self._record_version(endpoint.registration, now_s)
            del self._endpoints[endpoint.endpoint_id]
            self._unregistered.discard(endpoint.endpoint_id)
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
        candidates = self._fitting(profile, now_s, avoid)
        if self._notices:
            candidates = [e for e in candidates if self._opens_in_s(e, now_s) <= 0]
        available = [
            e for e in candidates if has_capacity(e, fleet_load_ratio, max_connections)
        ]
        if (
            profile.origin is None
            # What was turned away elsewhere may use the room that is kept.
            and not avoid
            and self.has_versions(profile.service, now_s)
        ):
            available = self._keep_room(available, profile, now_s)
        if profile.resumable and profile.origin is None:
            # What begins in doubt can be taken up only once that is settled.
            sure = [e for e in available if not self.is_doubted(e)]
            available = sure or available
        return self._choose_among(
            available, candidates, profile, fleet_load_ratio, now_s
        )

    def _keep_room(
        self, available: list[Endpoint], profile: RequestProfile, now_s: float
    ) -> list[Endpoint]:
        """Keep new work off versions that shrink, while it has another place: streams
        that began there can go nowhere else."""
        service = profile.service
        counts = Counter(
            e.registration.version for e in self._candidates(service, now_s)
        )
        shrunk = self._version_history.shrunk(service, counts, now_s)
        kept = [e for e in available if e.registration.version not in shrunk]
        return kept or available

    def predict_at(
        self,
        endpoint_id: EndpointId,
        profile: RequestProfile,
        fleet_load_ratio: float,
        max_connections: int,
        now_s: float,
    ) -> Choice | None:
        """The choice of a given endpoint; ``None`` if it has no capacity."""
        candidates = self._fitting(profile, now_s)
        available = [
            e
            for e in candidates
            if e.endpoint_id == endpoint_id
            and has_capacity(e, fleet_load_ratio, max_connections)
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
        homes = home_engines(profile, candidates)
        healthy = [e for e in available if now_s >= e.ejected_until_s] or available

        costs = [
            (
                predict_s(e, profile, homes, self._zone, fleet_load_ratio, now_s),
                self._rng.random(),
                i,
            )
            for i, e in enumerate(healthy)
        ]
        predicted_s, _, index = min(costs)
        best = healthy[index]
        uncached = best.uncached_tokens(profile, is_home(best, homes), now_s)
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
        record_success(endpoint)

    def record_failure(self, endpoint: Endpoint, hard: bool, now_s: float) -> None:
        """Record a failed answer.

        :param hard: whether the connection failed, broke or timed out, so that the next
            request would fail too; otherwise the endpoint answered with an error.
        """
        if hard:
            record_unreached(endpoint, now_s)
        else:
            record_error(endpoint, self._peer_failure_rate(endpoint), now_s)

    # -- internals ---------------------------------------------------------

    def doubted(
        self, profile: RequestProfile, avoid: Collection[EndpointId], now_s: float
    ) -> list[EndpointId]:
        """The endpoints that a stream could go on at, if they were not in doubt."""
        return [
            e.endpoint_id
            for e in self._candidates(profile.service, now_s)
            if e.endpoint_id not in avoid
            and profile.fits(e.registration)
            and self.is_doubted(e)
        ]

    def _fitting(
        self,
        profile: RequestProfile,
        now_s: float,
        avoid: Collection[EndpointId] = (),
    ) -> list[Endpoint]:
        """The endpoints that a request may be sent to."""
        candidates = [
            e
            for e in self._candidates(profile.service, now_s)
            if e.endpoint_id not in avoid
        ]
        if profile.origin is None:
            return self._established(candidates, profile, now_s)
        fitting = [e for e in candidates if profile.fits(e.registration)]
        sure = [e for e in fitting if not self.is_doubted(e)]
        if sure or self.has_versions(profile.service, now_s):
            return sure
        return fitting

    def _established(
        self, candidates: list[Endpoint], profile: RequestProfile, now_s: float
    ) -> list[Endpoint]:
        """The endpoints at whose version a stream may begin."""
        if not profile.resumable or len(self.versions(profile.service, now_s)) < 2:
            return candidates
        for endpoint in candidates:
            self._record_present(endpoint, now_s)
        return [e for e in candidates if self.fits(e, profile, now_s)]

    def _record_present(self, endpoint: Endpoint, now_s: float) -> None:
        """Record for how long the version of an endpoint has been registered."""
        if endpoint.deregistered_at_s is None:
            registration = endpoint.registration
            self._version_history.record_present(
                registration.service,
                registration.version,
                endpoint.registered_at_s,
                now_s,
            )

    def _record_left(self, endpoint: Endpoint, now_s: float) -> None:
        """Record that a version is no longer registered at an endpoint."""
        self._record_present(endpoint, now_s)
        if endpoint.deregistered_at_s is None:
            registration = endpoint.registration
            # It may have left at any time since then.
            present_at_s = max(self.known_at_s, endpoint.registered_at_s)
            self._version_history.record_left(
                registration.service, registration.version, present_at_s
            )

    def _lapse_if_forgotten(self, registration: Registration, now_s: float) -> None:
        """Take a version that comes back for a new one if others may do so."""
        service, version = registration.service, registration.version
        if not self._version_history.may_have_lapsed(service, version, now_s):
            return
        if not any(
            e.deregistered_at_s is None
            and (e.registration.service, e.registration.version) == (service, version)
            for e in self._endpoints.values()
        ):
            self._version_history.lapse(service, version)

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
        if now_s >= endpoint.send_until_s:
            return False
        return not self._said_leaving(endpoint) or self._notices.is_last_resort(
            endpoint.endpoint_id, endpoint.registration.born_ms, now_s
        )

    def _said_leaving(self, endpoint: Endpoint) -> bool:
        return self._notices.is_leaving(
            endpoint.endpoint_id, endpoint.registration.born_ms
        )

    def _peer_failure_rate(self, endpoint: Endpoint) -> float:
        peers = [
            e.failure_rate
            for e in self._endpoints.values()
            if e.registration.service == endpoint.registration.service
            and e is not endpoint
        ]
        return sum(peers) / len(peers) if peers else 0.0

    def _opens_in_s(self, endpoint: Endpoint, now_s: float) -> float:
        return self._notices.opens_in_s(
            endpoint.endpoint_id, endpoint.registration.born_ms, now_s
        )


def _is_other_incarnation(known: Registration, registration: Registration) -> bool:
    """Whether a registration is of a later incarnation than the known one.

    Without a time of birth, another version tells it.
    """
    if known.born_ms and registration.born_ms:
        return known.born_ms < registration.born_ms
    versions = (known.version, registration.version)
    return all(versions) and versions[0] != versions[1]
