"""An end for work in progress that may be set while the work is under way."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from celerytrack.loop_time import loop_time


class TimeIsUpError(Exception):
    """The end came before the work was done."""


class TimeLimit:
    """The end of all work that is begun within :meth:`bounded`; none at first."""

    def __init__(self) -> None:
        self._until_s: float | None = None
        self._scopes: set[asyncio.Timeout] = set()

    def is_over(self, now_s: float) -> bool:
        """Whether nothing may be begun any more."""
        return self._until_s is not None and now_s >= self._until_s

    def set_end(self, until_s: float) -> None:
        """End what is under way, and what will be begun, at ``until_s``."""
        self._until_s = until_s
        for scope in self._scopes:
            scope.reschedule(loop_time(until_s))

    @contextlib.asynccontextmanager
    async def bounded(self) -> AsyncIterator[None]:
        """Run work that ends at the limit.

        :raises TimeIsUpError: if it had to.
        """
        until_s = self._until_s
        scope = asyncio.timeout_at(None if until_s is None else loop_time(until_s))
        self._scopes.add(scope)
        try:
            async with scope:
                yield
        except TimeoutError:
            if scope.expired():
                raise TimeIsUpError from None
            raise
        finally:
            self._scopes.discard(scope)
