"""Sends a request through another entry while this one reaches no endpoint.

The other entry makes one attempt, with leases, backoffs and quarantines of its own.
Tokens, attempts and the retry budget stay here, and this entry's caller gets the
answer as it arrives.
"""

import time

import aiohttp
import attrs
import yarl
from returns.result import Failure, Success

from celerytrack.gateway.attempt_failures import (
    CONNECT_ERRORS,
    CONNECTION_ERRORS,
    AttemptResult,
)
from celerytrack.gateway.attempts import handle_response, has_body
from celerytrack.gateway.exchange import AttemptFailure, Exchange
from celerytrack.gateway.origins import settle_origin
from celerytrack.gateway.outcomes import log_relayed
from celerytrack.gateway.placement import IN_DOUBT, no_endpoint
from celerytrack.gateway.reach import potential_helpers
from celerytrack.gateway.relay_format import (
    RelayOrder,
    encode_order,
    failure_of,
)
from celerytrack.gateway.state import Gateway
from celerytrack.ids import EntryId
from celerytrack.origins.origin import StreamOrigin
from celerytrack.platform.http import SKIPPED_AUTO_HEADERS, relayed_headers
from celerytrack.reachability.helpers import MAX_HELPERS, Helper
from celerytrack.reachability.relayed import UNHANDLED_STATUSES, decode_outcome
from celerytrack.strict import UnreadableError
from celerytrack.verdict import Reason, Verdict

_LASTING = frozenset(
    {
        Reason.BACKING_OFF,
        Reason.NO_ENDPOINT,
        Reason.QUARANTINED,
        Reason.RATE_LIMITED,
    }
)
"""Reasons that hold at every entry."""


class _OtherVersionError(Exception):
    """Another entry sent a stream to an endpoint of another version."""


def links_down() -> AttemptFailure:
    """Return the failure of a request that neither this entry nor another can send."""
    return AttemptFailure(
        Reason.ISOLATED,
        Verdict.DID_NOT_RUN,
        False,
        "this entry reaches no endpoint, and no other entry helps",
        sent=False,
    )


async def relay(gateway: Gateway, exchange: Exchange) -> AttemptResult:
    """Make one attempt through another entry.

    :raises CallerDisconnectedError: if the caller disconnects during the answer.
    """
    if not await settle_origin(gateway, exchange):
        return Failure(no_endpoint(IN_DOUBT))
    failure = links_down()
    asked: set[EntryId] = set()
    for _ in range(MAX_HELPERS):
        now_s = time.monotonic()
        helper = gateway.helpers.choose(
            potential_helpers(gateway, now_s), exchange.service, asked, now_s
        )
        if helper is None:
            break
        asked.add(helper.entry_id)
        result = await _relay_through(gateway, exchange, helper)
        match result:
            case Failure(refused) if refused.verdict is Verdict.DID_NOT_RUN:
                if refused.sent:
                    return result
                _record_refused(gateway, exchange, helper, refused)
                failure = refused
            case Failure(broken) if broken.hard:
                return result
            case _:
                gateway.helpers.record_served(
                    helper.entry_id, exchange.service, time.monotonic()
                )
                return result
    if failure.reason not in _LASTING:
        failure = attrs.evolve(failure, reason=Reason.ISOLATED, hard=False)
    return Failure(failure)


def _record_refused(
    gateway: Gateway, exchange: Exchange, helper: Helper, refused: AttemptFailure
) -> None:
    entry, service, now_s = helper.entry_id, exchange.service, time.monotonic()
    if refused.hard:
        gateway.helpers.record_unreachable(entry, service, now_s)
        return
    gateway.helpers.record_refused(
        entry, service, refused.reason, refused.helper, now_s
    )


async def _relay_through(
    gateway: Gateway, exchange: Exchange, helper: Helper
) -> AttemptResult:
    ran_before = exchange.may_have_run
    exchange.may_have_run = True
    exchange.through.append(helper.entry_id)
    tried = len(exchange.tried)
    gateway.helpers.begin(helper)
    try:
        result = await _send(gateway, exchange, helper)
    finally:
        gateway.helpers.end(helper)
    failure = None
    match result:
        case Failure(failure):
            if failure.verdict is Verdict.DID_NOT_RUN:
                exchange.may_have_run = ran_before
            if failure.sent and len(exchange.tried) == tried:
                exchange.sent_unknown += 1
    endpoint_id = exchange.tried[-1] if len(exchange.tried) > tried else None
    log_relayed(gateway, exchange, helper.entry_id, endpoint_id, failure)
    return result


async def _send(gateway: Gateway, exchange: Exchange, helper: Helper) -> AttemptResult:
    request = exchange.request
    order = RelayOrder(
        sender=gateway.entry_id,
        service=exchange.service,
        left_s=max(0.0, exchange.deadline_at_s - time.monotonic()),
        tried=list(exchange.tried),
        resume_from=exchange.resume_from if exchange.route.stream else None,
        version=None if exchange.origin is None else exchange.origin.version,
    )
    url = yarl.URL(f"http://{helper.address}{request.raw_path}", encoded=True)
    try:
        response = await gateway.peer_client.relay_session.request(
            request.method,
            url,
            data=exchange.body if has_body(request) else None,
            headers=relayed_headers(request.headers, encode_order(order)),
            skip_auto_headers=SKIPPED_AUTO_HEADERS,
            allow_redirects=False,
        )
    except CONNECT_ERRORS as exc:
        return _failed(helper, exc, Verdict.DID_NOT_RUN)
    except CONNECTION_ERRORS as exc:
        return _failed(helper, exc, Verdict.MAY_HAVE_RUN)
    complete = False
    try:
        result = await _handle_answer(gateway, exchange, helper, response)
        complete = isinstance(result, Success)
        return result
    finally:
        if complete:
            response.release()
        else:
            response.close()


async def _handle_answer(
    gateway: Gateway,
    exchange: Exchange,
    helper: Helper,
    response: aiohttp.ClientResponse,
) -> AttemptResult:
    try:
        outcome = decode_outcome(response.headers)
    except UnreadableError as exc:
        unhandled = response.status in UNHANDLED_STATUSES
        verdict = Verdict.DID_NOT_RUN if unhandled else Verdict.MAY_HAVE_RUN
        return _failed(helper, exc, verdict)
    if outcome.endpoint_id is not None:
        exchange.tried.append(outcome.endpoint_id)
    if outcome.reason is not None:
        return Failure(failure_of(outcome, helper.entry_id))
    exchange.writer = StreamOrigin(exchange.service, outcome.version)
    if exchange.origin not in (None, exchange.writer):
        return _failed(helper, _OtherVersionError(), Verdict.MAY_HAVE_RUN)
    return await handle_response(
        gateway, exchange, None, response, gateway.relayed_bytes
    )


def _failed(helper: Helper, exc: BaseException, verdict: Verdict) -> AttemptResult:
    detail = f"through {helper.entry_id}: {type(exc).__name__}: {exc}"
    sent = verdict is Verdict.MAY_HAVE_RUN
    return Failure(
        AttemptFailure(Reason.UPSTREAM_FAILED, verdict, True, detail, sent=sent)
    )
