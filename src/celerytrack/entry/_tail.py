"""Reads one stream of the log from an offset and follows it by long polls."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any

from returns.result import Failure, Result, Success

from celerytrack.events import Event, log_event
from celerytrack.logclient import Batch, LogClient, LogError, LogErrorKind
from celerytrack.record_faults import RecordFaults
from celerytrack.strict import UnreadableError

_log = logging.getLogger(__name__)

_RETRY_S = 0.2
_READ_LIMIT = 1_000
"""Most records that one read requests."""


Restore = Callable[[int], Awaitable[int]]
"""Called when the log has dropped the records below the given start offset. Restores
a snapshot and returns the offset to continue from."""


async def _skip_to_start(start_offset: int) -> int:
    return start_offset


async def read_past_unreadable(
    log: LogClient,
    stream: str,
    offset: int,
    faults: RecordFaults,
    wait_s: float = 0.0,
) -> Result[Batch, LogError]:
    """Read records, or pass over one that can't be parsed.

    Such a record makes the whole answer unreadable. Fewer are requested until the
    answer ends before it, or holds nothing else.
    """
    limit = _READ_LIMIT
    result = await log.read(stream, offset, limit, wait_s)
    while True:
        match result:
            case Failure(error) if error.kind is LogErrorKind.UNREADABLE:
                if limit == 1:
                    with faults.caught(offset):
                        raise UnreadableError("nested too deep")
                    return Success(Batch([], offset + 1, offset))
                limit //= 2
                result = await log.read(stream, offset, limit)
            case _:
                return result


async def catch_up(
    log: LogClient,
    stream: str,
    start: int,
    apply: Callable[[int, Any], None],
    restore: Restore = _skip_to_start,
) -> int | None:
    """Apply the records of ``stream`` from ``start`` to its end.

    :returns: the next offset, or ``None`` if the log could not be read.
    """
    offset = start
    faults = RecordFaults(_log, stream)
    while True:
        result = await read_past_unreadable(log, stream, offset, faults)
        match result:
            case Success(batch):
                for at, record in batch.records:
                    with faults.caught(at):
                        apply(at, record)
                at_end = not batch.records and batch.next_offset <= offset
                offset = batch.next_offset
                if at_end:
                    return offset
            case Failure(error) if error.kind is LogErrorKind.TRIMMED:
                offset = await _restore_after_trim(
                    stream, offset, error.start_offset, restore
                )
            case _:
                return None


async def _restore_after_trim(
    stream: str, wanted: int, start: int | None, restore: Restore
) -> int:
    # Retention dropped records that this reader has not read, and a replay that
    # continues at the first kept record would miss them. ``restore`` loads a snapshot
    # taken at or after the new start, so the replay stays complete. Snapshots are
    # written well within the retention time.
    log_event(
        _log,
        Event.LEDGER_GAP,
        logging.WARNING,
        stream=stream,
        wanted=wanted,
        start=start,
    )
    return await restore(int(start or 0))


async def follow(
    log: LogClient,
    stream: str,
    start: int,
    apply: Callable[[int, Any], None],
    wait_s: float = 1.0,
    restore: Restore = _skip_to_start,
    on_contact: Callable[[bool], None] = lambda reachable: None,
) -> None:
    """Apply every record of ``stream`` from ``start`` on, forever.

    :param on_contact: called after each read with whether the log answered.
    """
    offset = start
    faults = RecordFaults(_log, stream)
    while True:
        result = await read_past_unreadable(log, stream, offset, faults, wait_s)
        match result:
            case Success(batch):
                on_contact(True)
                for at, record in batch.records:
                    with faults.caught(at):
                        apply(at, record)
                offset = batch.next_offset
            case Failure(error) if error.kind is LogErrorKind.TRIMMED:
                offset = await _restore_after_trim(
                    stream, offset, error.start_offset, restore
                )
            case _:
                on_contact(False)
                await asyncio.sleep(_RETRY_S)
