"""What entries ask of each other: tokens, for when the log cannot be reached, and the
row that they know of the one that asks, for when the log has lost it."""

import logging
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
import attrs
from aiohttp import web
from attrs import validators as v

from celerytrack.events import Event, log_event
from celerytrack.ids import AccountId, EntryId
from celerytrack.patient_http import patient_session
from celerytrack.platform.rows import RowError, decode_shares, encode_shares
from celerytrack.prepaid import AccountClaim
from celerytrack.strict import (
    UnreadableError,
    parse_json,
    strict_converter,
    structure,
)

_log = logging.getLogger(__name__)

ASK_TIMEOUT_S = 0.15
"""Longest wait for a gift. Entries are milliseconds apart, but an instance that has
used up its share of a processor stands still for a tenth of a second; a gift that it
sends after the wait ended is spent by nobody."""
IDLE_S = 10.0
"""Idle time after which a connection to another entry is not used again."""
_PATH = "/gift"
_ROW_PATH = "/row"


_TOKENS = v.and_(v.ge(0), v.lt(2**63))
_converter = strict_converter(forbid_extra_keys=False)


@attrs.frozen
class GiftRequest:
    """Another entry lacks ``tokens`` of ``account``."""

    account: str
    tokens: int = attrs.field(validator=_TOKENS)


@attrs.frozen
class Gift:
    """What another entry gave."""

    tokens: int = attrs.field(validator=_TOKENS)


def decode_gift_request(raw: bytes) -> GiftRequest:
    """What another entry asks for.

    :raises UnreadableError: naming what is wrong.
    """
    asked: GiftRequest = structure(_converter, parse_json(raw), GiftRequest)
    return asked


def decode_gift(raw: bytes) -> Gift:
    """What another entry gave.

    :raises UnreadableError: naming what is wrong.
    """
    gift: Gift = structure(_converter, parse_json(raw), Gift)
    return gift


class GiftClient:
    """Asks other entries for tokens."""

    def __init__(self) -> None:
        self._http: aiohttp.ClientSession | None = None

    @property
    def _session(self) -> aiohttp.ClientSession:
        if self._http is None:
            timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
            self._http = patient_session(IDLE_S, timeout)
        return self._http

    async def ask(self, address: str, account: AccountId, tokens: int) -> int:
        """Ask the entry at ``address`` for ``tokens``; how many it gave.

        A gift whose answer is lost is spent by nobody: the giver counts it
        as gone.
        """
        body = {"account": account, "tokens": tokens}
        try:
            async with self._session.post(
                f"http://{address}{_PATH}", json=body
            ) as response:
                if response.status != 200:
                    return 0
                answer = decode_gift(await response.read())
                return min(tokens, answer.tokens)
        except (aiohttp.ClientError, OSError, TimeoutError, UnreadableError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            log_event(_log, Event.GIFT_FAILED, address=address, detail=detail)
            return 0

    async def ask_row(
        self, address: str, me: EntryId
    ) -> Mapping[AccountId, AccountClaim]:
        """What the entry at ``address`` knows of the row of ``me``; nothing if it does
        not answer."""
        try:
            async with self._session.get(
                f"http://{address}{_ROW_PATH}", params={"entry": me}
            ) as response:
                if response.status != 200:
                    return {}
                return decode_shares(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError, RowError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            log_event(_log, Event.GIFT_FAILED, address=address, detail=detail)
            return {}

    async def close(self) -> None:
        """Close the connections."""
        if self._http is not None:
            await self._http.close()


Give = Callable[[AccountId, int], Awaitable[int]]
Known = Callable[[EntryId], Mapping[AccountId, AccountClaim]]


def answer_row(known: Known, request: web.BaseRequest) -> web.Response:
    """Answer another entry that asks what is known of its row.

    :param known: gives the row known of an entry.
    """
    row = known(EntryId(request.query.get("entry", "")))
    return web.Response(body=encode_shares(row))


async def answer_peer(
    give: Give, known: Known, request: web.BaseRequest
) -> web.Response:
    """Answer another entry."""
    if request.path == _ROW_PATH and request.method == "GET":
        return answer_row(known, request)
    return await answer_gift(give, request)


async def answer_gift(give: Give, request: web.BaseRequest) -> web.Response:
    """Answer another entry that asks for tokens.

    :param give: takes the account and the tokens asked for; what is given.
    """
    if request.path != _PATH or request.method != "POST":
        return web.Response(status=404)
    try:
        asked = decode_gift_request(await request.read())
    except UnreadableError as exc:
        log_event(_log, Event.GIFT_FAILED, logging.WARNING, detail=str(exc))
        return web.Response(status=400)
    account = AccountId(asked.account)
    given = await give(account, asked.tokens)
    log_event(_log, Event.GIFT_GIVEN, account=account, asked=asked.tokens, given=given)
    return web.json_response({"tokens": given})
