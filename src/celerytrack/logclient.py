"""A client of the platform log service (protocol in ``standins/log.py``).

Every call returns a :class:`returns.result.Result`: ``Success`` with the
answer, or ``Failure`` with a :class:`LogError` that says whether the append
may have taken effect. After ``UNKNOWN_OUTCOME`` it may or may not have.
"""

import enum
from typing import Any

import aiohttp
import attrs
from returns.result import Failure, Result, Success

from celerytrack.answer_limits import LOG_LIMITS
from celerytrack.http_session import make_http_session
from celerytrack.strict import UnreadableError, parse_lenient

IDLE_S = 15.0
"""Idle time after which a connection is not reused."""
READ_IDLE_TIMEOUT_S = 2.0
"""Longest wait for the next bytes of a read, in addition to the time that the log may
hold it. A change must be in force within five seconds, even if the read that was held
before it is never answered."""
_STATUSES_WITH_FIELDS = frozenset({200, 404, 409, 410})
"""Statuses of answers that mean something only with their body."""


class LogErrorKind(enum.Enum):
    """Why a log call failed."""

    CONFLICT = "conflict"
    """A conditional append expected another next offset; nothing was written."""
    UNREACHABLE = "unreachable"
    """The request was refused or never arrived; nothing was written."""
    UNKNOWN_OUTCOME = "unknown_outcome"
    """The reply was lost: the append may or may not have taken effect."""
    RATE_LIMITED = "rate_limited"
    """Refused by the appends-per-second limit; nothing was written."""
    UNREADABLE = "unreadable"
    """A record in the answer is nested too deep to be parsed."""
    TRIMMED = "trimmed"
    """The requested offset is below the oldest one that the log retains."""


@attrs.frozen
class LogError:
    """A failed log call, with the log's offsets as far as they are known."""

    kind: LogErrorKind
    next_offset: int | None = None
    start_offset: int | None = None


@attrs.frozen
class Appended:
    """Offsets of an accepted append: ``first_offset`` to ``next_offset - 1``."""

    first_offset: int
    next_offset: int


@attrs.frozen
class Batch:
    """Records read from a stream, as ``(offset, record)`` pairs."""

    records: list[tuple[int, Any]]
    next_offset: int
    start_offset: int


async def _read_fields(response: aiohttp.ClientResponse) -> dict[str, Any]:
    """Read an answer to its end.

    One without length that stops after its head raises no error by itself.

    :raises UnreadableError: if it succeeded, or says where the log is, without fields.
    :raises RecursionError: if it is nested too deeply.
    """
    data = await response.json(content_type=None, loads=parse_lenient)
    if isinstance(data, dict):
        return data
    if response.status in _STATUSES_WITH_FIELDS:
        raise UnreadableError(f"an answer with {response.status} must be an object")
    return {}


class LogClient:
    """Client of one log service over a shared aiohttp session.

    :param address: ``host:port`` of the log service.
    :param client_id: sent as ``X-Client``, so that a fault can partition one client.
    :param timeout_s: timeout of a call, in addition to the time the log may hold it.
    """

    def __init__(self, address: str, client_id: str, timeout_s: float = 5.0) -> None:
        self._base = f"http://{address}/streams/"
        self._headers = {"X-Client": client_id}
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    def _http(self) -> aiohttp.ClientSession:
        if self._session is None or self._session.closed:
            self._session = make_http_session(
                IDLE_S, headers=self._headers, limits=LOG_LIMITS
            )
        return self._session

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def append(
        self, stream: str, records: list[Any], expected_offset: int | None = None
    ) -> Result[Appended, LogError]:
        """Append ``records`` in one call, if the next offset is ``expected_offset``.

        ``None`` appends them unconditionally.
        """
        body = {"records": records, "expected_offset": expected_offset}
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._http().post(
                self._base + stream, json=body, timeout=timeout
            ) as resp:
                data = await _read_fields(resp)
                if resp.status == 200:
                    return Success(Appended(data["first_offset"], data["next_offset"]))
                if resp.status == 409:
                    return Failure(LogError(LogErrorKind.CONFLICT, data["next_offset"]))
                if resp.status == 429:
                    return Failure(LogError(LogErrorKind.RATE_LIMITED))
                return Failure(LogError(LogErrorKind.UNREACHABLE))
        except aiohttp.ClientConnectorError:
            return Failure(LogError(LogErrorKind.UNREACHABLE))
        except (aiohttp.ClientError, TimeoutError, ValueError, RecursionError):
            # The append may have taken effect before the connection failed. The
            # caller has to read the log to find out.
            return Failure(LogError(LogErrorKind.UNKNOWN_OUTCOME))

    async def read(
        self, stream: str, start: int, limit: int = 1000, wait_s: float = 0.0
    ) -> Result[Batch, LogError]:
        """Records from offset ``start``; waits up to ``wait_s`` for new ones."""
        params = {"from": str(start), "limit": str(limit), "wait_s": str(wait_s)}
        timeout = aiohttp.ClientTimeout(
            total=self._timeout_s + wait_s, sock_read=READ_IDLE_TIMEOUT_S + wait_s
        )
        try:
            async with self._http().get(
                self._base + stream, params=params, timeout=timeout
            ) as resp:
                data = await _read_fields(resp)
                if resp.status == 410:
                    return Failure(
                        LogError(
                            LogErrorKind.TRIMMED, start_offset=data["start_offset"]
                        )
                    )
                if resp.status != 200:
                    return Failure(LogError(LogErrorKind.UNREACHABLE))
                pairs = [(int(o), r) for o, r in data["records"]]
                return Success(Batch(pairs, data["next_offset"], data["start_offset"]))
        except RecursionError:
            return Failure(LogError(LogErrorKind.UNREADABLE))
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return Failure(LogError(LogErrorKind.UNREACHABLE))

    async def last(self, stream: str) -> Result[tuple[int, Any] | None, LogError]:
        """The last record of ``stream`` with its offset; ``None`` if it is empty."""
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._http().get(
                self._base + stream + "/last", timeout=timeout
            ) as resp:
                data = await _read_fields(resp)
                if resp.status == 404:
                    return Success(None)
                if resp.status != 200:
                    return Failure(LogError(LogErrorKind.UNREACHABLE))
                return Success((int(data["offset"]), data["record"]))
        except RecursionError:
            return Failure(LogError(LogErrorKind.UNREADABLE))
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return Failure(LogError(LogErrorKind.UNREACHABLE))
