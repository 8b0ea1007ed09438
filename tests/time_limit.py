"""A time limit for each test, as a plugin of nose2.

A test that goes on for ever ends with an error that shows what it waited for, and the
run goes on.
"""

import asyncio
import contextlib
import signal
import sys
import traceback
from collections.abc import Iterator
from types import FrameType

from nose2.events import Plugin, StartTestEvent, StopTestEvent

LIMIT_S = 600.0
"""Several times the slowest test on a busy machine."""
REPEAT_S = 30.0
"""A test that catches its cancellation is cancelled again."""


def _end_test(signum: int, frame: FrameType | None) -> None:
    print("the test's time is up:", file=sys.stderr)
    traceback.print_stack(frame)
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        raise AssertionError("the test's time is up") from None
    for task in asyncio.all_tasks(loop):
        task.print_stack(file=sys.stderr)
        loop.call_soon_threadsafe(task.cancel)


def begin_limit(limit_s: float) -> None:
    """Begin the time of a test."""
    signal.signal(signal.SIGALRM, _end_test)
    signal.setitimer(signal.ITIMER_REAL, limit_s, REPEAT_S)


def end_limit() -> None:
    """End the time of a test."""
    signal.setitimer(signal.ITIMER_REAL, 0.0)


@contextlib.contextmanager
def time_limit(limit_s: float) -> Iterator[None]:
    """Limit the time of what runs inside."""
    begin_limit(limit_s)
    try:
        yield
    finally:
        end_limit()


class TimeLimit(Plugin):  # type: ignore[misc]
    """Limits each test of a run."""

    alwaysOn = True  # noqa: N815

    def startTest(self, event: StartTestEvent) -> None:  # noqa: N802
        """Called before a test."""
        begin_limit(LIMIT_S)

    def stopTest(self, event: StopTestEvent) -> None:  # noqa: N802
        """Called after a test."""
        end_limit()
