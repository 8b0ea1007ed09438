"""Rate-limited structured logs on standard output that never block."""

import logging
import os
import sys
import time

import attrs
from pythonjsonlogger.json import JsonFormatter

from celerytrack.events import Event

MAX_LINES_PER_S = 150.0
"""Sustained rate of the token bucket: a few lines for each request of a busy
instance."""
LINES_BURST = 600.0
"""Capacity of the token bucket: covers a burst such as the first second of an
outage."""
MAX_WARNINGS_PER_S = 50.0
"""Sustained rate of warnings and errors, which are counted apart: what others write or
send must not fill the log."""
WARNINGS_BURST = 600.0
"""Capacity of the token bucket for warnings and errors."""


@attrs.define
class _TokenBucket:
    """A rate limit on lines.

    :ivar rate_per_s: how many tokens come back in a second.
    """

    rate_per_s: float
    capacity: float
    refilled_at_s: float
    tokens: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.tokens = self.capacity

    def try_take(self, now_s: float) -> bool:
        refill = (now_s - self.refilled_at_s) * self.rate_per_s
        self.tokens = min(self.capacity, self.tokens + refill)
        self.refilled_at_s = now_s
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor and drops lines that it does not accept.

    A stalled reader fills the pipe; a blocking write would then stop the event loop
    and with it every request. Dropped lines are counted, and the count is written once
    the descriptor accepts lines again.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self._fd = fd
        now_s = time.monotonic()
        self._lines = _TokenBucket(MAX_LINES_PER_S, LINES_BURST, now_s)
        self._warnings = _TokenBucket(MAX_WARNINGS_PER_S, WARNINGS_BURST, now_s)
        self._dropped = 0
        self._unwritten = b""
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped.

        Warnings and errors have a rate limit of their own, so that no number of other
        lines displaces them.
        """
        is_warning = record.levelno >= logging.WARNING
        bucket = self._warnings if is_warning else self._lines
        if not bucket.try_take(time.monotonic()):
            self._dropped += 1
            return
        lines = self.format(record)
        if self._dropped:
            lines += f"\n{self.format(self._make_dropped_record(record))}"
        if self._write(f"{lines}\n".encode()):
            self._dropped = 0
        else:
            self._dropped += 1

    def _make_dropped_record(self, record: logging.LogRecord) -> logging.LogRecord:
        """Make a record that tells how many lines were dropped."""
        name = Event.LINES_DROPPED.name.lower()
        dropped = logging.makeLogRecord({**record.__dict__, "msg": name, "args": None})
        dropped.__dict__.update(event=int(Event.LINES_DROPPED), lines=self._dropped)
        return dropped

    def _write(self, data: bytes) -> bool:
        if not self._flush():
            return False
        self._unwritten = data
        self._flush()
        return True

    def _flush(self) -> bool:
        # A line that a full pipe took in part continues where it stopped.
        while self._unwritten:
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return False
            except OSError:
                self._unwritten = b""
                return True
            self._unwritten = self._unwritten[written:]
        return True


def setup_bounded_logging(process: str) -> None:
    """Send JSON lines to standard output, tagged with ``process``."""
    handler = BoundedHandler(sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(message)s",
            static_fields={"process": process},
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    logging.getLogger("asyncio").setLevel(logging.WARNING)
    logging.getLogger("aiohttp").setLevel(logging.ERROR)
