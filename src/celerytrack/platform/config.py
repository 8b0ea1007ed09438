"""Decoding of the operators' configuration from the platform's store."""

import attrs
from attrs import validators as v

from celerytrack.callers.limits import CallerTimes
from celerytrack.ids import AccountId, ServiceName
from celerytrack.routing.routes import (
    DEFAULT_HEALTH_PATH,
    DEFAULT_MAX_BODY_BYTES,
    ClientAccount,
    RetrySafety,
    Route,
    RoutingTable,
    Service,
)
from celerytrack.strict import (
    UnreadableError,
    parse_json,
    strict_converter,
    structure,
)


class ConfigError(ValueError):
    """A configuration record cannot be decoded."""


MAX_PREPAID_TOKENS = 2**53
"""Largest prepaid total: exact in JSON, and sums of entries' claims fit 64 bits."""

_DEFAULT_TIMES = CallerTimes()
NO_CONTROLS = r"[^\x00-\x1f\x7f]+"
"""Text that a header may carry."""

# Attributes have the store's field names; undeclared fields are ignored.
# ruff: noqa: N815


@attrs.frozen
class _Split:
    service: str
    weight: float = attrs.field(validator=v.ge(0))


@attrs.frozen
class _Route:
    name: str
    host: str
    pathPrefix: str = attrs.field(validator=v.matches_re(r"/(.*/)?"))
    kind: str
    service: str | None = None
    trafficSplit: tuple[_Split, ...] | None = attrs.field(default=None)
    streamResume: bool = False
    timeoutMs: float = attrs.field(default=10_000, validator=v.gt(0))
    goalMs: float = attrs.field(default=1_000, validator=v.gt(0))
    maxAttempts: int = attrs.field(default=1, validator=v.ge(1))
    priority: int = attrs.field(default=1, validator=v.ge(0))
    public: bool = False
    affinity: bool = False

    @trafficSplit.validator
    def _check_destination(self, attribute: object, split: object) -> None:
        if self.service is None and not split:
            raise ValueError("a route names a service or a split")


@attrs.frozen
class _Engine:
    stride: int = attrs.field(default=1, validator=v.ge(1))


@attrs.frozen
class _Service:
    name: str
    connLimit: int = attrs.field(default=100, validator=v.ge(1))
    healthPath: str = attrs.field(
        default=DEFAULT_HEALTH_PATH, validator=v.matches_re(r"/[!-~]*")
    )
    engine: _Engine | None = None


@attrs.frozen
class _Tenant:
    # It becomes a header of each of its requests.
    name: str = attrs.field(validator=v.matches_re(NO_CONTROLS))
    apiKeys: tuple[str, ...] = ()
    prepaid: float | None = attrs.field(
        default=None,
        validator=v.optional(v.and_(v.ge(0), v.le(MAX_PREPAID_TOKENS))),
    )
    priority: int | None = None


@attrs.frozen
class _Limits:
    bodyBytes: int = attrs.field(default=DEFAULT_MAX_BODY_BYTES, validator=v.ge(0))
    headerTimeoutMs: float = attrs.field(
        default=_DEFAULT_TIMES.head_s * 1_000, validator=v.gt(0)
    )
    idleTimeoutMs: float = attrs.field(
        default=_DEFAULT_TIMES.idle_s * 1_000, validator=v.gt(0)
    )


@attrs.frozen
class _Config:
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] | None = None
    limits: _Limits = _Limits()


_converter = strict_converter(forbid_extra_keys=False)


def decode_config(raw: bytes) -> RoutingTable:
    """Decode one version of the configuration.

    :raises ConfigError: naming what is wrong.
    """
    try:
        data: _Config = structure(_converter, parse_json(raw), _Config)
    except UnreadableError as exc:
        raise ConfigError(f"configuration: {exc}") from None
    return RoutingTable(
        version=data.version,
        routes=tuple(map(_route, data.routes)),
        services={ServiceName(s.name): _service(s) for s in data.services},
        accounts=tuple(map(_account, data.tenants or ())),
        requires_key=data.tenants is not None,
        max_body_bytes=data.limits.bodyBytes,
        caller_times=CallerTimes(
            head_s=data.limits.headerTimeoutMs / 1_000,
            idle_s=data.limits.idleTimeoutMs / 1_000,
        ),
    )


def _route(data: _Route) -> Route:
    # A route names one service, or several among which its requests are split.
    split = data.trafficSplit or (_Split(data.service or "", 1.0),)
    stream = data.kind == "stream"
    return Route(
        name=data.name,
        host=data.host.lower(),
        prefix=data.pathPrefix,
        services=tuple((ServiceName(s.service), s.weight) for s in split),
        retry_safety=(
            RetrySafety.IDEMPOTENT
            if data.kind == "idempotent"
            else RetrySafety.AT_MOST_ONCE
        ),
        stream=stream,
        resumable=stream and data.streamResume,
        timeout_s=data.timeoutMs / 1_000,
        target_s=data.goalMs / 1_000,
        max_attempts=data.maxAttempts,
        priority=data.priority,
        public=data.public,
        # On the wire this is called affinity. It means that the requests of the route
        # name the parts of their prompts.
        has_prompt=data.affinity,
    )


def _service(data: _Service) -> Service:
    return Service(
        name=ServiceName(data.name),
        max_connections=data.connLimit,
        health_path=data.healthPath,
        # The stride is the step between the token counts of two consecutive events.
        max_event_tokens=data.engine.stride if data.engine else 1,
    )


def _account(data: _Tenant) -> ClientAccount:
    return ClientAccount(
        account_id=AccountId(data.name),
        keys=frozenset(data.apiKeys),
        prepaid_tokens=None if data.prepaid is None else int(data.prepaid),
        priority=data.priority,
    )
