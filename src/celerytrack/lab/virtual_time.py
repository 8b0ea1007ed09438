"""An event loop whose time jumps to the next timer, and instances' clocks on it.

Code that waits and reads clocks runs unchanged, and a minute of a fleet takes
seconds. Each modelled instance has a steady clock and a time of day of its own:
a loss of power starts the first anew, and either may be off.
"""

import asyncio
import contextlib
import contextvars
import selectors
import time
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

import attrs

_T = TypeVar("_T")

EPOCH_S = 1_700_000_000.0
"""The time of day at the start of each run, in Unix seconds."""


@attrs.frozen
class Clock:
    """The clocks of one instance, against modelled time.

    :ivar steady_ahead_s: its steady clock less modelled time.
    :ivar day_ahead_s: its time of day less the true one.
    """

    steady_ahead_s: float = 0.0
    day_ahead_s: float = 0.0


_TRUE = Clock()
_clock: contextvars.ContextVar[Clock] = contextvars.ContextVar("clock", default=_TRUE)


class StalledError(RuntimeError):
    """Every task waits for something that no timer will bring."""


class _JumpingSelector(selectors.SelectSelector):
    """Waits by letting time pass."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Let ``timeout`` pass; nothing ever comes from outside."""
        if timeout is None:
            raise StalledError("no timer is set")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in modelled time, which begins at 0."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Modelled seconds since the start."""
        return self._jumping.now_s


def on_instance(clock: Clock, coro: Coroutine[Any, Any, _T]) -> "asyncio.Task[_T]":
    """Run ``coro`` on an instance: what it and its tasks read are its clocks."""
    context = contextvars.copy_context()
    context.run(_clock.set, clock)
    return asyncio.get_running_loop().create_task(coro, context=context)


@contextlib.contextmanager
def _clocks_of(loop: VirtualLoop) -> Iterator[None]:
    steady, day = time.monotonic, time.time
    time.monotonic = lambda: loop.time() + _clock.get().steady_ahead_s
    time.time = lambda: EPOCH_S + loop.time() + _clock.get().day_ahead_s
    try:
        yield
    finally:
        time.monotonic, time.time = steady, day


def run_virtual(coro: Coroutine[Any, Any, _T]) -> _T:
    """Run ``coro`` to its end in modelled time.

    :raises StalledError: if nothing more can happen before that.
    """
    loop = VirtualLoop()
    try:
        with _clocks_of(loop):
            return loop.run_until_complete(coro)
    finally:
        loop.close()
