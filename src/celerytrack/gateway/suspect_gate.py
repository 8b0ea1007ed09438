"""What becomes of a request that may end endpoints: sent, tried alone, or held back."""

import asyncio
import logging
import time

from celerytrack.endpoint import Choice, Endpoint
from celerytrack.events import Event, log_event
from celerytrack.findings import Probe
from celerytrack.gateway.exchange import AttemptFailure, Exchange
from celerytrack.gateway.state import Gateway
from celerytrack.ids import EndpointId
from celerytrack.process_end import CRASH_DETECTION_S
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Refusal, Verdict, did_not_run

_log = logging.getLogger(__name__)

TRIAL_USUALLY_S = 1.0
"""When to come back while a request is tried: most trials have ended by then."""
NOT_BY_ITSELF_S = 3_600.0
"""When to come back if only an operator's word helps: it may be given meanwhile."""


def standing_of(gateway: Gateway, exchange: Exchange, now_s: float) -> SuspectState:
    """What the request of ``exchange`` is taken for now."""
    book = gateway.suspects.book
    if not book or not book.has_prefix(exchange.place):
        return SuspectState.CLEAR
    builds = gateway.endpoints.available_builds(exchange.service, now_s)
    return book.state_of(exchange.fingerprint, builds, now_s)


def held_back(gateway: Gateway, exchange: Exchange, now_s: float) -> Refusal:
    """The refusal of a request that no endpoint gets now."""
    back_in_s = gateway.suspects.book.retry_after_s(exchange.fingerprint, now_s)
    if back_in_s is None:
        back_in_s = NOT_BY_ITSELF_S
    detail = f"endpoints ended under request {exchange.fingerprint.hex()}"
    after_s = max(back_in_s, TRIAL_USUALLY_S)
    return did_not_run(Reason.QUARANTINED, after_s, detail)


def not_sent(gateway: Gateway, exchange: Exchange, now_s: float) -> AttemptFailure:
    """The same of a request that may have been sent before."""
    refusal = held_back(gateway, exchange, now_s)
    return AttemptFailure(
        Reason.QUARANTINED, Verdict.DID_NOT_RUN, False, refusal.detail, sent=False
    )


def choose(
    gateway: Gateway, exchange: Exchange, standing: SuspectState, now_s: float
) -> Choice | None:
    """The endpoint for a request: suspects are kept apart from each other, and others
    from a request that is tried alone, where there is room."""
    apart = _apart(gateway, standing, now_s)
    chosen = _choose(gateway, exchange, [*exchange.tried, *apart], now_s)
    if chosen is None and apart:
        chosen = _choose(gateway, exchange, exchange.tried, now_s)
    return chosen


def _apart(gateway: Gateway, standing: SuspectState, now_s: float) -> set[EndpointId]:
    book = gateway.suspects.book
    if not book:
        return set()
    apart = book.probed_endpoints(now_s)
    if standing is not SuspectState.CLEAR:
        apart.update(gateway.suspects_at.elements())
    return apart


def _choose(
    gateway: Gateway, exchange: Exchange, avoid: list[EndpointId], now_s: float
) -> Choice | None:
    table = gateway.table
    assert table is not None
    service = table.services.get(exchange.service)
    connections = service.max_connections if service else 1
    load_times = gateway.load_times(now_s)
    return gateway.endpoints.choose(
        exchange.need, load_times, connections, avoid, now_s
    )


async def claim(gateway: Gateway, exchange: Exchange, endpoint: Endpoint) -> bool:
    """Begin to try a request alone; whether this entry may.

    The others are told before it is sent.
    """
    now_s = time.monotonic()
    fingerprint = exchange.fingerprint
    trial = Probe(fingerprint, endpoint.endpoint_id, exchange.ends_s - now_s)
    members = gateway.keeper.members.live_peers(now_s)
    others = [member.entry_id for member in members]
    if not await gateway.suspects.claim(trial, others):
        return False
    log_event(
        _log,
        Event.SUSPECT_TRIED,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        fingerprint=fingerprint.hex(),
        endpoint=endpoint.endpoint_id,
    )
    return True


def release(gateway: Gateway, exchange: Exchange) -> None:
    """A trial showed nothing; another may begin."""
    keeper = gateway.suspects
    keeper.publish(keeper.book.cancel_probe(exchange.fingerprint))


def release_when_known(gateway: Gateway, exchange: Exchange) -> None:
    """A trial broke off: another may begin once it is known whether the endpoint ended,
    which ends this one by itself."""
    loop = asyncio.get_running_loop()
    loop.call_later(CRASH_DETECTION_S, release, gateway, exchange)


def ended_well(gateway: Gateway, exchange: Exchange) -> None:
    """An endpoint answered the request whole: what ended others was not its doing."""
    keeper = gateway.suspects
    if not keeper.book or not keeper.book.has_prefix(exchange.place):
        return
    findings = keeper.book.record_success(exchange.fingerprint, time.monotonic())
    if findings.is_empty:
        return
    keeper.publish(findings)
    log_event(
        _log,
        Event.SUSPECT_CLEARED,
        logging.WARNING,
        request_id=exchange.facts.request_id,
        fingerprint=exchange.fingerprint.hex(),
        endings=[evidence.crash.endpoint_id for evidence in findings.cleared],
    )
