"""The task that owns this entry's view of the ledger and its escrow.

It follows the ``ledger`` stream into a :class:`~celerytrack.ledger.Ledger`,
takes grants by conditional append when the escrow runs low, settles grants
whose lease ended, and writes snapshots so that readers survive retention.
Request handlers only touch the in-memory :class:`EscrowBook` and send this
task a message (an account that needs tokens).
"""

import asyncio
import logging
import time
from collections.abc import Callable
from typing import Any

from returns.result import Failure, Success

from celerytrack.entry._tail import catch_up, follow
from celerytrack.escrow import EscrowBook, HeldGrant, grant_size
from celerytrack.events import Event, log_event
from celerytrack.ids import AccountId, EntryId
from celerytrack.ledger import Ledger
from celerytrack.logclient import LogClient, LogErrorKind
from celerytrack.settings import GrantPolicy

_log = logging.getLogger(__name__)

LEDGER = "ledger"
SNAPSHOTS = "ledger.snapshots"
SNAPSHOT_EVERY = 500
"""Records between ledger snapshots; retention must keep several times this."""
_BACKOFF_S = (0.05, 0.1, 0.2, 0.4, 0.8)
_SETTLE_EVERY_S = 1.0


class LedgerKeeper:
    """Owns the ledger fold, the escrow book and the ledger's I/O.

    :param log: client of the platform log.
    :param entry: this entry's id.
    :param boot_id: unique per process start, part of every grant id.
    :param policy: the grant policy now in force (read on each use).
    :param snapshot_writer: says whether this entry writes snapshot *k*.
    """

    def __init__(
        self,
        log: LogClient,
        entry: EntryId,
        boot_id: str,
        policy: Callable[[], GrantPolicy],
        snapshot_writer: Callable[[int], bool] = lambda k: True,
    ) -> None:
        self.ledger = Ledger()
        self.book = EscrowBook(entry)
        self.reachable = False
        self._log = log
        self._entry = entry
        self._boot_id = boot_id
        self._policy = policy
        self._snapshot_writer = snapshot_writer
        self._wanted: asyncio.Queue[tuple[AccountId, int]] = asyncio.Queue()
        self._changed = asyncio.Event()
        self._last_snapshot = 0

    async def start(self) -> list[asyncio.Task[None]]:
        """Load the latest snapshot, catch up, and start the keeper's tasks."""
        start = await self._restore(0)
        offset = await catch_up(self._log, LEDGER, start, self._apply, self._restore)
        self.reachable = offset is not None
        return [
            asyncio.create_task(
                follow(
                    self._log,
                    LEDGER,
                    self.ledger.next_offset,
                    self._apply,
                    restore=self._restore,
                )
            ),
            asyncio.create_task(self._grant_loop()),
            asyncio.create_task(self._settle_loop()),
        ]

    def want(self, account: AccountId, tokens: int, now_s: float) -> None:
        """Ask for a grant of ``account`` if the escrow needs one."""
        low = max(self._policy().low_water_tokens, tokens)
        if self.book.wants_grant(account, low, now_s):
            self.book.pending.add(account)
            self._wanted.put_nowait((account, tokens))

    async def wait_changed(self, timeout_s: float) -> None:
        """Wait until a grant is taken or refused, or ``timeout_s`` passes."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            pass

    def free_tokens(self, account: AccountId) -> int:
        """The account's free tokens in this entry's fold of the ledger."""
        return self.ledger.account(account).free_tokens

    async def settle_all(self) -> None:
        """On drain: give every grant back (all reservations must be done)."""
        await self._settle(time.monotonic(), all_grants=True)

    def _apply(self, offset: int, record: Any) -> None:
        self.ledger.apply(offset, record)
        if record.get("type") == "grant" and record.get("entry") == self._entry:
            self._changed.set()
        k = self.ledger.next_offset // SNAPSHOT_EVERY
        if k > self._last_snapshot:
            self._last_snapshot = k
            if self._snapshot_writer(k):
                asyncio.get_running_loop().create_task(self._write_snapshot())

    async def _write_snapshot(self) -> None:
        record = {**self.ledger.snapshot(), "at_offset": self.ledger.next_offset}
        await self._log.append(SNAPSHOTS, [record])

    async def _restore(self, start_offset: int) -> int:
        match await self._log.last(SNAPSHOTS):
            case Success((_, record)) if record["at_offset"] >= start_offset:
                fresh = Ledger()
                fresh.apply(int(record["at_offset"]) - 1, record)
                if fresh.next_offset > self.ledger.next_offset:
                    self.ledger = fresh
                return max(self.ledger.next_offset, start_offset)
        return start_offset

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _grant_loop(self) -> None:
        while True:
            account, tokens = await self._wanted.get()
            try:
                await self._take_grant(account, tokens)
            finally:
                self.book.pending.discard(account)
                self._notify()

    async def _take_grant(self, account: AccountId, tokens: int) -> None:
        policy = self._policy()
        grant_id = self.book.new_grant_id(self._boot_id)
        for backoff_s in (*_BACKOFF_S, None):
            size = grant_size(self.free_tokens(account), tokens, policy.grant_tokens)
            if size <= 0:
                log_event(_log, Event.GRANT_REFUSED, account=account, free_tokens=0)
                return
            asked_at = time.monotonic()
            record = {
                "type": "grant",
                "account": account,
                "entry": self._entry,
                "grant_id": grant_id,
                "tokens": size,
            }
            result = await self._log.append(LEDGER, [record], self.ledger.next_offset)
            match result:
                case Success(appended):
                    self.reachable = True
                    self._apply(appended.first_offset, record)
                    self._hold(grant_id, account, size, asked_at, policy)
                    return
                case Failure(error) if error.kind is LogErrorKind.CONFLICT:
                    pass
                case Failure(error) if error.kind is LogErrorKind.UNKNOWN_OUTCOME:
                    # The reply was lost after the log may have taken the grant.
                    # Read back: if our grant id is in the fold, it is ours to
                    # spend; if not, the append did not happen and we go again.
                    if await self._catch_up() and grant_id in self.ledger.grants:
                        self._hold(grant_id, account, size, asked_at, policy)
                        return
                case Failure(_):
                    self.reachable = False
                    log_event(
                        _log, Event.LEDGER_UNREACHABLE, logging.WARNING, account=account
                    )
            if backoff_s is None:
                return
            await asyncio.sleep(backoff_s)
            await self._catch_up()

    def _hold(
        self,
        grant_id: Any,
        account: AccountId,
        size: int,
        asked_at: float,
        policy: GrantPolicy,
    ) -> None:
        # The lease counts from before the append was sent: a pause anywhere
        # after that only makes this entry stop spending sooner.
        self.book.add(HeldGrant(grant_id, account, size, asked_at + policy.lease_s))
        log_event(
            _log, Event.GRANT_TAKEN, account=account, grant_id=grant_id, tokens=size
        )

    async def _catch_up(self) -> bool:
        offset = await catch_up(
            self._log, LEDGER, self.ledger.next_offset, self._apply, self._restore
        )
        self.reachable = offset is not None
        return self.reachable

    async def _settle_loop(self) -> None:
        while True:
            await asyncio.sleep(_SETTLE_EVERY_S)
            await self._settle(time.monotonic())

    async def _settle(self, now_s: float, *, all_grants: bool = False) -> None:
        grants = self.book.settleable(now_s, all_grants=all_grants)
        if not grants:
            return
        records = [
            {"type": "settle", "grant_id": g.grant_id, "spent_tokens": g.spent_tokens}
            for g in grants
        ]
        # A settle is idempotent in the fold (a grant settles once), so a
        # lost reply is handled by sending it again on the next round. It is
        # not folded here: others may have appended before it, and the fold
        # must take records in offset order; the tail brings it.
        match await self._log.append(LEDGER, records):
            case Success(_):
                for grant in grants:
                    self.book.forget(grant.grant_id)
                    log_event(
                        _log,
                        Event.GRANT_SETTLED,
                        grant_id=grant.grant_id,
                        spent_tokens=grant.spent_tokens,
                    )
            case Failure(_):
                self.reachable = False
