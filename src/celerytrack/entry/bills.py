"""The task that owns this entry's bill stream on the log.

Bills are batched: one append carries every bill that came in during
``flush_s``, so the fleet's appends grow with entries, not with requests.
Each entry writes only its own stream, ``bills.<entry id>``, by conditional
append, so a batch lands once even when a reply is lost: the writer reads
back and finds its batch id instead of appending it a second time.
"""

import asyncio
import logging
from typing import Any

import attrs
from returns.result import Failure, Success

from celerytrack.events import Event, log_event
from celerytrack.ids import AccountId, EntryId, RequestId
from celerytrack.logclient import LogClient, LogErrorKind

_log = logging.getLogger(__name__)

_MAX_BATCH = 5000
_BACKOFF_S = 0.2


def bills_stream(entry: str) -> str:
    """The name of ``entry``'s bill stream."""
    return f"bills.{entry}"


@attrs.frozen
class Bill:
    """One request's charge, in tokens."""

    request_id: RequestId
    account: AccountId
    work_class: str
    tokens: int


class BillWriter:
    """Batches bills and appends each batch exactly once.

    :param log: client of the platform log.
    :param entry: this entry's id.
    :param boot_id: unique per process start, part of every batch id.
    :param flush_s: longest a bill waits to be batched.
    """

    def __init__(
        self, log: LogClient, entry: EntryId, boot_id: str, flush_s: float
    ) -> None:
        self._log = log
        self._entry = entry
        self._stream = bills_stream(entry)
        self._boot_id = boot_id
        self._flush_s = flush_s
        self._pending: list[tuple[Bill, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()
        self._next_offset: int | None = None
        self._serial = 0
        self.flushed_batches = 0

    @property
    def backlog(self) -> int:
        """Bills not yet on the log."""
        return len(self._pending)

    def submit(self, bill: Bill) -> asyncio.Future[None]:
        """Queue ``bill``; the future is done once it is on the log."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._pending.append((bill, done))
        self._wake.set()
        return done

    async def run(self) -> None:
        """Flush batches forever."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(self._flush_s)
            await self.flush()

    async def flush(self) -> None:
        """Append everything pending, retrying until the log takes it."""
        while self._pending:
            batch = self._pending[:_MAX_BATCH]
            self._serial += 1
            record = {
                "type": "bills",
                "batch_id": f"{self._entry}.{self._boot_id}.{self._serial}",
                "bills": [
                    [b.request_id, b.account, b.work_class, b.tokens] for b, _ in batch
                ],
            }
            while not await self._append_once(record):
                log_event(
                    _log, Event.BILLS_FLUSH_FAILED, logging.WARNING, bills=len(batch)
                )
                await asyncio.sleep(_BACKOFF_S)
            del self._pending[: len(batch)]
            for _, done in batch:
                if not done.done():
                    done.set_result(None)
            self.flushed_batches += 1
            log_event(_log, Event.BILLS_FLUSHED, logging.DEBUG, bills=len(batch))
        self._wake.clear()

    async def _append_once(self, record: dict[str, Any]) -> bool:
        """Try one append of ``record``; ``True`` once it is on the log."""
        if self._next_offset is None:
            found = await self._scan(record)
            if found is None:
                return False
            if found:
                return True
        match await self._log.append(self._stream, [record], self._next_offset):
            case Success(appended):
                self._next_offset = appended.next_offset
                return True
            case Failure(error) if error.kind in (
                LogErrorKind.CONFLICT,
                LogErrorKind.UNKNOWN_OUTCOME,
            ):
                # The batch may have landed before its reply was lost; read
                # from where we wrote and look for our batch id before
                # appending again, or the batch would be billed twice.
                return bool(await self._scan(record))
            case _:
                return False

    async def _scan(self, record: dict[str, Any]) -> bool | None:
        """Read to the stream's end looking for ``record``'s batch id.

        :returns: ``True`` if found, ``False`` if not (the end is then known),
            ``None`` if the log could not be read.
        """
        start = self._next_offset or 0
        while True:
            match await self._log.read(self._stream, start):
                case Success(batch):
                    self._next_offset = batch.next_offset
                    if any(
                        r.get("batch_id") == record["batch_id"]
                        for _, r in batch.records
                    ):
                        return True
                    if not batch.records:
                        return False
                    start = batch.next_offset
                case Failure(error) if error.kind is LogErrorKind.TRIMMED:
                    start = int(error.start_offset or 0)
                case _:
                    return None
