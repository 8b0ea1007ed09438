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
from celerytrack.gateway.peer_requests import ENDPOINT_REACHED_STATUS, PeerClient
from celerytrack.gateway.reach import LinkedEntry, potential_helpers
from celerytrack.ids import EndpointId
from celerytrack.process_end import ConnectResult, probe_address
from celerytrack.routing.endpoint import Endpoint

_log = logging.getLogger(__name__)

MAX_ASKED = 3
"""Entries that are asked at once; their links may be cut as well."""


class AskingEntry(LinkedEntry, Protocol):
    """What asking other entries concerns in an entry's state."""

    peer_client: PeerClient


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


async def handle_endpoint_query(
    gateway: LinkedEntry, request: web.BaseRequest
) -> web.Response:
    """Answer another entry that asks whether this one reaches an endpoint.

    Only registered endpoints are connected to.
    """
    endpoint_id = EndpointId(request.query.get("endpoint", ""))
    address = gateway.endpoints.address_of(endpoint_id)
    if address is None:
        return web.Response(status=404)
    reached = await probe_address(address) is ConnectResult.ACCEPTED
    return web.Response(status=ENDPOINT_REACHED_STATUS if reached else 503)
