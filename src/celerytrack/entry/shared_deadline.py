"""A deadline for many pieces of work that may be set while they run."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from celerytrack.loop_time import loop_time


class DeadlineExceededError(Exception):
    """The deadline passed before the work was done."""


class SharedDeadline:
    """The deadline of all work that runs in :meth:`scope`; none until it is set."""

    def __init__(self) -> None:
        self._until_s: float | None = None
        self._scopes: set[asyncio.Timeout] = set()

    def has_passed(self, now_s: float) -> bool:
        return self._until_s is not None and now_s >= self._until_s

    def set(self, until_s: float) -> None:
        """End current and future work at ``until_s``, on the monotonic clock."""
        self._until_s = until_s
        for scope in self._scopes:
            scope.reschedule(loop_time(until_s))

    @contextlib.asynccontextmanager
    async def scope(self) -> AsyncIterator[None]:
        """Run the body until the deadline, also if that is set or moved meanwhile.

        :raises DeadlineExceededError: if the deadline passed first.
        """
        until_s = self._until_s
        scope = asyncio.timeout_at(None if until_s is None else loop_time(until_s))
        self._scopes.add(scope)
        try:
            async with scope:
                yield
        except TimeoutError:
            if scope.expired():
                raise DeadlineExceededError from None
            raise
        finally:
            self._scopes.discard(scope)
