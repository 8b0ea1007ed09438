"""Admission of requests before routing, and settlement of their reservations."""

import time

import attrs
from aiohttp import web

from celerytrack.callers.bodies import BodyReader, BodyRefusedError
from celerytrack.gateway.exchange import Exchange
from celerytrack.gateway.refusals import RefusedError
from celerytrack.gateway.share_sync import ShareSync
from celerytrack.gateway.state import Gateway
from celerytrack.ids import AccountId
from celerytrack.platform.http import RequestError, RequestFacts, decode_request
from celerytrack.prepaid import Reservation
from celerytrack.routing.routes import Route, RoutingTable, pick_service
from celerytrack.verdict import Reason, Refusal, did_not_run

DEFAULT_DEADLINE_S = 30.0
"""Deadline of a request that names none: longer than the timeout of any sensible
route, but finite."""
ANSWER_MARGIN_S = 0.03
"""How long before the deadline an answer must be sent to arrive in time: covers the
network latency to the caller and timers that fire late on a busy instance."""
RETRY_ELSEWHERE_AFTER_S = 0.1
"""``Retry-After`` of a refusal when another entry may accept the request."""
NO_ENDPOINT_RETRY_AFTER_S = 0.5
"""``Retry-After`` while a service has no endpoint: registrations are back within two
seconds after an outage ends."""
PARTITION_RETRY_AFTER_S = 3.0
"""``Retry-After`` while this entry is partitioned from the log and the other entries
have no tokens to transfer: partitions last seconds, and a caller has one more
attempt."""
NO_TOKENS_RETRY_AFTER_S = 5.0
"""``Retry-After`` if neither the total nor the other entries have the tokens: they
become available when requests end below their maximum cost, or by a top-up."""


async def admit(
    gateway: Gateway, request: web.BaseRequest, started_s: float
) -> Exchange:
    """Validate a request before anything is reserved.

    :raises RefusedError: if the request is invalid or cannot be admitted.
    """
    table = gateway.routing_table
    if table is None or not gateway.endpoints_known or not gateway.suspect_sync.loaded:
        detail = "no configuration read yet"
        raise RefusedError(
            did_not_run(Reason.NO_CONFIG, NO_ENDPOINT_RETRY_AFTER_S, detail)
        )
    try:
        facts = decode_request(request.headers)
    except RequestError as exc:
        raise RefusedError(did_not_run(Reason.BAD_REQUEST, None, str(exc))) from None
    allowed = _allow(gateway, table, request, facts)
    deadline_at_s = _deadline_at_s(facts, allowed.route, started_s)
    account = gateway.callers.account
    reader = BodyReader(account, request, table.max_body_bytes, deadline_at_s)
    try:
        body = await reader.read()
        if gateway.routing_table is not table:
            # The configuration has changed while the body was read; the newest decides.
            table = gateway.routing_table or table
            allowed = _allow(gateway, table, request, facts)
    except BodyRefusedError as exc:
        account.close(reader.hold)
        raise RefusedError(exc.refusal) from None
    except BaseException:
        account.close(reader.hold)
        raise
    return Exchange(
        request=request,
        facts=facts,
        body=body,
        route=allowed.route,
        service=pick_service(allowed.route, gateway.rng.random()),
        account=allowed.account,
        priority=allowed.priority,
        started_s=started_s,
        deadline_at_s=_deadline_at_s(facts, allowed.route, started_s),
        body_hold=reader.hold,
    )


@attrs.frozen
class _Allowed:
    """What the configuration allows a request."""

    route: Route
    account: AccountId | None
    priority: int


def _allow(
    gateway: Gateway,
    table: RoutingTable,
    request: web.BaseRequest,
    facts: RequestFacts,
) -> _Allowed:
    """Find the route and the account of a request.

    :raises RefusedError: if the configuration has none.
    """
    route = table.match(facts.host, request.raw_path.split("?", 1)[0])
    if route is None:
        raise RefusedError(_not_configured(gateway, Reason.NO_ROUTE, "no such route"))
    if not table.requires_key or route.public:
        return _Allowed(route, None, route.priority)
    account = table.account_by_key(facts.key) if facts.key else None
    if account is None:
        raise RefusedError(_not_configured(gateway, Reason.BAD_KEY, "unknown key"))
    priority = route.priority if account.priority is None else account.priority
    return _Allowed(route, account.account_id, priority)


def _deadline_at_s(facts: RequestFacts, route: Route, started_s: float) -> float:
    deadline_s = facts.deadline_s or DEFAULT_DEADLINE_S
    return started_s + min(deadline_s, route.timeout_s) - ANSWER_MARGIN_S


def _not_configured(gateway: Gateway, reason: Reason, detail: str) -> Refusal:
    """Return the refusal of a route or key that the configuration does not contain.

    It is final only while the known configuration is recent.
    """
    now_s = time.monotonic()
    if gateway.may_deny(now_s):
        return did_not_run(reason, None, detail)
    detail = f"{detail}, as of {gateway.config_age_s(now_s):.1f} s ago"
    return did_not_run(Reason.NO_CONFIG, RETRY_ELSEWHERE_AFTER_S, detail)


async def reserve(gateway: Gateway, exchange: Exchange) -> Reservation | None:
    """Reserve the maximum cost of a request.

    :raises RefusedError: with ``did_not_run``; final only if the total budget cannot
        cover the request, whatever other entries hold.
    """
    facts, account = exchange.facts, exchange.account
    exchange.event_tokens = _event_tokens(gateway, exchange)
    tokens = facts.input_tokens + facts.output_tokens
    budgets = gateway.share_sync.budgets
    if account is None or not tokens or not budgets.is_limited(account):
        return None
    table = gateway.routing_table
    urgent = table is not None and exchange.route.priority <= table.top_priority
    reservation = await gateway.share_sync.reservations.reserve(account, tokens, urgent)
    if reservation is not None:
        return reservation
    now_s = time.monotonic()
    total_known = gateway.may_deny(now_s)
    raise RefusedError(
        insufficient_tokens(gateway.share_sync, account, tokens, total_known, now_s)
    )


def insufficient_tokens(
    share_sync: ShareSync,
    account: AccountId,
    tokens: int,
    total_known: bool,
    now_s: float,
) -> Refusal:
    """Return the refusal of a request for which this entry lacks tokens.

    It is final only if the total budget cannot cover the request; otherwise it says
    when to retry.

    :param tokens: maximum cost of the request.
    :param total_known: whether the known total is up to date, so that no top-up can
        have been missed.
    """
    budgets = share_sync.budgets
    if total_known and budgets.is_exhausted(account, tokens):
        detail = f"{tokens} tokens do not fit what is left"
        return did_not_run(Reason.BUDGET_EXHAUSTED, None, detail)
    detail = f"{tokens} tokens, {budgets.available_tokens(account, now_s)} in hand here"
    retry_after_s = NO_TOKENS_RETRY_AFTER_S
    if not share_sync.reachable:
        free_s = budgets.free_in_s(account, tokens, now_s)
        retry_after_s = (
            PARTITION_RETRY_AFTER_S
            if free_s is None
            else max(free_s, RETRY_ELSEWHERE_AFTER_S)
        )
    return did_not_run(Reason.TOKENS_ELSEWHERE, retry_after_s, detail)


def settle(
    gateway: Gateway, exchange: Exchange, reservation: Reservation | None
) -> None:
    """Charge the tokens used, or free the whole reservation if nothing ran."""
    if reservation is None:
        return
    budgets = gateway.share_sync.budgets
    if not exchange.may_have_run:
        budgets.release(reservation)
        return
    # A stream is charged one event more than was relayed: that event may have been
    # in transit to the caller when the stream ended.
    streamed = exchange.response is not None
    events = exchange.events.event_count + (1 if streamed else 0)
    output_tokens = _streamed_tokens(gateway, exchange, events)
    budgets.commit(
        reservation, exchange.facts.input_tokens + output_tokens, time.monotonic()
    )


def _event_tokens(gateway: Gateway, exchange: Exchange) -> int | None:
    """Most output tokens in an event of the request's service, if it is configured."""
    table = gateway.routing_table
    service = table.services.get(exchange.service) if table else None
    return service.max_event_tokens if service else None


def _streamed_tokens(gateway: Gateway, exchange: Exchange, events: int) -> int:
    """Output tokens that ``events`` events may hold.

    A configuration that came into force meanwhile may list the service with fewer
    tokens an event, or no longer; what runs was begun under the one before.
    """
    known = [exchange.event_tokens, _event_tokens(gateway, exchange)]
    counts = [count for count in known if count is not None]
    if events and not counts:
        return exchange.facts.output_tokens
    return events * max(counts, default=0)
