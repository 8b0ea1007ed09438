"""This entry's replay of the ledger and the management of its grants.

The ``ledger`` stream is replayed into a :class:`~celerytrack.ledger.Ledger`. Grants
are requested when the escrow runs low, settled when their lease has ended, returned
while idle when another entry wants tokens, and reclaimed from entries that are gone.
Snapshots are written so that readers can start after the log's retention has dropped
records. Request handlers use only the in-memory :class:`Escrow` and the methods
here; all records are written by the :class:`LedgerWriter`.
"""

import asyncio
import logging
import time
from collections.abc import Callable

from returns.result import Success

from celerytrack.entry._tail import catch_up, follow
from celerytrack.entry.ledger_writer import LEDGER_STREAM, LedgerWriter, Record
from celerytrack.escrow import (
    Charges,
    Escrow,
    HeldGrant,
    plan_refill,
    reclaimable_grants,
)
from celerytrack.events import Event, log_event
from celerytrack.ids import AccountId, EntryId, GrantId
from celerytrack.ledger import Bill, BillOutcome, Ledger
from celerytrack.logclient import Appended, LogClient
from celerytrack.settings import EntryTuning, GrantPolicy

_log = logging.getLogger(__name__)

SNAPSHOT_STREAM = "ledger.snapshots"
SNAPSHOT_EVERY_RECORDS = 500
"""Records between ledger snapshots; retention must keep several times as many."""
_RESTORE_RETRY_S = 0.2
_SETTLE_INTERVAL_S = 1.0
_WANT_INTERVAL_S = 0.25
"""Shortest time between two requests for tokens that peers hold."""
_SYNC_INTERVAL_S = 0.02
_SETTLE_WAIT_S = 5.0
"""Longest a drain waits for the log to accept the settles of its grants."""


class GrantManager:
    """Owns the replayed ledger and the escrow.

    :param log: client of the platform log.
    :param entry: this entry's id.
    :param boot_id: id of this process's incarnation, part of every grant id.
    :param policy: returns the grant policy in force; called on each use.
    :param tuning: how often to append and to write snapshots.
    :param is_elected: whether this entry runs the singleton task of that name.
    :param is_gone: whether the platform lists an entry as gone.
    """

    def __init__(
        self,
        log: LogClient,
        entry: EntryId,
        boot_id: str,
        policy: Callable[[], GrantPolicy],
        tuning: EntryTuning,
        is_elected: Callable[[str], bool] = lambda task: True,
        is_gone: Callable[[EntryId], bool] = lambda entry: False,
    ) -> None:
        self.ledger = Ledger()
        self.escrow = Escrow(entry)
        self.reachable = False
        self.writer = LedgerWriter(
            log,
            f"{entry}/{boot_id}",
            tuning.ledger_flush_s,
            self._appended,
            self._set_reachable,
        )
        self._snapshot_every_s = tuning.snapshot_every_s
        self._log = log
        self._entry = entry
        self._boot_id = boot_id
        self._policy = policy
        self._is_elected = is_elected
        self._is_gone = is_gone
        self._changed = asyncio.Event()
        self._last_snapshot = 0
        self._first_seen_s: dict[GrantId, float] = {}
        self._want_sent_at_s: dict[AccountId, float] = {}
        self._settling: set[GrantId] = set()
        self._earlier_boots: frozenset[str] = frozenset()
        self._snapshot_at_s = float("-inf")
        self._sync_lock = asyncio.Lock()
        self._next_sync: asyncio.Task[None] | None = None
        self._synced_at_s = float("-inf")

    async def start(self) -> list[asyncio.Task[None]]:
        """Load the latest snapshot, catch up and start the background tasks."""
        start = await self._restore(0)
        offset = await catch_up(
            self._log, LEDGER_STREAM, start, self._apply, self._restore
        )
        self.reachable = offset is not None
        self._earlier_boots = frozenset(
            g.boot_id for g in self.ledger.grants.values() if g.entry == self._entry
        )
        return [
            asyncio.create_task(
                follow(
                    self._log,
                    LEDGER_STREAM,
                    self.ledger.next_offset,
                    self._apply,
                    restore=self._restore,
                    on_contact=self._set_reachable,
                )
            ),
            asyncio.create_task(self.writer.run()),
            asyncio.create_task(self._settle_loop()),
        ]

    # -- for request handlers ----------------------------------------------

    def request_refill(self, account: AccountId, tokens: int, now_s: float) -> None:
        """Ask for what is missing to cover a request of ``tokens``.

        That is a grant if the escrow runs low, and the idle tokens of other entries
        if the account has too few free ones.
        """
        policy = self._policy()
        refill = plan_refill(
            tokens,
            self.escrow.available(account, now_s),
            self.free_tokens(account),
            self.held_elsewhere_tokens(account),
            self.escrow.rate_tokens_per_s(account, now_s),
            policy,
        )
        if refill.grant_tokens and account not in self.escrow.pending:
            self._request_grant(account, refill.grant_tokens, policy.lease_s)
        if refill.others_tokens:
            self._request_returns(account, refill.others_tokens, now_s)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Wait until the replayed ledger changes, ``timeout_s`` at most."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            pass

    def free_tokens(self, account: AccountId) -> int:
        """The account's free tokens in this entry's replayed ledger."""
        return self.ledger.account(account).free_tokens

    def held_elsewhere_tokens(self, account: AccountId) -> int:
        """Tokens of ``account`` in open grants of other entries."""
        own = sum(
            self.ledger.grants[g.grant_id].remaining_tokens
            for g in self.escrow.held(account)
            if g.grant_id in self.ledger.grants
        )
        return self.ledger.account(account).open_tokens - own

    async def sync(self, timeout_s: float) -> bool:
        """Read the ledger to its end, so that the replayed ledger is at least as new
        as this call. Concurrent callers share one read.

        :returns: whether the read ended within ``timeout_s``, successful or not.
        """
        if self._next_sync is None:
            self._next_sync = asyncio.create_task(self._sync())
        shared_read = asyncio.shield(self._next_sync)
        try:
            await asyncio.wait_for(shared_read, timeout_s)
        except TimeoutError:
            return False
        return True

    async def _sync(self) -> None:
        async with self._sync_lock:
            # Limit the read rate: many refusals at once must not cause as many reads.
            due_s = self._synced_at_s + _SYNC_INTERVAL_S
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            # Later callers need a read that begins after their call.
            self._next_sync = None
            offset = await catch_up(
                self._log,
                LEDGER_STREAM,
                self.ledger.next_offset,
                self._apply,
                self._restore,
            )
            self._set_reachable(offset is not None)
            self._synced_at_s = time.monotonic()

    async def bill(self, bill: Bill) -> BillOutcome:
        """Append ``bill`` and apply the ledger's outcome to the escrow."""
        outcome = await self.writer.submit_bill(bill)
        self._confirm_bill(bill.charges, outcome)
        if outcome is not BillOutcome.CHARGED:
            log_event(
                _log,
                Event.BILL_NOT_CHARGED,
                logging.WARNING,
                request_id=bill.request_id,
                outcome=outcome.value,
            )
        return outcome

    async def settle_all(self, until_s: float) -> None:
        """On drain: wait for the bills to be written, then settle every idle grant.

        A lost bill is a request that is never paid for. A grant is reclaimed once
        its lease has ended, so without open bills the wait is shorter.
        """
        now_s = time.monotonic()
        if not self.escrow.has_open_bills:
            until_s = min(until_s, now_s + _SETTLE_WAIT_S)
        await self.writer.wait_idle(until_s - now_s)
        now_s = time.monotonic()
        self._settle_own(now_s, all_grants=True)
        await self.writer.wait_idle(min(until_s - now_s, _SETTLE_WAIT_S))

    # -- replay --------------------------------------------------------------

    def _apply(self, offset: int, record: Record) -> None:
        if offset < self.ledger.next_offset:
            return
        outcomes = self.ledger.apply(offset, record)
        match record.get("type"):
            case "grant" if record["grant_id"] in self.ledger.grants:
                self._first_seen_s.setdefault(record["grant_id"], time.monotonic())
            case "settle":
                self._first_seen_s.pop(record["grant_id"], None)
                self._settling.discard(record["grant_id"])
            case "want" if record["entry"] != self._entry:
                self._return_grants(AccountId(record["account"]), int(record["tokens"]))
        if record.get("writer") == self.writer.writer_id:
            self.writer.mark_folded(int(record["seq"]), outcomes)
        self._notify()
        self._maybe_snapshot()

    def _appended(self, appended: Appended, batch: list[Record]) -> None:
        # Own records are applied at once, without waiting to read them back, unless
        # another entry's records precede them: records apply in offset order.
        if appended.first_offset == self.ledger.next_offset:
            for i, record in enumerate(batch):
                self._apply(appended.first_offset + i, record)

    def _set_reachable(self, reachable: bool) -> None:
        if self.reachable and not reachable:
            log_event(_log, Event.LEDGER_UNREACHABLE, logging.WARNING)
        self.reachable = reachable

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _maybe_snapshot(self) -> None:
        # A snapshot is also written when the last one is old. On a quiet stream the
        # last snapshot itself would otherwise fall out of the log's retention, and a
        # new entry would find none.
        now_s = time.monotonic()
        number = self.ledger.next_offset // SNAPSHOT_EVERY_RECORDS
        too_old = now_s - self._snapshot_at_s >= self._snapshot_every_s
        if number <= self._last_snapshot and not too_old:
            return
        self._last_snapshot = max(number, self._last_snapshot)
        self._snapshot_at_s = now_s
        if self._is_elected("snapshot"):
            asyncio.get_running_loop().create_task(self._write_snapshot())

    async def _write_snapshot(self) -> None:
        at_offset = self.ledger.next_offset
        record = {**self.ledger.snapshot(), "at_offset": at_offset}
        match await self._log.append(SNAPSHOT_STREAM, [record]):
            case Success(_):
                log_event(_log, Event.LEDGER_SNAPSHOT_WRITTEN, at_offset=at_offset)

    async def _restore(self, start_offset: int) -> int:
        """Load the last snapshot if it is newer than the replayed ledger.

        Waits for a snapshot that covers ``start_offset``. A replay that skips records
        dropped by retention would miss grants and hand out tokens that are spent.

        :returns: the offset to continue reading from.
        """
        while True:
            match await self._log.last(SNAPSHOT_STREAM):
                case Success((_, record)) if (
                    int(record["at_offset"]) > self.ledger.next_offset
                ):
                    self._load(record)
            if self.ledger.next_offset >= start_offset:
                return self.ledger.next_offset
            self._set_reachable(False)
            await asyncio.sleep(_RESTORE_RETRY_S)

    def _load(self, record: Record) -> None:
        fresh = Ledger()
        fresh.apply(int(record["at_offset"]) - 1, record)
        self.ledger = fresh
        now_s = time.monotonic()
        self._first_seen_s = {g: self._first_seen_s.get(g, now_s) for g in fresh.grants}
        self.writer.mark_covered_through(fresh.writers.get(self.writer.writer_id, -1))

    # -- grants -----------------------------------------------------------

    def _request_grant(self, account: AccountId, size: int, lease_s: float) -> None:
        grant_id = self.escrow.new_grant_id(self._boot_id)
        # The lease starts before the append, so a pause of this process at any later
        # point only makes it stop spending sooner.
        usable_until_s = time.monotonic() + lease_s
        self.escrow.pending.add(account)

        def on_folded(_: list[BillOutcome]) -> None:
            self.escrow.pending.discard(account)
            if grant_id not in self.ledger.grants:
                free = self.free_tokens(account)
                log_event(_log, Event.GRANT_REFUSED, account=account, free_tokens=free)
                return
            self.escrow.add(HeldGrant(grant_id, account, size, usable_until_s))
            log_event(
                _log, Event.GRANT_TAKEN, account=account, grant_id=grant_id, tokens=size
            )

        record = {
            "type": "grant",
            "account": account,
            "entry": self._entry,
            "boot_id": self._boot_id,
            "grant_id": grant_id,
            "tokens": size,
        }
        self.writer.submit(record, on_folded)

    def _request_returns(self, account: AccountId, tokens: int, now_s: float) -> None:
        if now_s - self._want_sent_at_s.get(account, float("-inf")) < _WANT_INTERVAL_S:
            return
        self._want_sent_at_s[account] = now_s
        self.writer.submit(
            {
                "type": "want",
                "account": account,
                "entry": self._entry,
                "tokens": tokens,
            }
        )

    def _return_grants(self, account: AccountId, tokens: int) -> None:
        # Near the end of a budget its last tokens are idle in the grants of several
        # entries. Without this, callers would be refused until those leases end,
        # although the budget is not used up.
        for grant in self.escrow.idle_grants(account):
            if tokens <= 0:
                return
            tokens -= grant.tokens - grant.spent_tokens
            self._settle(grant.grant_id, Event.GRANT_GIVEN_BACK)

    def _confirm_bill(self, charges: Charges, outcome: BillOutcome) -> None:
        self.escrow.confirm(charges, outcome)
        if outcome is BillOutcome.VOID:
            for grant_id, _ in charges:
                if grant_id not in self.ledger.grants:
                    self.escrow.remove(grant_id)

    async def _settle_loop(self) -> None:
        while True:
            await asyncio.sleep(_SETTLE_INTERVAL_S)
            now_s = time.monotonic()
            self._settle_own(now_s)
            self._reclaim_grants(now_s)
            self._maybe_snapshot()

    def _settle_own(self, now_s: float, *, all_grants: bool = False) -> None:
        for grant in self.escrow.settleable(now_s, all_grants=all_grants):
            self._settle(grant.grant_id, Event.GRANT_SETTLED)

    def _reclaim_grants(self, now_s: float) -> None:
        holders = {g.entry for g in self.ledger.grants.values()}
        gone = [
            e
            for e in holders
            if e != self._entry
            and self._is_gone(e)
            and self._is_elected(f"reclaim-{e}")
        ]
        for grant_id in reclaimable_grants(
            self.ledger.grants,
            self._first_seen_s,
            gone,
            self._entry,
            self._earlier_boots,
            self._policy().lease_s,
            now_s,
        ):
            self._settle(grant_id, Event.GRANT_RECLAIMED)

    def _settle(self, grant_id: GrantId, event: Event) -> None:
        # Drop the grant before the record is written: no request may reserve from a
        # grant whose settle record is queued.
        self.escrow.remove(grant_id)
        if grant_id in self._settling:
            return
        self._settling.add(grant_id)
        self.writer.submit({"type": "settle", "grant_id": grant_id})
        log_event(_log, event, grant_id=grant_id)
