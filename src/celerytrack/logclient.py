"""A client of the platform log service (protocol in ``standins/log.py``).

Every call returns a :class:`returns.result.Result`: ``Success`` with the
answer, or ``Failure`` with a :class:`LogError` that says whether the change
may have taken effect; a caller must treat ``UNKNOWN_OUTCOME`` as "maybe".
"""

import enum
from typing import Any

import aiohttp
import attrs
from returns.result import Failure, Result, Success

READ_IDLE_TIMEOUT_S = 2.0
"""Longest wait for the next bytes of a read, beyond what the log may hold it: a change
is in force within five seconds, also if the read held before it is never answered."""


class LogErrorKind(enum.Enum):
    """How a log call failed."""

    CONFLICT = "conflict"
    """A conditional append found another next offset; nothing was written."""
    UNREACHABLE = "unreachable"
    """The request was refused or never arrived; nothing was written."""
    UNKNOWN_OUTCOME = "unknown_outcome"
    """The reply was lost: the append may or may not have taken effect."""
    RATE_LIMITED = "rate_limited"
    """Refused by the appends-per-second limit; nothing was written."""
    TRIMMED = "trimmed"
    """The asked offset is below what the log still keeps."""


@attrs.frozen
class LogError:
    """A failed log call. ``next_offset``/``start_offset`` when known."""

    kind: LogErrorKind
    next_offset: int | None = None
    start_offset: int | None = None


@attrs.frozen
class Appended:
    """Offsets of an accepted append: records got ``first..next-1``."""

    first_offset: int
    next_offset: int


@attrs.frozen
class Batch:
    """Records read from a stream, as ``(offset, record)`` pairs."""

    records: list[tuple[int, Any]]
    next_offset: int
    start_offset: int


class LogClient:
    """Talks to one log service over a shared aiohttp session.

    :param address: ``host:port`` of the log service.
    :param client_id: sent as ``X-Client``, so faults can cut one client.
    :param timeout_s: the longest any call may take beyond what the log may hold it.
    """

    def __init__(self, address: str, client_id: str, timeout_s: float = 5.0) -> None:
        self._base = f"http://{address}/streams/"
        self._headers = {"X-Client": client_id}
        self._timeout_s = timeout_s
        self._session: aiohttp.ClientSession | None = None

    def _http(self) -> aiohttp.ClientSession:
        if self._session is None or self._session.closed:
            self._session = aiohttp.ClientSession(headers=self._headers)
        return self._session

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._session is not None:
            await self._session.close()

    async def append(
        self, stream: str, records: list[Any], expected_offset: int | None = None
    ) -> Result[Appended, LogError]:
        """Append ``records`` in one call; conditional if ``expected_offset``."""
        body = {"records": records, "expected_offset": expected_offset}
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._http().post(
                self._base + stream, json=body, timeout=timeout
            ) as resp:
                data = await resp.json(content_type=None)
                if resp.status == 200:
                    return Success(Appended(data["first_offset"], data["next_offset"]))
                if resp.status == 409:
                    return Failure(LogError(LogErrorKind.CONFLICT, data["next_offset"]))
                if resp.status == 429:
                    return Failure(LogError(LogErrorKind.RATE_LIMITED))
                return Failure(LogError(LogErrorKind.UNREACHABLE))
        except aiohttp.ClientConnectorError:
            return Failure(LogError(LogErrorKind.UNREACHABLE))
        except (aiohttp.ClientError, TimeoutError, ValueError):
            # The request may have reached the log and taken effect before the
            # connection broke: the caller must read back to find out.
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
                data = await resp.json(content_type=None)
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
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return Failure(LogError(LogErrorKind.UNREACHABLE))

    async def last(self, stream: str) -> Result[tuple[int, Any] | None, LogError]:
        """The last record of ``stream`` with its offset, ``None`` if empty."""
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._http().get(
                self._base + stream + "/last", timeout=timeout
            ) as resp:
                data = await resp.json(content_type=None)
                if resp.status == 404:
                    return Success(None)
                if resp.status != 200:
                    return Failure(LogError(LogErrorKind.UNREACHABLE))
                return Success((int(data["offset"]), data["record"]))
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return Failure(LogError(LogErrorKind.UNREACHABLE))
