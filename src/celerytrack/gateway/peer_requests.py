"""Requests between entries.

An entry asks others for tokens when the log is unreachable, and for its own newest row
when the log may have lost it.
"""

import logging
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
import attrs
from aiohttp import web
from attrs import validators as v

from celerytrack.answer_limits import POLL_LIMITS
from celerytrack.events import Event, log_event
from celerytrack.gateway.end_witness import Witness
from celerytrack.http_session import make_http_session
from celerytrack.ids import AccountId, EndpointId, EntryId
from celerytrack.platform.rows import decode_shares, encode_shares
from celerytrack.prepaid import AccountClaim
from celerytrack.strict import (
    UnreadableError,
    parse_json,
    strict_converter,
    structure,
)

_log = logging.getLogger(__name__)

PEER_REQUEST_TIMEOUT_S = 0.15
"""Time limit for a request to another entry. Entries are milliseconds apart, but an
instance that exceeds its CPU quota is throttled for a tenth of a second. Tokens
that an entry transfers after the limit are lost: no entry can spend them."""
RELAY_CONNECT_TIMEOUT_S = 0.3
"""Time limit for a connection to an entry that a request goes through; another entry is
asked after it."""
CONNECTION_IDLE_S = 10.0
"""Idle time after which a connection to another entry is not reused."""
_TRANSFER_PATH = "/gift"
_ROW_PATH = "/row"
ENDPOINT_PATH = "/endpoint"
"""Path of the question whether the other entry reaches an endpoint."""
ENDPOINT_REACHED_STATUS = 204
"""Status of the answer that it does; any other says nothing."""
SIGN_AGE_FIELD = "signAgeMs"
"""Field of the question whether its connections outlive a sign of an end of so long
ago."""
BORN_FIELD = "born"
WITNESS_STATUS = {Witness.KEPT: 200, Witness.ENDED: 410, Witness.NONE: 404}
"""Status of the answer. Entries of earlier releases answer whether they reach the
endpoint, which says nothing."""

_FAILURES = (aiohttp.ClientError, OSError, TimeoutError, ValueError)
"""Errors of a request: the connection, an answer that can't be read, or an address that
no library encodes."""
_TOKENS = v.and_(v.ge(0), v.lt(2**63))
_converter = strict_converter(forbid_extra_keys=False)


@attrs.frozen
class TransferRequest:
    """Body of a request for ``tokens`` of ``account``."""

    account: str
    tokens: int = attrs.field(validator=_TOKENS)


@attrs.frozen
class TransferReply:
    """Body of the answer: how many tokens the other entry transferred."""

    tokens: int = attrs.field(validator=_TOKENS)


def decode_transfer_request(raw: bytes) -> TransferRequest:
    """Decode a request for tokens.

    :raises UnreadableError: naming what is wrong.
    """
    request: TransferRequest = structure(_converter, parse_json(raw), TransferRequest)
    return request


def decode_transfer_reply(raw: bytes) -> TransferReply:
    """Decode the answer to a request for tokens.

    :raises UnreadableError: naming what is wrong.
    """
    reply: TransferReply = structure(_converter, parse_json(raw), TransferReply)
    return reply


class PeerClient:
    """HTTP client for requests to other entries."""

    def __init__(self) -> None:
        self._client_session: aiohttp.ClientSession | None = None
        self._relay_session: aiohttp.ClientSession | None = None

    @property
    def _session(self) -> aiohttp.ClientSession:
        if self._client_session is None:
            timeout = aiohttp.ClientTimeout(total=PEER_REQUEST_TIMEOUT_S)
            self._client_session = make_http_session(
                CONNECTION_IDLE_S, timeout, limits=POLL_LIMITS
            )
        return self._client_session

    @property
    def relay_session(self) -> aiohttp.ClientSession:
        """The session for callers' requests that go through other entries."""
        if self._relay_session is None:
            timeout = aiohttp.ClientTimeout(
                total=None, sock_connect=RELAY_CONNECT_TIMEOUT_S
            )
            self._relay_session = make_http_session(
                CONNECTION_IDLE_S, timeout, auto_decompress=False
            )
            # aiohttp repeats a GET on its own when a reused connection breaks, so a
            # call that must run at most once could run twice.
            self._relay_session._retry_connection = False
        return self._relay_session

    async def request_transfer(
        self, address: str, account: AccountId, tokens: int
    ) -> int:
        """Request ``tokens`` from the entry at ``address``; returns how many it
        transferred.

        If the answer is lost, so are the tokens: the sender has deducted them.
        """
        body = {"account": account, "tokens": tokens}
        try:
            async with self._session.post(
                f"http://{address}{_TRANSFER_PATH}", json=body
            ) as response:
                if response.status != 200:
                    return 0
                answer = decode_transfer_reply(await response.read())
                return min(tokens, answer.tokens)
        except _FAILURES as exc:
            detail = f"{type(exc).__name__}: {exc}"
            log_event(_log, Event.GIFT_FAILED, address=address, detail=detail)
            return 0

    async def fetch_row(
        self, address: str, entry_id: EntryId
    ) -> Mapping[AccountId, AccountClaim]:
        """Return the claims in the row of ``entry_id`` that the entry at ``address``
        knows; empty if there is no valid answer."""
        try:
            async with self._session.get(
                f"http://{address}{_ROW_PATH}", params={"entry": entry_id}
            ) as response:
                if response.status != 200:
                    return {}
                return decode_shares(await response.read())
        except _FAILURES as exc:
            detail = f"{type(exc).__name__}: {exc}"
            log_event(_log, Event.GIFT_FAILED, address=address, detail=detail)
            return {}

    async def is_endpoint_reached(self, address: str, endpoint_id: EndpointId) -> bool:
        """Whether the entry at ``address`` just connected to an endpoint."""
        try:
            async with self._session.get(
                f"http://{address}{ENDPOINT_PATH}", params={"endpoint": endpoint_id}
            ) as response:
                return response.status == ENDPOINT_REACHED_STATUS
        except _FAILURES:
            return False

    async def ask_witness(
        self, address: str, endpoint_id: EndpointId, born_ms: int, sign_age_s: float
    ) -> Witness:
        """Ask the entry at ``address`` what its connections to an endpoint say.

        :param sign_age_s: how long ago there was a sign that its process has ended.
        """
        query = {
            "endpoint": endpoint_id,
            BORN_FIELD: str(born_ms),
            SIGN_AGE_FIELD: str(round(sign_age_s * 1_000)),
        }
        try:
            async with self._session.get(
                f"http://{address}{ENDPOINT_PATH}", params=query
            ) as response:
                for witness, status in WITNESS_STATUS.items():
                    if response.status == status:
                        return witness
        except _FAILURES:
            pass
        return Witness.NONE

    async def close(self) -> None:
        """Close the connections."""
        for session in (self._client_session, self._relay_session):
            if session is not None:
                await session.close()


TransferTokens = Callable[[AccountId, int], Awaitable[int]]
RowLookup = Callable[[EntryId], Mapping[AccountId, AccountClaim]]


def handle_row_query(lookup_row: RowLookup, request: web.BaseRequest) -> web.Response:
    """Answer another entry that queries its own row.

    :param lookup_row: returns the claims in the last known row of an entry.
    """
    row = lookup_row(EntryId(request.query.get("entry", "")))
    return web.Response(body=encode_shares(row))


async def handle_peer_request(
    transfer: TransferTokens, lookup_row: RowLookup, request: web.BaseRequest
) -> web.Response:
    """Route a request of another entry to its handler."""
    if request.path == _ROW_PATH and request.method == "GET":
        return handle_row_query(lookup_row, request)
    return await handle_transfer(transfer, request)


async def handle_transfer(
    transfer: TransferTokens, request: web.BaseRequest
) -> web.Response:
    """Answer another entry that requests tokens.

    :param transfer: transfers up to the requested tokens of an account; returns how
        many.
    """
    if request.path != _TRANSFER_PATH or request.method != "POST":
        return web.Response(status=404)
    try:
        query = decode_transfer_request(await request.read())
    except UnreadableError as exc:
        log_event(_log, Event.GIFT_FAILED, logging.WARNING, detail=str(exc))
        return web.Response(status=400)
    account = AccountId(query.account)
    transferred = await transfer(account, query.tokens)
    log_event(
        _log, Event.GIFT_GIVEN, account=account, asked=query.tokens, given=transferred
    )
    return web.json_response({"tokens": transferred})
