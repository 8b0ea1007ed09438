"""Errors of single records and messages of other writers, which end no task."""

import contextlib
import logging
from collections.abc import Iterator

from celerytrack._recent import RecentKeys
from celerytrack.events import Event, log_event

MAX_KNOWN_FAULTS = 256
"""Most faults that are remembered, so that each is logged once."""
MAX_DETAIL_CHARS = 300
"""Most characters of an error in a log line; a record may hold megabytes."""


class RecordFaults:
    """Catches what the code behind one record raises, and logs each fault once.

    Whoever wrote a record, it must not end the task that follows its source: without
    that task the process goes on with what it knew, or ends.

    :param logger: gets the lines.
    :param source: names where the records come from.
    """

    def __init__(self, logger: logging.Logger, source: str) -> None:
        self._logger = logger
        self._source = source
        self._known = RecentKeys(MAX_KNOWN_FAULTS)

    @contextlib.contextmanager
    def caught(self, key: object) -> Iterator[None]:
        """Catch an error of the record with ``key``."""
        try:
            yield
        except Exception as exc:
            name, detail = str(key)[:MAX_DETAIL_CHARS], repr(exc)[:MAX_DETAIL_CHARS]
            if self._known.add((name, detail)):
                log_event(
                    self._logger,
                    Event.RECORD_FAILED,
                    logging.ERROR,
                    topic=self._source,
                    key=name,
                    detail=detail,
                )
