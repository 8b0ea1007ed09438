"""Whether other entries reach an endpoint that this one does not (an indirect probe).

A connection refused to one entry is no proof that the process has ended: the link of
that entry may be cut.
"""

import asyncio
import logging
import time
from typing import Protocol

from aiohttp import web

from celerytrack.events import Event, log_event
from celerytrack.gateway.connections import EndpointConnections
from celerytrack.gateway.end_witness import Witness
from celerytrack.gateway.peer_requests import (
    BORN_FIELD,
    ENDPOINT_REACHED_STATUS,
    PEER_REQUEST_TIMEOUT_S,
    SIGN_AGE_FIELD,
    WITNESS_STATUS,
    PeerClient,
)
from celerytrack.gateway.reach import LinkedEntry, potential_helpers
from celerytrack.ids import EndpointId
from celerytrack.process_end import ConnectResult, probe_address
from celerytrack.routing.endpoint import Endpoint

_log = logging.getLogger(__name__)

MAX_ASKED = 3
"""Entries that are asked at once; their links may be cut as well."""
MAX_WITNESSES = 8
"""Entries that are asked for their connections: of many, few have one."""


class AskingEntry(LinkedEntry, Protocol):
    """What asking other entries concerns in an entry's state."""

    peer_client: PeerClient
    connections: EndpointConnections


async def is_reached_elsewhere(gateway: AskingEntry, endpoint: Endpoint) -> bool:
    """Whether an endpoint that refuses connections here is reached by another entry.

    It is not asked while this entry's own links may be down, whatever became of the
    endpoint.
    """
    service = endpoint.registration.service
    if await gateway.reach.may_be_cut_off(service):
        _log_unconfirmed(endpoint, None)
        return True
    helpers = [
        helper
        for helper in potential_helpers(gateway, time.monotonic())
        if not gateway.helpers.peer_links.is_down(
            helper.entry_id, service, time.monotonic()
        )
    ]
    asked = gateway.rng.sample(helpers, min(MAX_ASKED, len(helpers)))
    answers = await asyncio.gather(
        *(
            gateway.peer_client.is_endpoint_reached(
                helper.address, endpoint.endpoint_id
            )
            for helper in asked
        )
    )
    if not any(answers):
        return False
    seen_by = asked[answers.index(True)].entry_id
    _log_unconfirmed(endpoint, seen_by)
    return True


def _log_unconfirmed(endpoint: Endpoint, seen_by: str | None) -> None:
    log_event(
        _log,
        Event.CRASH_UNCONFIRMED,
        logging.WARNING,
        endpoint=endpoint.endpoint_id,
        seen_by=seen_by,
    )


async def ask_witnesses(
    gateway: AskingEntry, endpoint: Endpoint, sign_s: float
) -> Witness:
    """What the connections of this entry and others say of an end of an endpoint's
    process at ``sign_s``."""
    own = gateway.connections.witness(endpoint.endpoint_id, sign_s)
    if own is Witness.KEPT:
        return own
    helpers = potential_helpers(gateway, time.monotonic())
    if not helpers:
        return Witness.ALONE
    asked = gateway.rng.sample(helpers, min(MAX_WITNESSES, len(helpers)))
    sign_age_s = time.monotonic() - sign_s
    born_ms = endpoint.registration.born_ms
    answers = [
        asyncio.ensure_future(
            gateway.peer_client.ask_witness(
                helper.address, endpoint.endpoint_id, born_ms, sign_age_s
            )
        )
        for helper in asked
    ]
    found = Witness.NONE
    try:
        for answer in asyncio.as_completed(answers):
            witness = await answer
            if witness is Witness.KEPT:
                return witness
            if witness is Witness.ENDED:
                found = witness
    finally:
        for pending in answers:
            pending.cancel()
    if await gateway.reach.may_be_cut_off(endpoint.registration.service):
        return Witness.NONE
    return found


def _answer_witness(
    gateway: AskingEntry, endpoint_id: EndpointId, request: web.BaseRequest
) -> web.Response:
    born_ms = gateway.endpoints.born_ms(endpoint_id)
    try:
        sign_age_s = int(request.query[SIGN_AGE_FIELD]) / 1_000
        asked_born_ms = int(request.query[BORN_FIELD])
    except (KeyError, ValueError, OverflowError):
        return web.Response(status=400)
    witness = Witness.NONE
    if born_ms == asked_born_ms:
        # The question may have been on its way for as long as it is waited for.
        witness = gateway.connections.witness(
            endpoint_id, time.monotonic() - sign_age_s, PEER_REQUEST_TIMEOUT_S
        )
    return web.Response(status=WITNESS_STATUS[witness])


async def handle_endpoint_query(
    gateway: AskingEntry, request: web.BaseRequest
) -> web.Response:
    """Answer another entry that asks whether this one reaches an endpoint, or whether
    its connections outlive a sign of an end.

    Only registered endpoints are connected to.
    """
    endpoint_id = EndpointId(request.query.get("endpoint", ""))
    if SIGN_AGE_FIELD in request.query:
        return _answer_witness(gateway, endpoint_id, request)
    address = gateway.endpoints.address_of(endpoint_id)
    if address is None:
        return web.Response(status=404)
    reached = await probe_address(address) is ConnectResult.ACCEPTED
    return web.Response(status=ENDPOINT_REACHED_STATUS if reached else 503)
