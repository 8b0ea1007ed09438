"""Applies changes of the configuration and of the endpoints' registrations."""

import logging
import time

from celerytrack._recent import RecentKeys
from celerytrack.events import Event, log_event
from celerytrack.gateway.origins import correct_origins
from celerytrack.gateway.state import Gateway
from celerytrack.gateway.tail import KeyedTail
from celerytrack.ids import EndpointId
from celerytrack.platform.config import ConfigError, decode_config
from celerytrack.platform.log_format import KeyedRecord
from celerytrack.platform.registry import RegistrationError, decode_registration
from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC, ENDPOINTS_TOPIC
from celerytrack.record_faults import MAX_KNOWN_FAULTS
from celerytrack.routing.endpoint import Registration
from celerytrack.routing.endpoints import RegistrationChange
from celerytrack.routing.routes import moved_services, shared_services

_log = logging.getLogger(__name__)

UNSEEN_GAP_S = 3.0
"""Time without a view of the registrations after which the versions are read from the
log: some may have come up and ended in it."""


def make_config_tail(gateway: Gateway) -> KeyedTail:
    """Return a tail that applies the operators' configuration."""

    def apply(record: KeyedRecord) -> None:
        if record.key == CONFIG_KEY and record.value is not None:
            _apply_config(gateway, record.value)

    def on_caught_up(at_s: float) -> None:
        # A restored log may lack versions that were confirmed. Until they are written
        # again, a route or key missing from the configuration here may exist.
        if gateway.eras.is_rewritten_by(at_s):
            gateway.config_known_at_s = at_s

    return KeyedTail(
        gateway.store,
        CONFIG_TOPIC,
        apply,
        on_caught_up=on_caught_up,
        eras=gateway.eras,
        only_key=CONFIG_KEY,
    )


def _apply_config(gateway: Gateway, raw: bytes) -> None:
    try:
        table = decode_config(raw)
    except ConfigError as exc:
        log_event(_log, Event.CONFIG_REJECTED, logging.ERROR, detail=str(exc))
        return
    known = gateway.routing_table
    if known is not None and table.version <= known.version:
        # A read that lags behind must not reinstate an older version.
        log_event(_log, Event.CONFIG_IGNORED_STALE, version=table.version)
        return
    now_s = time.monotonic()
    if known is not None:
        # Streams of a route that moves may have begun at its service before.
        gateway.endpoints.set_shared_services(moved_services(known, table), now_s)
    gateway.endpoints.set_shared_services(shared_services(table), now_s)
    gateway.routing_table = table
    gateway.share_sync.budgets.set_totals(
        {
            a.account_id: a.prepaid_tokens
            for a in table.accounts
            if a.prepaid_tokens is not None
        }
    )
    gateway.telemetry.config_version.set(table.version)
    log_event(
        _log, Event.CONFIG_APPLIED, version=table.version, routes=len(table.routes)
    )


def _log_registration(registration: Registration, result: RegistrationChange) -> None:
    event = Event.ENDPOINT_REGISTERED
    if result is RegistrationChange.STALE:
        event = Event.ENDPOINT_STALE
    elif result is RegistrationChange.RESTARTED:
        event = Event.ENDPOINT_STARTED_AGAIN
    elif registration.draining:
        event = Event.ENDPOINT_DRAINING
    log_event(
        _log,
        event,
        endpoint=registration.endpoint_id,
        service=registration.service,
        version=registration.version,
        born_ms=registration.born_ms,
    )


def _presume_brittle(
    gateway: Gateway, registration: Registration, now_s: float
) -> None:
    """Take a new endpoint for brittle while others of its service are.

    Until its first answer, each entry would send it as much as it likes.
    """
    borne = [
        bears_per_s
        for endpoint_id, bears_per_s in gateway.notices.limits.tracker.brittle().items()
        if gateway.endpoints.service_of(endpoint_id) == registration.service
    ]
    if borne:
        gateway.notices.limits.presume_brittle(
            registration.endpoint_id, registration.born_ms, min(borne), now_s
        )


def make_endpoint_tail(gateway: Gateway) -> KeyedTail:
    """Return a tail that applies the endpoints' registrations."""
    faults = RecentKeys(MAX_KNOWN_FAULTS)

    known_before_s = gateway.endpoints.known_at_s

    def drop(endpoint_id: EndpointId, present_at_s: float | None = None) -> None:
        now_s = time.monotonic()
        gateway.endpoints.mark_deregistered(endpoint_id, now_s, present_at_s)
        log_event(_log, Event.ENDPOINT_GONE, endpoint=endpoint_id)

    def apply(record: KeyedRecord) -> None:
        now_s = time.monotonic()
        for endpoint in gateway.endpoints.evict_deregistered(now_s):
            gateway.connections.drop(endpoint.endpoint_id)
            gateway.notices.forget(endpoint.endpoint_id)
            log_event(_log, Event.ENDPOINT_GONE, endpoint=endpoint.endpoint_id)
        endpoint_id = EndpointId(record.key)
        if record.value is None:
            drop(endpoint_id)
            return
        try:
            registration = decode_registration(record.key, record.value)
        except RegistrationError as exc:
            # Whoever wrote the record, it does not allow requests to be sent, and
            # the previous registration is no longer valid.
            detail = str(exc)
            if faults.add(detail):
                log_event(
                    _log, Event.REGISTRATION_REJECTED, logging.ERROR, detail=detail
                )
            gateway.endpoints.deregister_now(endpoint_id, now_s)
            return
        result = gateway.endpoints.register(registration, now_s)
        if result is RegistrationChange.RESTARTED:
            correct_origins(gateway, registration)
            gateway.connections.drop(endpoint_id)
            gateway.notices.forget(endpoint_id)
        service, version = registration.service, registration.version
        # Of a service that isn't configured there are no streams.
        is_ours = service in gateway.configured_services()
        if (
            is_ours
            and gateway.endpoints_known
            and gateway.endpoints.has_versions(service, now_s)
        ):
            gateway.origins.announce_version(service, version, now_s)
        if result in (RegistrationChange.NEW, RegistrationChange.RESTARTED):
            _presume_brittle(gateway, registration, now_s)
        if result is not RegistrationChange.SAME:
            _log_registration(registration, result)

    def on_reload(keys: set[str]) -> None:
        if gateway.endpoints_known:
            # In the part that was skipped a version may have come up and ended.
            gateway.version_records.reload()
        gateway.endpoints_known = True
        now_s = time.monotonic()
        rewritten = gateway.eras.is_rewritten_by(now_s)
        for endpoint_id in gateway.endpoints.registered_ids():
            if endpoint_id in keys:
                continue
            if rewritten:
                # By now the whole topic is known; this one may have left long before.
                drop(endpoint_id, known_before_s)
            else:
                gateway.endpoints.restored_registrations.mark_missing(
                    endpoint_id, now_s
                )

    def on_caught_up(at_s: float) -> None:
        for endpoint_id in gateway.endpoints.restored_registrations.pop_expired(
            time.monotonic()
        ):
            drop(endpoint_id)
        is_gap = at_s - gateway.endpoints_known_at_s > UNSEEN_GAP_S
        if gateway.endpoints_known and is_gap:
            gateway.version_records.reload()
        nonlocal known_before_s
        known_before_s = gateway.endpoints.known_at_s
        gateway.endpoints_known_at_s = gateway.endpoints.known_at_s = at_s
        if gateway.eras.is_rewritten_by(at_s):
            if not gateway.eras.is_rewritten_by(gateway.complete_view_at_s):
                # The records of versions were read before others wrote them again.
                gateway.version_records.reload()
            gateway.complete_view_at_s = at_s
        gateway.resolve_origins()
        gateway.endpoints_read_time_s = tail.last_read_s
        gateway.sole_versions.on_view()

    def on_reachability(reachable: bool) -> None:
        gateway.endpoints_reachable = reachable

    tail = KeyedTail(
        gateway.store,
        ENDPOINTS_TOPIC,
        apply,
        on_reload,
        on_caught_up,
        on_reachability,
        gateway.eras,
    )
    gateway.read_endpoints_now = tail.read_now
    return tail
