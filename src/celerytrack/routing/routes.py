"""The configured routes, services and client accounts, and route matching, without I/O.

A :class:`RoutingTable` is one version of the operators' configuration. It is immutable
and replaced as a whole, so that a request is handled by one version from start to end.
"""

import enum
from collections.abc import Mapping

import attrs

from celerytrack.callers.limits import CallerTimes
from celerytrack.ids import AccountId, ServiceName

DEFAULT_HEALTH_PATH = "/health"
"""Path at which endpoints say who they are if the configuration names none."""
DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024
"""Largest request body if the configuration sets no limit."""


class RetrySafety(enum.Enum):
    """Whether the requests of a route may be repeated."""

    IDEMPOTENT = "idempotent"
    """A request may run any number of times."""
    AT_MOST_ONCE = "at_most_once"
    """A request may run once. It is sent again only if it provably did not run."""


@attrs.frozen
class Route:
    """One route: the requests that it matches and how they are handled.

    :ivar prefix: path prefix, beginning and ending with a slash.
    :ivar services: ``(service, weight)`` pairs among which requests are split.
    :ivar stream: whether answers are server-sent events.
    :ivar resumable: whether a broken stream may be resumed at another endpoint.
    :ivar timeout_s: longest time that a request may take.
    :ivar target_s: latency objective; for streams, of the first event.
    :ivar max_attempts: most endpoints to which one request may be sent.
    :ivar priority: 0 is the most urgent.
    :ivar public: whether requests need no key.
    :ivar has_prompt: whether requests list the parts of their prompt.
    """

    name: str
    host: str
    prefix: str
    services: tuple[tuple[ServiceName, float], ...]
    retry_safety: RetrySafety
    stream: bool
    resumable: bool
    timeout_s: float
    target_s: float
    max_attempts: int = 1
    priority: int = 1
    public: bool = False
    has_prompt: bool = False

    @property
    def is_retry_safe(self) -> bool:
        """Whether a request that may have run may be sent again."""
        return self.retry_safety is RetrySafety.IDEMPOTENT or self.resumable


@attrs.frozen
class Service:
    """One service: a set of endpoints that serve the same requests.

    :ivar max_connections: connections that one endpoint accepts from all entries.
    :ivar health_path: path at which an endpoint says who it is.
    :ivar max_event_tokens: most output tokens in one event of a model engine's stream.
    """

    name: ServiceName
    max_connections: int
    max_event_tokens: int = 1
    health_path: str = DEFAULT_HEALTH_PATH


@attrs.frozen
class ClientAccount:
    """A client account: its keys and its prepaid total.

    :ivar prepaid_tokens: tokens that it may consume in total; ``None`` for no limit.
    :ivar priority: overrides the priority of the route; ``None`` if not set.
    """

    account_id: AccountId
    keys: frozenset[str]
    prepaid_tokens: int | None = None
    priority: int | None = None


@attrs.frozen
class RoutingTable:
    """One version of the configuration.

    :ivar version: grows with every change.
    :ivar requires_key: whether requests to routes that aren't public need a key.
    :ivar caller_times: how long callers may take.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[ServiceName, Service]
    accounts: tuple[ClientAccount, ...]
    requires_key: bool
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    caller_times: CallerTimes = CallerTimes()
    _by_host: dict[str, list[Route]] = attrs.field(init=False, eq=False, repr=False)
    _by_key: dict[str, ClientAccount] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        for routes in by_host.values():
            routes.sort(key=lambda r: len(r.prefix), reverse=True)
        by_key = {key: a for a in self.accounts for key in a.keys}
        object.__setattr__(self, "_by_host", by_host)
        object.__setattr__(self, "_by_key", by_key)

    @property
    def top_priority(self) -> int:
        """The priority of the most urgent route whose requests have prompts."""
        priorities = (route.priority for route in self.routes if route.has_prompt)
        return min(priorities, default=0)

    def match(self, host: str, path: str) -> Route | None:
        """The route of ``host`` with the longest prefix of ``path``."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account_by_key(self, key: str) -> ClientAccount | None:
        """The account to which ``key`` belongs, or ``None``."""
        return self._by_key.get(key)


def pick_service(route: Route, point: float) -> ServiceName:
    """The service a request of ``route`` goes to.

    :param point: a uniform draw from [0, 1).
    """
    total = sum(weight for _, weight in route.services)
    left = point * total
    for name, weight in route.services:
        left -= weight
        if left < 0:
            return name
    return route.services[-1][0]


def shared_services(table: RoutingTable) -> set[ServiceName]:
    """The services among which a route is split."""
    return {
        service
        for route in table.routes
        if len(route.services) > 1
        for service, _ in route.services
    }


def moved_services(before: RoutingTable, after: RoutingTable) -> set[ServiceName]:
    """The services, before and after, of routes that lead elsewhere by a change."""
    services_before = {route.name: dict(route.services) for route in before.routes}
    moved: set[ServiceName] = shared_services(before)
    for route in after.routes:
        old, new = services_before.get(route.name), dict(route.services)
        if old is not None and old.keys() != new.keys():
            moved.update(old, new)
    return moved
