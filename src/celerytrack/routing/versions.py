"""The software versions of services, without I/O."""

from collections import defaultdict
from collections.abc import Collection, Iterable, Iterator, Mapping

import attrs

from celerytrack.ids import ServiceName
from celerytrack.origins.memory import KEEP_S

VIEW_LEASE_S = 1.5
"""How long a view of the registrations supports that a service has no other version,
counted from the begin of its read: longer than a poll and a slow answer together."""
ESTABLISHED_AFTER_S = VIEW_LEASE_S + 0.1
"""Time after which an entry lets streams begin at a version that it has just read, in
a service with several. By then an entry that does not know the version has no view
lease, and takes no other version for the only one."""
ESTABLISHED_WITHOUT_S = KEEP_S / 2
"""Time without a registration after which a version is new again: entries forget it at
different moments, :data:`KEEP_S` after they saw it."""
_CACHE_S = 0.25


@attrs.frozen
class _Count:
    count: int
    at_s: float


class VersionHistory:
    """The versions that endpoints of each service have, or had until lately.

    A version counts for as long as a stream that it began may be taken up.
    """

    def __init__(self) -> None:
        self._seen_s: defaultdict[ServiceName, dict[str, float]] = defaultdict(dict)
        self._shared: frozenset[ServiceName] = frozenset()
        self._shared_until_s: dict[ServiceName, float] = {}
        self._most: dict[tuple[ServiceName, str], _Count] = {}
        self._established: set[tuple[ServiceName, str]] = set()
        self._left_s: dict[tuple[ServiceName, str], float] = {}
        self._cached: dict[ServiceName, tuple[float, frozenset[str]]] = {}

    def __iter__(self) -> Iterator[tuple[ServiceName, str, float]]:
        """Each service and version, and when it was last seen."""
        for service, seen_s in self._seen_s.items():
            for version, at_s in seen_s.items():
                yield service, version, at_s

    def record(self, service: ServiceName, version: str, now_s: float) -> None:
        """Record that an endpoint has a version, or had it until now."""
        seen_s = self._seen_s[service]
        if version not in seen_s:
            self._cached.pop(service, None)
        seen_s[version] = max(now_s, seen_s.get(version, now_s))

    def record_present(
        self, service: ServiceName, version: str, since_s: float, now_s: float
    ) -> None:
        """Record that an endpoint with a version has been registered since a time."""
        if now_s - since_s >= ESTABLISHED_AFTER_S:
            self._established.add((service, version))

    def record_left(self, service: ServiceName, version: str, at_s: float) -> None:
        """Record that an endpoint with a version was registered until after a time."""
        self._left_s[service, version] = at_s

    def may_have_lapsed(self, service: ServiceName, version: str, now_s: float) -> bool:
        """Whether other entries may have forgotten a version, if no endpoint has it."""
        left_s = self._left_s.get((service, version))
        return left_s is not None and now_s - left_s > ESTABLISHED_WITHOUT_S

    def lapse(self, service: ServiceName, version: str) -> None:
        """Record that a version is new again."""
        self._established.discard((service, version))
        del self._left_s[service, version]

    def establish(self, service: ServiceName, version: str) -> None:
        """Record that all entries know a version."""
        self._established.add((service, version))

    def is_established(self, service: ServiceName, version: str) -> bool:
        """Whether all entries with a view lease know the version."""
        return (service, version) in self._established

    def set_shared(self, services: Collection[ServiceName], now_s: float) -> None:
        """Set the services among which routes are split now.

        A stream of such a route, or of one that was split or led to another service
        lately, may have begun at any of them.
        """
        ended = self._shared.difference(services)
        self._shared_until_s.update(dict.fromkeys(ended, now_s + KEEP_S))
        self._shared = frozenset(services)

    def is_shared(self, service: ServiceName, now_s: float) -> bool:
        """Whether a stream of a route to ``service`` may have begun at another."""
        if service in self._shared:
            return True
        return now_s < self._shared_until_s.get(service, 0.0)

    def shrunk(
        self, service: ServiceName, counts: Mapping[str, int], now_s: float
    ) -> set[str]:
        """The versions that lately had twice as many endpoints as now, or more.

        :param counts: the present number of endpoints of each version.
        """
        shrunk = set()
        for version, count in counts.items():
            most = self._most.get((service, version))
            if most is None or count >= most.count or now_s - most.at_s > KEEP_S:
                self._most[service, version] = _Count(count, now_s)
            elif 2 * count <= most.count:
                shrunk.add(version)
        return shrunk

    def versions(
        self, service: ServiceName, present: Iterable[str], now_s: float
    ) -> frozenset[str]:
        """The versions of a service; the answer is kept for a moment.

        :param present: the versions of its endpoints, evaluated only when needed.
        """
        cached = self._cached.get(service)
        if cached is not None and 0 <= now_s - cached[0] < _CACHE_S:
            return cached[1]
        seen_s = self._seen_s[service]
        seen_s.update(dict.fromkeys(present, now_s))
        for version, at_s in list(seen_s.items()):
            if now_s - at_s > KEEP_S:
                del seen_s[version]
                self._most.pop((service, version), None)
                self._established.discard((service, version))
                self._left_s.pop((service, version), None)
        versions = frozenset(seen_s)
        self._cached[service] = (now_s, versions)
        return versions
