"""Whether the end of an endpoint's answer is the end of its body."""

import asyncio
import time

import aiohttp

from celerytrack.answer_heads import STATUSES_WITHOUT_BODY
from celerytrack.bounded_connection import AnsweredResponse
from celerytrack.gateway.identity_checks import has_other_process
from celerytrack.gateway.state import Gateway
from celerytrack.platform.http import Framing, framing_of
from celerytrack.routing.endpoint import Endpoint

MAX_CHECK_S = 0.25
"""Longest time for which the end of an answer waits for a sign that it isn't one."""
SEND_MARGIN_S = 0.05
"""Time that the end of an answer has to be sent before its deadline."""
PROCESS_ENDED = "an answer without length ended with its endpoint's process"
"""Why such an answer isn't passed on, or not as complete."""
ENDED_EARLY = "an answer without length ended before its request was taken"


def protocol_of(response: aiohttp.ClientResponse) -> asyncio.BaseProtocol | None:
    """The protocol of an answer's connection, while it has one."""
    connection = response.connection
    return None if connection is None else connection.protocol


def was_reset(
    response: aiohttp.ClientResponse, protocol: asyncio.BaseProtocol | None
) -> bool:
    """Whether a connection reset ended an answer that has no explicit length.

    aiohttp takes any end of the connection as the end of such an answer, so a reset
    would make a truncated answer look complete.
    """
    has_length = (
        "Content-Length" in response.headers or "Transfer-Encoding" in response.headers
    )
    if has_length or protocol is None:
        return False
    exception = getattr(protocol, "exception", lambda: None)()
    return isinstance(exception, aiohttp.ClientOSError)


def ended_early(response: aiohttp.ClientResponse) -> bool:
    """Whether a success without length ended before its request was taken.

    An endpoint that gives up may end its connection in order first, and reset it later.
    Whoever refuses a request may do so before it has read it.
    """
    return (
        _ends_with_connection(response)
        and response.status < 300
        and isinstance(response, AnsweredResponse)
        and response.ended_early
    )


def _ends_with_connection(response: aiohttp.ClientResponse) -> bool:
    if response.method == "HEAD" or response.status in STATUSES_WITHOUT_BODY:
        return False
    return framing_of(response.headers) is Framing.CONNECTION


async def ended_with_process(
    gateway: Gateway,
    endpoint: Endpoint | None,
    response: aiohttp.ClientResponse,
    deadline_at_s: float,
) -> bool:
    """Whether an answer without length ended since its endpoint's process did.

    The connections of a process that is killed are closed as at the end of an answer,
    after its listener; another process may have its address by now. One that takes no
    connection, or doesn't answer, in time may be full.

    :param endpoint: ``None`` if another entry passed the answer on: entries give each
        one a length or chunks, so without them it broke off.
    :param deadline_at_s: by when the answer must be sent; without a result until then
        the process counts as alive.
    """
    if not _ends_with_connection(response):
        return False
    if endpoint is None:
        return True
    now_s = time.monotonic()
    left_s = min(MAX_CHECK_S, deadline_at_s - now_s - SEND_MARGIN_S)
    try:
        async with asyncio.timeout(max(0.0, left_s)):
            return await _has_ended(gateway, endpoint, now_s)
    except TimeoutError:
        return False


async def _has_ended(gateway: Gateway, endpoint: Endpoint, now_s: float) -> bool:
    address = endpoint.registration.address
    probes = gateway.endpoint_doubts.end_probes
    if await probes.refuses(address, now_s):
        return True
    path = gateway.health_path(endpoint.registration.service)
    return await has_other_process(endpoint, path)
