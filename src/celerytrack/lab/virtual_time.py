"""An event loop whose time jumps to the next timer, and instances' clocks on it.

Code that waits and reads clocks runs unchanged, and a fleet's minute takes seconds.
Each modelled instance has its own monotonic clock and wall clock: a power loss resets
the former, and either may be wrong.
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
"""The wall time at the start of each run, in Unix seconds."""


@attrs.frozen
class Clock:
    """The clocks of one instance, relative to virtual time.

    :ivar monotonic_ahead_s: its monotonic clock minus virtual time.
    :ivar wall_ahead_s: its wall clock minus the true time.
    """

    monotonic_ahead_s: float = 0.0
    wall_ahead_s: float = 0.0


_TRUE = Clock()
_clock: contextvars.ContextVar[Clock] = contextvars.ContextVar("clock", default=_TRUE)


class StalledError(RuntimeError):
    """Every task waits for an event that no timer will cause."""


class _JumpingSelector(selectors.SelectSelector):
    """Advances time instead of waiting."""

    now_s = 0.0

    def select(self, timeout: float | None = None) -> list[Any]:
        """Advance time by ``timeout``; there are no external events."""
        if timeout is None:
            raise StalledError("no timer is set")
        self.now_s += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time, which begins at 0."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Virtual seconds since the start."""
        return self._jumping.now_s


def on_instance(clock: Clock, coro: Coroutine[Any, Any, _T]) -> "asyncio.Task[_T]":
    """Run ``coro`` on an instance, with the instance's clocks for it and its tasks."""
    context = contextvars.copy_context()
    context.run(_clock.set, clock)
    return asyncio.get_running_loop().create_task(coro, context=context)


@contextlib.contextmanager
def _patched_clocks(loop: VirtualLoop) -> Iterator[None]:
    monotonic, wall = time.monotonic, time.time
    time.monotonic = lambda: loop.time() + _clock.get().monotonic_ahead_s
    time.time = lambda: EPOCH_S + loop.time() + _clock.get().wall_ahead_s
    try:
        yield
    finally:
        time.monotonic, time.time = monotonic, wall


def run_virtual(coro: Coroutine[Any, Any, _T]) -> _T:
    """Run ``coro`` to its end in virtual time.

    :raises StalledError: if no timer is left before that.
    """
    loop = VirtualLoop()
    try:
        with _patched_clocks(loop):
            return loop.run_until_complete(coro)
    finally:
        loop.close()
