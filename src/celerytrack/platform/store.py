"""Client of the platform's store, an append-only log.

Every call returns a :class:`returns.result.Result`; a :class:`StoreError`
says whether an append may have taken effect.
"""

import asyncio
import enum
import logging
import time
from collections.abc import Callable
from typing import TypeVar

import aiohttp
import attrs
from returns.result import Failure, Result, Success

from celerytrack.answer_limits import LOG_LIMITS
from celerytrack.eras import Era, EraStatus, EraTracker
from celerytrack.events import Event, log_event
from celerytrack.http_session import make_http_session
from celerytrack.platform.http import Framing, framing_of
from celerytrack.platform.log_format import (
    ERA_HEADER,
    Batch,
    KeyedRecord,
    check_confirmed,
    decode_appended,
    decode_batch,
    decode_era,
    decode_page,
    encode_keyed,
)
from celerytrack.strict import UnreadableError, parse_json

_log = logging.getLogger(__name__)

CALL_TIMEOUT_S = 0.7
"""Longest wait for the next bytes of an answer: more than a slow store takes. A call
made while the store is unreachable blocks the next one, so a longer wait delays the
first row after an outage. A loss of power before that row is written costs all tokens
that were freed during the outage."""
MAX_ANSWER_S = 6.0
"""Longest time to receive an answer. A large configuration takes seconds on a slow,
shared link. With a shorter limit the call would be aborted and repeated for ever, and
the entry would never start. The limit also ends calls on a failing connection that
still delivers a few bytes at a time."""
MAX_READ_KB = 128
"""Largest answer that one read requests; a larger record is sent alone. On a slow link
the reads of other topics wait for the answer, and without this limit the store would
fill it mostly with rows that have been superseded."""
IDLE_S = 30.0
"""Idle time after which a connection is not reused."""
_PAGE = 500
_Decoded = TypeVar("_Decoded")


class StoreErrorKind(enum.Enum):
    """Why a call failed."""

    UNREACHABLE = "unreachable"
    """No answer; an append may have taken effect, or may do so later."""
    REFUSED = "refused"
    """The store refused the call; nothing was done."""
    TRIMMED = "trimmed"
    """The requested records were deleted; the newest of each key is still there."""
    FENCED = "fenced"
    """A later incarnation of this producer has written."""
    UNREADABLE = "unreadable"
    """The answer is not in the store's format; an append may have taken effect."""
    OUT_OF_SEQUENCE = "out_of_sequence"
    """The append's sequence number does not follow the last one."""
    OLDER_ERA = "older_era"
    """The answer is from before the log was restored from an older backup. An append
    that it confirms may be lost, or may take effect later."""


@attrs.frozen
class StoreError:
    """A failed call.

    :ivar detail: the status or the exception, for the log.
    :ivar expected: the next valid sequence number, if out of sequence.
    """

    kind: StoreErrorKind
    detail: str
    expected: int | None = None


@attrs.frozen
class Writer:
    """Identity of an append, by which the store orders and deduplicates.

    :ivar epoch: fencing token that grows with each incarnation; appends with a lower
        one are fenced.
    :ivar sequence: number of this append; a repeat gets the first answer again.
    """

    name: str
    epoch: int
    sequence: int


class StoreClient:
    """Client of the store with its own HTTP session.

    :param address: ``host:port`` of the store.
    :param eras: observes the era of each answer and detects late answers.
    """

    def __init__(self, address: str, eras: EraTracker | None = None) -> None:
        self._base = f"http://{address}"
        self._eras = EraTracker() if eras is None else eras
        self._unreadable_era = ""
        self._http: aiohttp.ClientSession | None = None

    @property
    def _session(self) -> aiohttp.ClientSession:
        if self._http is None:
            self._http = make_http_session(IDLE_S, limits=LOG_LIMITS)
        return self._http

    async def close(self) -> None:
        """Close the connections."""
        if self._http is not None:
            await self._http.close()

    async def newest(self, topic: str) -> Result[Batch, StoreError]:
        """The newest record of each key of ``topic``.

        The pages are not a snapshot. The batch's ``next_offset`` is therefore the end
        of the log that the first page states, so that changes between pages are read
        again. Pages of different eras are rejected.
        """
        records: list[KeyedRecord] = []
        params = {"topic": topic, "part": "0"}
        first_end: int | None = None
        changes = self._eras.changes
        while True:
            data = await self._call("GET", "/log-newest", params)
            answer = data.bind(lambda raw: _decode_answer(lambda: decode_page(raw)))
            match answer:
                case Failure(error):
                    return Failure(error)
            page = answer.unwrap()
            if first_end is None:
                first_end = page.end
                changes = self._eras.changes
            elif changes != self._eras.changes:
                return Failure(_older_era_error(self._eras.known))
            records += page.records
            if page.next_after is None:
                records.sort(key=lambda r: r.offset)
                era = self._eras.known
                return Success(Batch(tuple(records), first_end, first_end, era))
            params["after"] = page.next_after

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float = 0.0,
        arriving: asyncio.Event | None = None,
    ) -> Result[Batch, StoreError]:
        """Records of a keyed topic from ``offset`` on.

        :param wait_s: how long the store may hold the call until a record exists.
        :param arriving: set when the answer starts to arrive.
        """
        params = {
            "topic": topic,
            "part": "0",
            "from": str(offset),
            "maxKb": str(MAX_READ_KB),
        }
        if wait_s:
            params["waitMs"] = str(int(wait_s * 1_000))
        answer = await self._call(
            "GET", "/log-read", params, extra_s=wait_s, arriving=arriving
        )
        era = self._eras.known
        batch = answer.bind(
            lambda data: _decode_answer(lambda: decode_batch(offset, data))
        )
        return batch.map(lambda b: attrs.evolve(b, era=era))

    async def end(self, topic: str, last_key: str) -> Result[int, StoreError]:
        """The offset after the last record, without the records.

        :param last_key: the topic's last key; the answer holds only keys after it.
        """
        params = {"topic": topic, "part": "0", "after": last_key}
        answer = await self._call("GET", "/log-newest", params)
        return answer.bind(lambda data: _decode_answer(lambda: decode_page(data).end))

    async def append(
        self, topic: str, key: str, value: bytes, writer: Writer
    ) -> Result[int, StoreError]:
        """Append one keyed record; returns its offset."""
        answer = await self._append(topic, encode_keyed(key, value), writer)
        return answer.bind(lambda data: _decode_answer(lambda: decode_appended(data)))

    async def set_epoch(self, topic: str, writer: Writer) -> Result[None, StoreError]:
        """Fence off appends of earlier incarnations of ``writer``."""
        answer = await self._append(topic, b"", writer)
        return answer.bind(lambda data: _decode_answer(lambda: check_confirmed(data)))

    async def _append(
        self, topic: str, body: bytes, writer: Writer
    ) -> Result[bytes, StoreError]:
        params = {
            "topic": topic,
            "part": "0",
            "producer": writer.name,
            "epoch": str(writer.epoch),
            "sequence": str(writer.sequence),
        }
        return await self._call("POST", "/log-append", params, body)

    async def _call(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        body: bytes | None = None,
        extra_s: float = 0.0,
        arriving: asyncio.Event | None = None,
    ) -> Result[bytes, StoreError]:
        timeout = aiohttp.ClientTimeout(
            total=MAX_ANSWER_S + extra_s,
            sock_connect=CALL_TIMEOUT_S,
            sock_read=CALL_TIMEOUT_S + extra_s,
        )
        changes_before = self._eras.changes
        try:
            async with self._session.request(
                method, self._base + path, params=params, data=body, timeout=timeout
            ) as response:
                if arriving is not None:
                    arriving.set()
                data = await response.read()
                era = self._era_of(response)
                if (
                    self._eras.observe(era, changes_before, time.monotonic())
                    is EraStatus.LATE
                ):
                    return Failure(_older_era_error(era))
                if response.status == 200:
                    if not data and framing_of(response.headers) is Framing.CONNECTION:
                        return Failure(_no_body())
                    return Success(data)
                return Failure(_error_of_status(response.status, data))
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            detail = f"{type(exc).__name__}: {exc}"
            return Failure(StoreError(StoreErrorKind.UNREACHABLE, detail))

    def _era_of(self, response: aiohttp.ClientResponse) -> Era | None:
        """The era of an answer; an unreadable one counts as missing."""
        try:
            return decode_era(response.headers.get(ERA_HEADER))
        except UnreadableError as exc:
            detail = str(exc)
        if detail != self._unreadable_era:
            # Log each value once, because every answer may carry it.
            self._unreadable_era = detail
            log_event(_log, Event.ERA_UNREADABLE, logging.ERROR, detail=detail)
        return None


def _no_body() -> StoreError:
    detail = "an answer without length or body"
    return StoreError(StoreErrorKind.UNREADABLE, detail)


def _older_era_error(era: Era | None) -> StoreError:
    return StoreError(StoreErrorKind.OLDER_ERA, f"era {era}")


def _error_of_status(status: int, data: bytes) -> StoreError:
    if status == 410:
        return StoreError(StoreErrorKind.TRIMMED, "410")
    if status == 409:
        body = _decode_object(data)
        if body.get("reason") == "fenced":
            return StoreError(StoreErrorKind.FENCED, "409 fenced")
        expected = next(
            (v for k, v in body.items() if k != "reason" and isinstance(v, int)), None
        )
        return StoreError(StoreErrorKind.OUT_OF_SEQUENCE, f"409 {body}", expected)
    if status in (429, 503, 507):
        return StoreError(StoreErrorKind.REFUSED, str(status))
    return StoreError(StoreErrorKind.UNREACHABLE, str(status))


def _decode_object(data: bytes) -> dict[str, object]:
    try:
        value = parse_json(data)
    except UnreadableError:
        return {}
    return value if isinstance(value, dict) else {}


def _decode_answer(decode: Callable[[], _Decoded]) -> Result[_Decoded, StoreError]:
    """Decode an answer; an unreadable one becomes a failure."""
    try:
        return Success(decode())
    except UnreadableError as exc:
        return Failure(StoreError(StoreErrorKind.UNREADABLE, str(exc)))
