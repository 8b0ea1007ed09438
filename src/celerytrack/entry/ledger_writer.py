"""The task that appends this entry's records to the ledger stream.

All records that an entry writes there (grants, bills, intents, settles) go through
one queue. Records submitted during an append, or within ``flush_s`` of the last one,
are batched into the next append, so the fleet's append rate grows with its entries
and not with its requests.

Each record carries this process's writer id and a sequence number. A batch whose
reply was lost is therefore appended again, and the replay skips duplicates.
"""

import asyncio
import itertools
import logging
import time
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from celerytrack.events import Event, log_event
from celerytrack.ledger import Bill, BillOutcome
from celerytrack.logclient import Appended, LogClient

_log = logging.getLogger(__name__)

LEDGER_STREAM = "ledger"
_MAX_BILLS = 5000
_BACKOFF_S = (0.05, 0.1, 0.2, 0.4, 0.8)

Record = dict[str, Any]
OnFolded = Callable[[list[BillOutcome]], None]
"""Called with the bills' outcomes when this entry's replay reaches the record."""


class LedgerWriter:
    """Owns the queue of records and the appends to the ledger stream.

    :param log: client of the platform log.
    :param writer_id: unique per incarnation of the process.
    :param flush_s: the shortest time between two appends.
    :param on_appended: called with the offset of each appended batch.
    :param on_contact: called after each append with whether the log answered.
    """

    def __init__(
        self,
        log: LogClient,
        writer_id: str,
        flush_s: float,
        on_appended: Callable[[Appended, list[Record]], None],
        on_contact: Callable[[bool], None],
    ) -> None:
        self.writer_id = writer_id
        self._log = log
        self._flush_s = flush_s
        self._on_appended = on_appended
        self._on_contact = on_contact
        self._queue: list[tuple[Record, OnFolded | None]] = []
        self._bills: list[tuple[Bill, asyncio.Future[BillOutcome]]] = []
        self._unfolded: dict[int, OnFolded | None] = {}
        self._seq = itertools.count()
        self._folded_seq = -1
        self._wake = asyncio.Event()
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def backlog(self) -> int:
        """The number of records and bills that this entry has not replayed yet."""
        return len(self._queue) + len(self._bills) + len(self._unfolded)

    def submit(self, record: Record, on_folded: OnFolded | None = None) -> None:
        """Queue ``record``, which takes effect once even if it is appended twice."""
        self._queue.append((record, on_folded))
        self._wake_up()

    def submit_bill(self, bill: Bill) -> "asyncio.Future[BillOutcome]":
        """Queue ``bill``; the future gets its outcome in the ledger."""
        future: asyncio.Future[BillOutcome] = asyncio.get_running_loop().create_future()
        self._bills.append((bill, future))
        self._wake_up()
        return future

    def mark_folded(self, seq: int, outcomes: list[BillOutcome]) -> None:
        """Record that the entry's replay has reached record number ``seq``."""
        self._folded_seq = max(self._folded_seq, seq)
        on_folded = self._unfolded.pop(seq, None)
        if on_folded is not None:
            on_folded(outcomes)
        if not self.backlog:
            self._idle.set()

    def mark_covered_through(self, seq: int) -> None:
        """Record that a snapshot covers every record up to number ``seq``.

        The outcomes of their bills are lost: each was charged, or was void and stays
        uncharged. All count as charged, so at worst too few tokens can be spent.
        """
        for number in [n for n in self._unfolded if n <= seq]:
            self.mark_folded(number, [])

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until all queued records are appended and replayed."""
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Append batches forever."""
        last_append_s = float("-inf")
        while True:
            await self._wake.wait()
            await asyncio.sleep(
                max(0.0, last_append_s + self._flush_s - time.monotonic())
            )
            last_append_s = time.monotonic()
            await self._append(self._next_batch())

    def _wake_up(self) -> None:
        self._idle.clear()
        self._wake.set()

    def _next_batch(self) -> list[Record]:
        bills, self._bills = self._bills[:_MAX_BILLS], self._bills[_MAX_BILLS:]
        if bills:
            record = {"type": "bills", "bills": [b.to_json() for b, _ in bills]}
            futures = [future for _, future in bills]
            self._queue.append((record, lambda o: _resolve(futures, o)))
        batch = []
        for record, on_folded in self._queue:
            seq = next(self._seq)
            self._unfolded[seq] = on_folded
            batch.append({**record, "writer": self.writer_id, "seq": seq})
        self._queue.clear()
        if not self._bills:
            self._wake.clear()
        return batch

    async def _append(self, batch: list[Record]) -> None:
        """Append ``batch``; retry until the log confirms it or the replay shows it."""
        attempts = 0
        while batch and self._folded_seq < batch[-1]["seq"]:
            match await self._log.append(LEDGER_STREAM, batch):
                case Success(appended):
                    self._on_contact(True)
                    self._on_appended(appended, batch)
                    log_event(
                        _log, Event.BILLS_FLUSHED, logging.DEBUG, records=len(batch)
                    )
                    return
                case Failure(error):
                    self._on_contact(False)
                    log_event(
                        _log,
                        Event.BILLS_FLUSH_FAILED,
                        logging.WARNING,
                        records=len(batch),
                        kind=error.kind.value,
                    )
                    await asyncio.sleep(_BACKOFF_S[min(attempts, len(_BACKOFF_S) - 1)])
                    attempts += 1


def _resolve(
    futures: "list[asyncio.Future[BillOutcome]]", outcomes: list[BillOutcome]
) -> None:
    known = outcomes or [BillOutcome.CHARGED] * len(futures)
    for future, outcome in zip(futures, known, strict=True):
        if not future.done():
            future.set_result(outcome)
