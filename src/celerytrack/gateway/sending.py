"""One attempt of a request: chooses its endpoint, sends it, and records what came of it
about the endpoint and about the request."""

import time

from returns.result import Failure, Success

from celerytrack.callers.answers import free_place
from celerytrack.gateway.attempt_failures import AttemptResult, withheld
from celerytrack.gateway.attempts import attempt
from celerytrack.gateway.crash_detector import Interrupted
from celerytrack.gateway.current_view import current_view_s
from celerytrack.gateway.exchange import AttemptFailure, Exchange
from celerytrack.gateway.openings import refused_until_opening, wait_for_opening
from celerytrack.gateway.origins import settle_doubts, settle_origin
from celerytrack.gateway.outcomes import log_resumed, record_attempt_failure
from celerytrack.gateway.placement import (
    IN_DOUBT,
    Placement,
    is_backing_off,
    is_backpressure,
    no_endpoint,
    none_has_room,
    place,
)
from celerytrack.gateway.quarantine import (
    begin_probe,
    cancel_probe,
    cancel_probe_later,
    choose_endpoint,
    quarantine_failure,
    record_success,
    suspect_state_of,
)
from celerytrack.gateway.relay import links_down, relay
from celerytrack.gateway.state import Gateway
from celerytrack.limits.room import LeaseOutcome
from celerytrack.routing.endpoint import Endpoint
from celerytrack.suspects import SuspectState
from celerytrack.verdict import Reason, Verdict


async def make_attempt(gateway: Gateway, exchange: Exchange) -> AttemptResult:
    """Place a request and send it once.

    :raises CallerDisconnectedError: if the caller disconnects during the answer.
    """
    if gateway.reach.tracker and not await _may_send_directly(gateway, exchange):
        if exchange.sender is not None:
            return Failure(links_down())
        result = await relay(gateway, exchange)
        if not _may_fall_back(gateway, exchange, result):
            return result
    may_free = True
    while True:
        if not await settle_origin(gateway, exchange):
            return Failure(no_endpoint(IN_DOUBT))
        now_s = await current_view_s(gateway)
        if gateway.is_endpoint_view_stale(now_s):
            return Failure(no_endpoint("what is known of endpoints is too old"))
        suspect_state = suspect_state_of(gateway, exchange, now_s)
        if suspect_state is SuspectState.QUARANTINED:
            return Failure(quarantine_failure(gateway, exchange, now_s))
        if not gateway.notices:
            chosen = choose_endpoint(gateway, exchange, suspect_state, now_s)
            if chosen is None:
                if await settle_doubts(gateway, exchange):
                    continue
                if may_free and await free_place(
                    gateway.callers.account, exchange.service
                ):
                    may_free = False
                    continue
                return Failure(none_has_room(gateway, exchange, now_s))
            placement = Placement(chosen)
            return await _send_placed(gateway, exchange, placement, suspect_state)
        placed = await place(gateway, exchange, suspect_state)
        if isinstance(placed, Placement):
            if suspect_state_of(gateway, exchange, time.monotonic()) != suspect_state:
                # Endpoints crashed under it, or it was cleared, while it waited.
                placed.end_lease(gateway, LeaseOutcome.FAILED)
                continue
            return await _send_leased(gateway, exchange, placed, suspect_state)
        if await settle_doubts(gateway, exchange):
            continue
        if may_free and await free_place(gateway.callers.account, exchange.service):
            may_free = False
            continue
        if not await wait_for_opening(gateway, exchange):
            return Failure(refused_until_opening(gateway, exchange, placed))


async def _may_send_directly(gateway: Gateway, exchange: Exchange) -> bool:
    """Whether this entry reaches the service, once a doubt of it is settled."""
    service = exchange.service
    await gateway.reach.settled(service)
    in_progress = sum(
        other.dispatch is not None and other.service == service
        for other in gateway.exchanges
    )
    return gateway.reach.tracker.has_direct_room(service, in_progress)


def _may_fall_back(gateway: Gateway, exchange: Exchange, result: AttemptResult) -> bool:
    """Whether a request that no other entry took is sent directly: while load returns
    to links that work again."""
    match result:
        case Failure(failure) if not failure.sent:
            return not gateway.reach.is_down(exchange.service)
    return False


async def _send_leased(
    gateway: Gateway,
    exchange: Exchange,
    placement: Placement,
    suspect_state: SuspectState,
) -> AttemptResult:
    outcome = LeaseOutcome.ABANDONED
    try:
        result = await _send_placed(gateway, exchange, placement, suspect_state)
        ran = isinstance(result, Success)
        outcome = LeaseOutcome.RAN if ran else LeaseOutcome.FAILED
        return result
    finally:
        placement.end_lease(gateway, outcome)


async def _send_placed(
    gateway: Gateway,
    exchange: Exchange,
    placement: Placement,
    suspect_state: SuspectState,
) -> AttemptResult:
    if suspect_state is SuspectState.CLEAR:
        return await _send(gateway, exchange, placement)
    if suspect_state is SuspectState.WATCHED:
        return await _send_suspect(gateway, exchange, placement)
    return await _send_probe(gateway, exchange, placement)


async def _send_probe(
    gateway: Gateway, exchange: Exchange, placement: Placement
) -> AttemptResult:
    endpoint = placement.choice.endpoint
    if not await begin_probe(gateway, exchange, endpoint):
        return Failure(quarantine_failure(gateway, exchange, time.monotonic()))
    finish_probe = cancel_probe
    try:
        if not gateway.endpoints.is_available(endpoint, time.monotonic()):
            return Failure(no_endpoint("the endpoint left as it was claimed"))
        result = await _send_suspect(gateway, exchange, placement)
        match result:
            case Failure(failure) if failure.was_interrupted:
                finish_probe = cancel_probe_later
        return result
    finally:
        finish_probe(gateway, exchange)


async def _send_suspect(
    gateway: Gateway, exchange: Exchange, placement: Placement
) -> AttemptResult:
    endpoint_id = placement.choice.endpoint.endpoint_id
    gateway.suspects_in_flight[endpoint_id] += 1
    try:
        return await _send(gateway, exchange, placement)
    finally:
        gateway.suspects_in_flight[endpoint_id] -= 1


async def _send(
    gateway: Gateway, exchange: Exchange, placement: Placement
) -> AttemptResult:
    now_s = time.monotonic()
    endpoints = gateway.endpoints
    chosen = placement.choice
    endpoint = chosen.endpoint
    registration = endpoint.registration
    fits = endpoints.fits(endpoint, exchange.profile, now_s)
    if not fits or not endpoints.may_send(endpoint, now_s):
        record_attempt_failure(gateway, exchange, endpoint.endpoint_id, withheld())
        return Failure(withheld())
    ran_before = exchange.may_have_run
    placement.used = True
    exchange.tried.append(endpoint.endpoint_id)
    exchange.may_have_run = True
    exchange.choice = chosen
    if exchange.response is not None or exchange.takes_up:
        log_resumed(exchange, registration)
    exchange.writer = None
    dispatch = endpoints.record_dispatch(chosen, exchange.profile, now_s)
    exchange.dispatch = dispatch
    gateway.announce_prompt(endpoint.endpoint_id, chosen.work_s)
    gateway.telemetry.attempts[endpoint.endpoint_id] += 1
    returns = gateway.notices.state.returns
    is_return = returns.record_sent(endpoint.endpoint_id)
    is_plain = not exchange.facts.parts
    try:
        result = await attempt(gateway, exchange, endpoint, dispatch)
        if is_plain and not _tells_latency(gateway, endpoint, result):
            is_plain = False
    finally:
        exchange.dispatch = None
        # Behind links that are not up, its time says nothing of the endpoint.
        dispatch.finish(time.monotonic(), is_plain and not gateway.reach.tracker)
        if is_return:
            returns.record_done(endpoint.endpoint_id)
    match result:
        case Success(answer):
            build = registration.build
            if answer is not None and answer.status >= 500:
                if answer.status != 503 or not is_backing_off(gateway, endpoint):
                    endpoints.record_failure(endpoint, False, time.monotonic())
            elif answer is None and exchange.events.order.repeats:
                # What it repeats was dropped, but it spoils its answers.
                endpoints.record_failure(endpoint, False, time.monotonic())
                record_success(gateway, exchange, build)
            else:
                endpoints.record_success(endpoint)
                record_success(gateway, exchange, build)
            gateway.reach.record_answer(exchange.service)
        case Failure(failure):
            placement.used = failure.sent
            if failure.withheld:
                exchange.tried.pop()
            else:
                exchange.unreached += failure.address_reused or not failure.sent
            record_attempt_failure(gateway, exchange, endpoint.endpoint_id, failure)
            if not _is_no_fault(gateway, endpoint, failure):
                endpoints.record_failure(endpoint, failure.hard, time.monotonic())
            if failure.hard and not failure.address_reused:
                gateway.reach.record_failure(
                    exchange.service,
                    endpoint.endpoint_id,
                    failure.sent,
                    time.monotonic(),
                )
            if failure.was_interrupted:
                gateway.endpoint_doubts.record_sign(endpoint, time.monotonic())
                request = Interrupted(exchange.fingerprint, exchange.facts.shared_parts)
                gateway.crash_detector.report_interrupted(endpoint, request)
            if failure.address_reused:
                # While registrations cannot be read, the next request would also be
                # sent there, and be refused if its route allows one attempt only.
                endpoints.deregister_now(endpoint.endpoint_id, time.monotonic())
            if failure.verdict is Verdict.DID_NOT_RUN:
                exchange.may_have_run = ran_before
    return result


def _is_no_fault(gateway: Gateway, endpoint: Endpoint, failure: AttemptFailure) -> bool:
    """Whether a failure is no sign of a fault of the endpoint."""
    return (
        failure.withheld
        or failure.links_down
        or failure.reason is Reason.OVERLOADED
        or is_backpressure(gateway, endpoint, failure)
    )


def _tells_latency(gateway: Gateway, endpoint: Endpoint, result: AttemptResult) -> bool:
    """Whether the time of an attempt says how long an answer takes."""
    match result:
        case Failure(failure):
            unreached = failure.hard or failure.links_down
            return not unreached and not is_backpressure(gateway, endpoint, failure)
    return True
