"""Hedged calls to the store: a call that is not answered soon is sent again.

This covers a store that does its work but loses a part of its answers. A lost answer is
otherwise detected only by the call's timeout, which must be long enough for a slow
store; a row delayed by it leaves every request that lacks tokens without them.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, TypeVar

from returns.result import Failure, Result, Success

from celerytrack.platform.log_format import Batch
from celerytrack.platform.store import StoreError, StoreErrorKind, Writer

MIN_HEDGE_DELAY_S = 0.05
"""Shortest delay before the second call: ten times the usual latency."""
HEDGE_LATENCY_FACTOR = 4.0
"""The same delay as a multiple of the mean latency: on a slow store or a full link, an
earlier second call would double the load to no avail."""
LATENCY_EWMA_WEIGHT = 0.1
"""Weight of the newest answer in the mean latency."""

_T = TypeVar("_T")
_Answer = Result[_T, StoreError]
_Call = Callable[[asyncio.Event], Coroutine[Any, Any, _Answer[_T]]]
"""Makes a call; the event is set when its answer begins to arrive."""
_FIRST = asyncio.FIRST_COMPLETED


class Store(Protocol):
    """Operations of the platform's store."""

    async def newest(self, topic: str) -> Result[Batch, StoreError]:
        """The newest record of each key of ``topic``."""

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float = 0.0,
        arriving: asyncio.Event | None = None,
    ) -> Result[Batch, StoreError]:
        """Records of a keyed topic from ``offset`` on.

        :param wait_s: how long the store may hold the call (long poll).
        :param arriving: set when the answer begins to arrive.
        """

    async def end(self, topic: str, last_key: str) -> Result[int, StoreError]:
        """The offset behind the last record."""

    async def append(
        self, topic: str, key: str, value: bytes, writer: Writer
    ) -> Result[int, StoreError]:
        """Append one keyed record; returns its offset."""

    async def set_epoch(self, topic: str, writer: Writer) -> Result[None, StoreError]:
        """Fence off appends of lower epochs of ``writer``."""

    async def close(self) -> None:
        """Close the connections."""


class HedgedStore:
    """Wraps ``store`` and hedges its short calls.

    An append may be sent twice: the store recognises it by its number and gives the
    repeat the answer of the first. A read changes nothing.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._mean_latency_s = 0.0
        self._reachable = True

    async def newest(self, topic: str) -> Result[Batch, StoreError]:
        """The newest record of each key of ``topic``; its long answer is not hedged."""
        return await self._store.newest(topic)

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float = 0.0,
        arriving: asyncio.Event | None = None,
    ) -> Result[Batch, StoreError]:
        """Records of a keyed topic from ``offset`` on; a long poll is not hedged."""
        if wait_s:
            return await self._store.read(topic, offset, wait_s, arriving)
        return await self._hedged(
            lambda arriving: self._store.read(topic, offset, arriving=arriving)
        )

    async def end(self, topic: str, last_key: str) -> Result[int, StoreError]:
        """The offset behind the last record."""
        return await self._hedged(lambda _: self._store.end(topic, last_key))

    async def append(
        self, topic: str, key: str, value: bytes, writer: Writer
    ) -> Result[int, StoreError]:
        """Append one keyed record; returns its offset."""
        return await self._hedged(
            lambda _: self._store.append(topic, key, value, writer)
        )

    async def set_epoch(self, topic: str, writer: Writer) -> Result[None, StoreError]:
        """Fence off appends of lower epochs of ``writer``."""
        return await self._hedged(lambda _: self._store.set_epoch(topic, writer))

    async def close(self) -> None:
        """Close the connections."""
        await self._store.close()

    async def _hedged(self, call: _Call[_T]) -> _Answer[_T]:
        arriving = asyncio.Event()
        if not self._reachable:
            # The last call got no answer: while the store is unreachable, a second call
            # is of no use.
            return await self._measured(call(arriving))
        first = asyncio.create_task(self._measured(call(arriving)))
        tasks = [first]
        answer_begun = asyncio.create_task(arriving.wait())
        try:
            wait_s = max(MIN_HEDGE_DELAY_S, HEDGE_LATENCY_FACTOR * self._mean_latency_s)
            await asyncio.wait(
                (first, answer_begun), timeout=wait_s, return_when=_FIRST
            )
            # An answer that has begun to arrive is not lost. If it is long and the link
            # narrow, requesting it again would double the time it takes.
            if not first.done() and not arriving.is_set():
                tasks.append(asyncio.create_task(self._measured(call(asyncio.Event()))))
            return await _first_answer(tasks)
        finally:
            for task in (*tasks, answer_begun):
                task.cancel()

    async def _measured(self, answer: Awaitable[_Answer[_T]]) -> _Answer[_T]:
        started_s = time.monotonic()
        result = await answer
        self._reachable = not _is_unanswered(result)
        if self._reachable:
            took_s = time.monotonic() - started_s
            self._mean_latency_s += LATENCY_EWMA_WEIGHT * (
                took_s - self._mean_latency_s
            )
        return result


async def _first_answer(tasks: list["asyncio.Task[_Answer[_T]]"]) -> _Answer[_T]:
    """The first answer of the store, or the failure if there was none."""
    for done in asyncio.as_completed(tasks):
        result = await done
        if not _is_unanswered(result) and not _is_of_older_era(result):
            return result
    return result


def _is_of_older_era(result: Result[Any, StoreError]) -> bool:
    """Whether the answer is of a past era: that of the other call may be current."""
    match result:
        case Failure(error):
            return error.kind is StoreErrorKind.OLDER_ERA
    return False


def _is_unanswered(result: Result[Any, StoreError]) -> bool:
    match result:
        case Success(_):
            return False
        case Failure(error):
            return error.kind is StoreErrorKind.UNREACHABLE
    return False
