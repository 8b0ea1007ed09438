"""The task that appends this entry's records to the ledger stream.

Everything an entry writes there (grants, bills, intents, settles) goes
through one queue: what comes in while an append is under way, or within
``flush_s`` of the last one, goes out in the next append. The fleet's appends
grow with its entries and not with its requests.

Each record carries this process's writer id and a sequence number, so a
batch whose reply was lost is simply appended again: the fold skips what it
has seen.
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

LEDGER = "ledger"
_MAX_BILLS = 5000
_BACKOFF_S = (0.05, 0.1, 0.2, 0.4, 0.8)

Record = dict[str, Any]
OnFolded = Callable[[list[BillOutcome]], None]
"""Called when this entry's fold reached the record, with the bills' outcomes."""


class LedgerWriter:
    """Owns the queue of records and the appends to the ledger stream.

    :param log: client of the platform log.
    :param writer_id: unique per process life.
    :param flush_s: the shortest time between two appends.
    :param on_appended: told where a batch landed.
    :param on_contact: told whether the log answered.
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
        """Records and bills that this entry's fold has not reached yet."""
        return len(self._queue) + len(self._bills) + len(self._unfolded)

    def submit(self, record: Record, on_folded: OnFolded | None = None) -> None:
        """Queue ``record``; it will be appended, once."""
        self._queue.append((record, on_folded))
        self._woken()

    def bill(self, bill: Bill) -> "asyncio.Future[BillOutcome]":
        """Queue ``bill``; the future gets what the ledger made of it."""
        done: asyncio.Future[BillOutcome] = asyncio.get_running_loop().create_future()
        self._bills.append((bill, done))
        self._woken()
        return done

    def folded(self, seq: int, outcomes: list[BillOutcome]) -> None:
        """The entry's fold reached the record numbered ``seq``."""
        self._folded_seq = max(self._folded_seq, seq)
        on_folded = self._unfolded.pop(seq, None)
        if on_folded is not None:
            on_folded(outcomes)
        if not self.backlog:
            self._idle.set()

    def skipped_to(self, seq: int) -> None:
        """A snapshot covers every record up to ``seq``: outcomes are gone.

        The bills among them were charged, or were void and stay uncharged;
        they are taken as charged, which leaves at most too little to spend.
        """
        for number in [n for n in self._unfolded if n <= seq]:
            self.folded(number, [])

    async def wait_idle(self, timeout_s: float) -> bool:
        """Wait until everything queued was appended and folded."""
        try:
            await asyncio.wait_for(self._idle.wait(), timeout_s)
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Append batches forever."""
        last_s = float("-inf")
        while True:
            await self._wake.wait()
            await asyncio.sleep(max(0.0, last_s + self._flush_s - time.monotonic()))
            last_s = time.monotonic()
            await self._append(self._take())

    def _woken(self) -> None:
        self._idle.clear()
        self._wake.set()

    def _take(self) -> list[Record]:
        bills, self._bills = self._bills[:_MAX_BILLS], self._bills[_MAX_BILLS:]
        if bills:
            record = {"type": "bills", "bills": [b.to_json() for b, _ in bills]}
            futures = [done for _, done in bills]
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
        """Append ``batch`` until the log says, or the fold shows, it landed."""
        tries = 0
        while batch and self._folded_seq < batch[-1]["seq"]:
            match await self._log.append(LEDGER, batch):
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
                    await asyncio.sleep(_BACKOFF_S[min(tries, len(_BACKOFF_S) - 1)])
                    tries += 1


def _resolve(
    futures: "list[asyncio.Future[BillOutcome]]", outcomes: list[BillOutcome]
) -> None:
    known = outcomes or [BillOutcome.CHARGED] * len(futures)
    for done, outcome in zip(futures, known, strict=True):
        if not done.done():
            done.set_result(outcome)
