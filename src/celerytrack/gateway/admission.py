"""What a request passes before it is sent anywhere, and what is settled after."""

import time

from aiohttp import web

from celerytrack.gateway.exchange import Exchange
from celerytrack.gateway.refusals import RefusedError
from celerytrack.gateway.share_keeper import ShareKeeper
from celerytrack.gateway.state import Gateway
from celerytrack.ids import AccountId
from celerytrack.platform.http import RequestError, decode_request
from celerytrack.prepaid import Reservation
from celerytrack.routes import RoutingTable, pick_service
from celerytrack.verdict import Reason, Refusal, did_not_run

DEFAULT_DEADLINE_S = 30.0
"""Deadline of a caller that names none: longer than any route's timeout should be, and
still an end."""
ANSWER_MARGIN_S = 0.03
"""An answer goes out this long before the deadline, so that it arrives: there is the
way to the caller, and timers fire late on a busy instance."""
SOON_S = 0.1
"""When to come back after a refusal that another entry may well not give."""
SHORTLY_S = 0.5
"""When to come back while a service has no endpoint: registrations are back
within two seconds of an outage's end."""
CUT_LASTS_S = 3.0
"""When to come back while this entry is cut off from the log and the others
have no tokens to give: cuts last seconds, and a caller has one more try."""
TOKENS_RETURN_S = 5.0
"""When to come back if neither the total nor the other entries have the tokens:
they return as requests end below their largest cost, or by a top-up."""


async def admit(
    gateway: Gateway, request: web.BaseRequest, started_s: float
) -> Exchange:
    """The checks before anything is reserved.

    :raises RefusedError: saying what is wrong with the request.
    """
    table = gateway.table
    if table is None or not gateway.endpoints_known or not gateway.suspects.started:
        detail = "no configuration read yet"
        raise RefusedError(did_not_run(Reason.NO_CONFIG, SHORTLY_S, detail))
    try:
        facts = decode_request(request.headers)
    except RequestError as exc:
        raise RefusedError(did_not_run(Reason.BAD_REQUEST, None, str(exc))) from None
    body = await _read_body(request, table)
    # What is in force when the whole request is read decides.
    table = gateway.table or table
    route = table.match(facts.host, request.raw_path.split("?", 1)[0])
    if route is None:
        raise RefusedError(_denied(gateway, Reason.NO_ROUTE, "no such route"))
    account_id: AccountId | None = None
    priority = route.priority
    if table.requires_key and not route.public:
        account = table.account_by_key(facts.key) if facts.key else None
        if account is None:
            raise RefusedError(_denied(gateway, Reason.BAD_KEY, "unknown key"))
        account_id = account.account_id
        priority = route.priority if account.priority is None else account.priority
    deadline_s = facts.deadline_s or DEFAULT_DEADLINE_S
    return Exchange(
        request=request,
        facts=facts,
        body=body,
        route=route,
        service=pick_service(route, gateway.rng.random()),
        account=account_id,
        priority=priority,
        started_s=started_s,
        ends_s=started_s + min(deadline_s, route.timeout_s) - ANSWER_MARGIN_S,
    )


def _denied(gateway: Gateway, reason: Reason, detail: str) -> Refusal:
    """The refusal of what the configuration in force here does not have."""
    now_s = time.monotonic()
    if gateway.may_deny(now_s):
        return did_not_run(reason, None, detail)
    detail = f"{detail}, as of {gateway.config_age_s(now_s):.1f} s ago"
    return did_not_run(Reason.NO_CONFIG, SOON_S, detail)


async def _read_body(request: web.BaseRequest, table: RoutingTable) -> bytes:
    if not request.body_exists:
        return b""
    try:
        body = await request.read()
    except web.HTTPRequestEntityTooLarge:
        body = None
    if body is None or len(body) > table.max_body_bytes:
        detail = f"a body may have {table.max_body_bytes} bytes"
        raise RefusedError(did_not_run(Reason.BODY_TOO_LARGE, None, detail))
    return body


async def reserve(gateway: Gateway, exchange: Exchange) -> Reservation | None:
    """Set the request's largest cost aside.

    :raises RefusedError: ``did_not_run``: for good only if the total cannot
        cover the request, whatever other entries hold.
    """
    facts, account = exchange.facts, exchange.account
    tokens = facts.input_tokens + facts.output_tokens
    book = gateway.keeper.book
    if account is None or not tokens or not book.limited(account):
        return None
    table = gateway.table
    urgent = table is not None and exchange.route.priority <= table.top_priority
    held = await gateway.keeper.reservations.reserve(account, tokens, urgent)
    if held is not None:
        return held
    now_s = time.monotonic()
    total_known = gateway.may_deny(now_s)
    raise RefusedError(
        lacking_tokens(gateway.keeper, account, tokens, total_known, now_s)
    )


def lacking_tokens(
    keeper: ShareKeeper,
    account: AccountId,
    tokens: int,
    total_known: bool,
    now_s: float,
) -> Refusal:
    """The refusal of a request that lacks tokens of ``account`` here.

    For good only if the total cannot cover it; else it says when to come back.

    :param tokens: what the request may cost at most.
    :param total_known: whether the total may not have been raised unheard of.
    """
    book = keeper.book
    if total_known and book.exhausted(account, tokens):
        detail = f"{tokens} tokens do not fit what is left"
        return did_not_run(Reason.BUDGET_EXHAUSTED, None, detail)
    detail = f"{tokens} tokens, {book.left_tokens(account, now_s)} in hand here"
    after_s = TOKENS_RETURN_S
    if not keeper.reachable:
        free_s = book.free_in_s(account, tokens, now_s)
        after_s = CUT_LASTS_S if free_s is None else max(free_s, SOON_S)
    return did_not_run(Reason.TOKENS_ELSEWHERE, after_s, detail)


def settle(gateway: Gateway, exchange: Exchange, held: Reservation | None) -> None:
    """Charge what the request used, or free it all if it did not run."""
    if held is None:
        return
    book = gateway.keeper.book
    if not exchange.may_have_run:
        book.unreserve(held)
        return
    assert gateway.table is not None
    service = gateway.table.services.get(exchange.service)
    per_event = service.max_event_tokens if service else 1
    # One event more than was relayed: it may have been on its way to the
    # caller when the stream ended.
    whole = exchange.response is not None
    out = (exchange.events.event_count + (1 if whole else 0)) * per_event
    book.commit(held, exchange.facts.input_tokens + out, time.monotonic())
