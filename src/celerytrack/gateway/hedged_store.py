"""Calls to the store that are made a second time when the first is not answered soon.

Load pattern answered: a store that does its work and loses a part of its answers. A
lost answer is found out by the call's time limit, which a slow store needs; a row that
waits so long leaves every request that lacks tokens without them.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any, Protocol, TypeVar

from returns.result import Failure, Result, Success

from celerytrack.platform.log_format import Batch
from celerytrack.platform.store import StoreError, StoreErrorKind, Writer

SECOND_AFTER_S = 0.05
"""Shortest wait before a call is made again: ten times what an answer takes."""
SECOND_TIMES = 4.0
"""The same as a multiple of what answers took of late: a store that is slow, or a link
that is full, would get twice the load for nothing."""
ANSWER_GAIN = 0.1
"""Weight of the newest answer in how long answers take."""

_T = TypeVar("_T")
_Answer = Result[_T, StoreError]
_Call = Callable[[asyncio.Event], Coroutine[Any, Any, _Answer[_T]]]
"""Makes a call; the event is set once its answer begins to arrive."""
_FIRST = asyncio.FIRST_COMPLETED


class Store(Protocol):
    """What the platform's store offers."""

    async def newest(self, topic: str) -> Result[Batch, StoreError]:
        """The newest record of each key of ``topic``."""

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float = 0.0,
        arriving: asyncio.Event | None = None,
    ) -> Result[Batch, StoreError]:
        """Records of a keyed topic from ``offset`` on."""

    async def end(self, topic: str, last_key: str) -> Result[int, StoreError]:
        """The offset behind the last record."""

    async def append(
        self, topic: str, key: str, value: bytes, writer: Writer
    ) -> Result[int, StoreError]:
        """Append one keyed record; its offset."""

    async def set_epoch(self, topic: str, writer: Writer) -> Result[None, StoreError]:
        """Fence off appends of earlier starts of ``writer``."""

    async def close(self) -> None:
        """Close the connections."""


class HedgedStore:
    """Offers what ``store`` does; short calls are made again if need be.

    An append may be repeated: the store knows it by its number and gives a repeat the
    answer of the first. A read changes nothing.
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._answer_s = 0.0
        self._answered = True

    async def newest(self, topic: str) -> Result[Batch, StoreError]:
        """The newest record of each key of ``topic``: a long answer, asked for once."""
        return await self._store.newest(topic)

    async def read(
        self,
        topic: str,
        offset: int,
        wait_s: float = 0.0,
        arriving: asyncio.Event | None = None,
    ) -> Result[Batch, StoreError]:
        """Records of a keyed topic from ``offset`` on; asked for once if the store may
        hold the call."""
        if wait_s:
            return await self._store.read(topic, offset, wait_s, arriving)
        return await self._twice(
            lambda arriving: self._store.read(topic, offset, arriving=arriving)
        )

    async def end(self, topic: str, last_key: str) -> Result[int, StoreError]:
        """The offset behind the last record."""
        return await self._twice(lambda _: self._store.end(topic, last_key))

    async def append(
        self, topic: str, key: str, value: bytes, writer: Writer
    ) -> Result[int, StoreError]:
        """Append one keyed record; its offset."""
        return await self._twice(
            lambda _: self._store.append(topic, key, value, writer)
        )

    async def set_epoch(self, topic: str, writer: Writer) -> Result[None, StoreError]:
        """Fence off appends of earlier starts of ``writer``."""
        return await self._twice(lambda _: self._store.set_epoch(topic, writer))

    async def close(self) -> None:
        """Close the connections."""
        await self._store.close()

    async def _twice(self, call: _Call[_T]) -> _Answer[_T]:
        arriving = asyncio.Event()
        if not self._answered:
            # The store is away, as far as known: a second call brings nothing.
            return await self._timed(call(arriving))
        first = asyncio.create_task(self._timed(call(arriving)))
        tasks = [first]
        begun = asyncio.create_task(arriving.wait())
        try:
            wait_s = max(SECOND_AFTER_S, SECOND_TIMES * self._answer_s)
            await asyncio.wait((first, begun), timeout=wait_s, return_when=_FIRST)
            # What arrives is not lost: asked for again, a long answer on a narrow link
            # would take twice as long.
            if not first.done() and not arriving.is_set():
                tasks.append(asyncio.create_task(self._timed(call(asyncio.Event()))))
            return await _first_answer(tasks)
        finally:
            for task in (*tasks, begun):
                task.cancel()

    async def _timed(self, answer: Awaitable[_Answer[_T]]) -> _Answer[_T]:
        started_s = time.monotonic()
        result = await answer
        self._answered = not _unanswered(result)
        if self._answered:
            took_s = time.monotonic() - started_s
            self._answer_s += ANSWER_GAIN * (took_s - self._answer_s)
        return result


async def _first_answer(tasks: list["asyncio.Task[_Answer[_T]]"]) -> _Answer[_T]:
    """The first answer of the store, or that there was none."""
    for done in asyncio.as_completed(tasks):
        result = await done
        if not _unanswered(result) and not _overtaken(result):
            return result
    return result


def _overtaken(result: Result[Any, StoreError]) -> bool:
    """Whether the answer is of an era that is over: the other call's may not be."""
    match result:
        case Failure(error):
            return error.kind is StoreErrorKind.OLDER_ERA
    return False


def _unanswered(result: Result[Any, StoreError]) -> bool:
    match result:
        case Success(_):
            return False
        case Failure(error):
            return error.kind is StoreErrorKind.UNREACHABLE
    return False
