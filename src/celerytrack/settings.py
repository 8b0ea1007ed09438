"""Settings documents in JSON, validated on load.

There are two documents:

- :class:`Config`, the operators' declaration of classes of work and client
  accounts. It is kept in version control and published on the platform log by
  ``celerytrackctl apply``; entries read it from there.
- :class:`FleetSettings`, which each process reads at start: the addresses and
  failure domains of the fleet, and the addresses of the platform's services.

Both are attrs value classes that cattrs structures from JSON. An invalid document
raises :class:`SettingsError`, which names the field path and the reason.
"""

import collections
import enum
import json
import pathlib
import re
from typing import Any

import attrs
from attrs import validators as v

from celerytrack import strict
from celerytrack.callers.limits import CallerLimits
from celerytrack.ids import AccountId, ClassName, EntryId, ReplicaId, Zone
from celerytrack.strict import strict_converter

MIN_KEY_CHARS = 8
"""Shortest key in characters; shorter ones can be guessed by brute force."""
POST_DRAIN_S = 4.0
"""Time that a planned stop needs after the last request in progress, to write the last
bills and to close."""
_NAME = re.compile(r"^[a-z0-9][a-z0-9._-]{0,62}$")
_ADDRESS = re.compile(r"^127\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d{1,5}$|^[\w.-]+:\d{1,5}$")


def _validate_name(
    instance: object, attribute: "attrs.Attribute[Any]", value: str
) -> None:
    if not _NAME.match(value):
        raise ValueError(f"{attribute.name} {value!r} must match {_NAME.pattern}")


def _validate_address(
    instance: object, attribute: "attrs.Attribute[Any]", value: str
) -> None:
    if not _ADDRESS.match(value):
        raise ValueError(f"{attribute.name} {value!r} must be host:port")


def _validate_optional_address(
    instance: object, attribute: "attrs.Attribute[Any]", value: str
) -> None:
    if value:
        _validate_address(instance, attribute, value)


def _validate_key(
    instance: object, attribute: "attrs.Attribute[Any]", value: str
) -> None:
    if len(value) < MIN_KEY_CHARS:
        raise ValueError(
            f"key must have {MIN_KEY_CHARS} characters or more: {len(value)}"
        )


def _validate_stop_grace(
    instance: "EntryTuning", attribute: "attrs.Attribute[Any]", value: float
) -> None:
    min_s = instance.drain_grace_s + POST_DRAIN_S
    if value < min_s:
        raise ValueError(
            f"{attribute.name} must be drain_grace_s and {POST_DRAIN_S} more, "
            f"{min_s} at least: {value}"
        )


_positive: Any = v.gt(0)
_non_negative: Any = v.ge(0)


class BackendKind(enum.Enum):
    """The kind of replica that serves a class of work."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class WorkClass:
    """A class of work as operators declare it.

    :ivar name: the value of ``model`` in callers' requests.
    :ivar kind: model engine or plain service.
    :ivar model: the model (engine) or service name that serves it.
    :ivar ttft_target_s: target time to the first token (engine) or answer.
    :ivar max_output_tokens: limit of generated tokens; admission reserves that many.
    :ivar priority: 0 is the most urgent, which is shed last.
    :ivar idempotent: whether a request may run twice.
    :ivar service_cost_tokens: tokens billed for one plain-service call.
    """

    name: ClassName = attrs.field(validator=_validate_name)
    kind: BackendKind
    model: str = attrs.field(validator=_validate_name)
    ttft_target_s: float = attrs.field(validator=_positive)
    max_output_tokens: int = attrs.field(default=256, validator=_non_negative)
    priority: int = attrs.field(default=1, validator=v.and_(v.ge(0), v.le(9)))
    idempotent: bool = True
    service_cost_tokens: int = attrs.field(default=1, validator=_non_negative)


@attrs.frozen
class Account:
    """A client account: its id and the key that authenticates its requests."""

    account_id: AccountId = attrs.field(validator=_validate_name)
    key: str = attrs.field(validator=_validate_key)


@attrs.frozen
class GrantPolicy:
    """How entries take escrow grants from the ledger.

    :ivar grant_tokens: smallest grant, as long as that many tokens are free.
    :ivar low_water_tokens: request the next grant when fewer tokens are held.
    :ivar cover_s: hold enough tokens for this time at the entry's recent spend rate.
    :ivar lease_s: an entry stops spending a grant this long after requesting it; the
        grants of a dead entry are reclaimed this long after it is listed as gone.
    """

    grant_tokens: int = attrs.field(default=4000, validator=_positive)
    low_water_tokens: int = attrs.field(default=1000, validator=_non_negative)
    cover_s: float = attrs.field(default=300.0, validator=_non_negative)
    lease_s: float = attrs.field(default=600.0, validator=_positive)


def _unique(field: str) -> Any:
    def check(instance: object, attribute: "attrs.Attribute[Any]", value: Any) -> None:
        counts = collections.Counter(getattr(item, field) for item in value)
        duplicates = sorted(n for n, c in counts.items() if c > 1)
        if duplicates:
            raise ValueError(f"{attribute.name}: duplicate {field} {duplicates}")

    return check


@attrs.frozen
class Config:
    """The operators' declaration, published on the platform log as one record."""

    deployment: str = attrs.field(validator=_validate_name)
    classes: tuple[WorkClass, ...] = attrs.field(validator=_unique("name"))
    accounts: tuple[Account, ...] = attrs.field(validator=_unique("account_id"))
    grant: GrantPolicy = GrantPolicy()
    _by_name: dict[str, WorkClass] = attrs.field(init=False, eq=False, repr=False)
    _by_key: dict[str, Account] = attrs.field(init=False, eq=False, repr=False)

    def __attrs_post_init__(self) -> None:
        # Indexes, so that look-ups per request do not scan 2,500 accounts.
        object.__setattr__(self, "_by_name", {c.name: c for c in self.classes})
        object.__setattr__(self, "_by_key", {a.key: a for a in self.accounts})

    def work_class(self, name: str) -> WorkClass | None:
        """The class named ``name``, or ``None``."""
        return self._by_name.get(name)

    def account_by_key(self, key: str) -> Account | None:
        """The account whose key is ``key``, or ``None``."""
        return self._by_key.get(key)


@attrs.frozen
class EntrySpec:
    """One entry instance: its id, addresses and failure domain.

    :ivar address: listen address for callers.
    :ivar peer_address: listen address for the other entries.
    :ivar relay_address: listen address for callers' requests that other entries send
        through this one; empty if it takes none.
    """

    entry_id: EntryId = attrs.field(validator=_validate_name)
    address: str = attrs.field(validator=_validate_address)
    peer_address: str = attrs.field(validator=_validate_address)
    zone: Zone = attrs.field(validator=_validate_name)
    relay_address: str = attrs.field(default="", validator=_validate_optional_address)


@attrs.frozen
class ReplicaSpec:
    """One replica: a model engine or a plain service."""

    replica_id: ReplicaId = attrs.field(validator=_validate_name)
    address: str = attrs.field(validator=_validate_address)
    zone: Zone = attrs.field(validator=_validate_name)
    kind: BackendKind
    model: str = attrs.field(validator=_validate_name)
    ignores_fence: bool = False


@attrs.frozen
class PlatformSpec:
    """Addresses of the platform's services."""

    log_address: str = attrs.field(validator=_validate_address)
    instances_address: str = attrs.field(validator=_validate_address)
    weights_address: str = attrs.field(validator=_validate_address)


@attrs.frozen
class EntryTuning:
    """Timings of an entry instance.

    :ivar ledger_flush_s: minimum interval between appends to the ledger.
    :ivar route_ttl_s: how long callers cache an address answer.
    :ivar drain_grace_s: how long requests in progress may continue on a planned stop.
    :ivar stop_grace_s: time from the stop signal to the kill by the supervisor.
    :ivar upstream_timeout_s: longest wait for the first byte from a replica.
    :ivar instance_poll_s: interval between reads of the instance list, loads and peers.
    :ivar snapshot_every_s: interval between snapshots of the state in force on the
        log; must be well under half of the log's retention.
    :ivar callers: what callers may hold of the process.
    """

    ledger_flush_s: float = attrs.field(default=0.02, validator=_positive)
    route_ttl_s: float = attrs.field(default=2.0, validator=_positive)
    drain_grace_s: float = attrs.field(default=30.0, validator=_positive)
    stop_grace_s: float = attrs.field(default=40.0, validator=_validate_stop_grace)
    upstream_timeout_s: float = attrs.field(default=30.0, validator=_positive)
    instance_poll_s: float = attrs.field(default=0.5, validator=_positive)
    snapshot_every_s: float = attrs.field(default=60.0, validator=_positive)
    callers: CallerLimits = CallerLimits()
    placement: str = attrs.field(
        default="predicted",
        validator=v.in_(("predicted", "round_robin", "least_loaded")),
    )
    """Replica choice: ``predicted``; the others are baselines for benchmarks."""


@attrs.frozen
class FleetSettings:
    """The layout of the fleet, which each process reads at start."""

    deployment: str = attrs.field(validator=_validate_name)
    zones: tuple[Zone, ...]
    platform: PlatformSpec
    entries: tuple[EntrySpec, ...] = attrs.field(validator=_unique("entry_id"))
    replicas: tuple[ReplicaSpec, ...] = attrs.field(validator=_unique("replica_id"))
    tuning: EntryTuning = EntryTuning()

    def __attrs_post_init__(self) -> None:
        known = set(self.zones)
        zones = [e.zone for e in self.entries] + [r.zone for r in self.replicas]
        for zone in zones:
            if zone not in known:
                raise ValueError(f"zone {zone!r} is not in zones {self.zones}")

    def entry(self, entry_id: str) -> EntrySpec:
        """The entry named ``entry_id``.

        :raises SettingsError: if there is none.
        """
        for spec in self.entries:
            if spec.entry_id == entry_id:
                return spec
        raise SettingsError(f"$.entries: no entry_id {entry_id!r}")

    def replica(self, replica_id: str) -> ReplicaSpec:
        """The replica named ``replica_id``.

        :raises SettingsError: if there is none.
        """
        for spec in self.replicas:
            if spec.replica_id == replica_id:
                return spec
        raise SettingsError(f"$.replicas: no replica_id {replica_id!r}")


class SettingsError(ValueError):
    """An invalid settings document; the message names the path and the reason."""


_converter = strict_converter(forbid_extra_keys=True)


def structure(data: Any, cls: type[Any]) -> Any:
    """Structure parsed JSON as ``cls``.

    :raises SettingsError: naming the path of each bad field and the reason.
    """
    try:
        return strict.structure(_converter, data, cls)
    except strict.UnreadableError as exc:
        raise SettingsError(str(exc)) from None


def unstructure(value: Any) -> Any:
    """Convert a settings value back to plain JSON data."""
    return _converter.unstructure(value)


def load_json(path: str | pathlib.Path, cls: type[Any]) -> Any:
    """Read the JSON file at ``path`` and validate it as ``cls``.

    :raises SettingsError: if the file is not JSON or not a valid ``cls``.
    """
    text = pathlib.Path(path).read_text()
    try:
        data = json.loads(text)
    except json.JSONDecodeError as exc:
        raise SettingsError(f"{path}: not JSON: {exc}") from None
    return structure(data, cls)
