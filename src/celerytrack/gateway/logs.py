"""Structured logs on standard output that never block and stay bounded."""

import logging
import os
import sys
import time

from pythonjsonlogger.json import JsonFormatter

from celerytrack.events import Event

LINES_PER_S = 150.0
"""Lines written a second as a rule: a few for each request of a busy instance."""
LINES_BURST = 600.0
"""Lines that may come at once, as in an outage's first second."""


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor, dropping what it cannot take.

    A reader that stalls fills the pipe; a blocking write would then stop the
    event loop and with it every request. Dropped lines are counted, and the
    count is written when there is room again.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self._fd = fd
        self._level = LINES_BURST
        self._filled_s = time.monotonic()
        self._dropped = 0
        self._rest = b""
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        now_s = time.monotonic()
        earned = (now_s - self._filled_s) * LINES_PER_S
        self._level = min(LINES_BURST, self._level + earned)
        self._filled_s = now_s
        if self._level < 1 and record.levelno < logging.WARNING:
            self._dropped += 1
            return
        self._level -= 1
        lines = self.format(record)
        if self._dropped:
            lines += f"\n{self.format(self._note(record))}"
        if self._write(f"{lines}\n".encode()):
            self._dropped = 0
        else:
            self._dropped += 1

    def _note(self, record: logging.LogRecord) -> logging.LogRecord:
        """A record that says how many lines were dropped before it."""
        name = Event.LINES_DROPPED.name.lower()
        note = logging.makeLogRecord({**record.__dict__, "msg": name, "args": None})
        note.__dict__.update(event=int(Event.LINES_DROPPED), lines=self._dropped)
        return note

    def _write(self, data: bytes) -> bool:
        if not self._flush():
            return False
        self._rest = data
        self._flush()
        return True

    def _flush(self) -> bool:
        # A line cut in the middle by a full pipe goes on where it stopped.
        while self._rest:
            try:
                written = os.write(self._fd, self._rest)
            except BlockingIOError:
                return False
            except OSError:
                self._rest = b""
                return True
            self._rest = self._rest[written:]
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
