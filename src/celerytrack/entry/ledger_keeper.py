"""The task that owns this entry's view of the ledger and its escrow.

It follows the ``ledger`` stream into a :class:`~celerytrack.ledger.Ledger`,
asks for grants when the escrow runs low, settles grants whose lease ended,
gives idle ones back when another entry wants them, takes back those of
entries that are gone, and writes snapshots so that readers survive
retention. Request handlers only touch the in-memory :class:`Escrow` and
this keeper's methods; all writing goes through the :class:`LedgerWriter`.
"""

import asyncio
import logging
import time
from collections.abc import Callable

from returns.result import Success

from celerytrack.entry._tail import catch_up, follow
from celerytrack.entry.ledger_writer import LEDGER, LedgerWriter, Record
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

SNAPSHOTS = "ledger.snapshots"
SNAPSHOT_EVERY = 500
"""Records between ledger snapshots; retention must keep several times this."""
_RESTORE_RETRY_S = 0.2
_SETTLE_EVERY_S = 1.0
_WANT_EVERY_S = 0.25
"""How often an entry repeats that it wants tokens others hold."""
_SYNC_EVERY_S = 0.02
_SETTLE_WAIT_S = 5.0
"""Longest a drain waits for the log to take back what was not spent."""


class LedgerKeeper:
    """Owns the ledger fold and the escrow book.

    :param log: client of the platform log.
    :param entry: this entry's id.
    :param boot_id: unique per process start, part of every grant id.
    :param policy: the grant policy now in force (read on each use).
    :param tuning: how often to append and to write snapshots.
    :param chosen: says whether this entry does the fleet's duty named so.
    :param is_gone: says whether the platform lists an entry as gone.
    """

    def __init__(
        self,
        log: LogClient,
        entry: EntryId,
        boot_id: str,
        policy: Callable[[], GrantPolicy],
        tuning: EntryTuning,
        chosen: Callable[[str], bool] = lambda duty: True,
        is_gone: Callable[[EntryId], bool] = lambda entry: False,
    ) -> None:
        self.ledger = Ledger()
        self.book = Escrow(entry)
        self.reachable = False
        self.writer = LedgerWriter(
            log,
            f"{entry}/{boot_id}",
            tuning.ledger_flush_s,
            self._appended,
            self._contact,
        )
        self._snapshot_every_s = tuning.snapshot_every_s
        self._log = log
        self._entry = entry
        self._boot_id = boot_id
        self._policy = policy
        self._chosen = chosen
        self._is_gone = is_gone
        self._changed = asyncio.Event()
        self._last_snapshot = 0
        self._first_seen_s: dict[GrantId, float] = {}
        self._wanted_at_s: dict[AccountId, float] = {}
        self._settling: set[GrantId] = set()
        self._ended_boots: frozenset[str] = frozenset()
        self._snapshot_at_s = float("-inf")
        self._sync_lock = asyncio.Lock()
        self._next_sync: asyncio.Task[None] | None = None
        self._synced_at_s = float("-inf")

    async def start(self) -> list[asyncio.Task[None]]:
        """Load the latest snapshot, catch up, and start the keeper's tasks."""
        start = await self._restore(0)
        offset = await catch_up(self._log, LEDGER, start, self._apply, self._restore)
        self.reachable = offset is not None
        self._ended_boots = frozenset(
            g.boot_id for g in self.ledger.grants.values() if g.entry == self._entry
        )
        return [
            asyncio.create_task(
                follow(
                    self._log,
                    LEDGER,
                    self.ledger.next_offset,
                    self._apply,
                    restore=self._restore,
                    on_contact=self._contact,
                )
            ),
            asyncio.create_task(self.writer.run()),
            asyncio.create_task(self._settle_loop()),
        ]

    # -- what request handlers ask ----------------------------------------

    def want(self, account: AccountId, tokens: int, now_s: float) -> None:
        """See that a request of ``tokens`` can be covered: ask for a grant
        if the escrow runs low, and for other entries' idle tokens if the
        account has too little free."""
        policy = self._policy()
        refill = plan_refill(
            tokens,
            self.book.available(account, now_s),
            self.free_tokens(account),
            self.elsewhere_tokens(account),
            self.book.rate_tokens_per_s(account, now_s),
            policy,
        )
        if refill.grant_tokens and account not in self.book.pending:
            self._ask_grant(account, refill.grant_tokens, policy.lease_s)
        if refill.others_tokens:
            self._ask_others(account, refill.others_tokens, now_s)

    async def wait_changed(self, timeout_s: float) -> None:
        """Wait until the ledger changed, or ``timeout_s`` passes."""
        try:
            await asyncio.wait_for(self._changed.wait(), timeout_s)
        except TimeoutError:
            pass

    def free_tokens(self, account: AccountId) -> int:
        """The account's free tokens in this entry's fold of the ledger."""
        return self.ledger.account(account).free_tokens

    def elsewhere_tokens(self, account: AccountId) -> int:
        """Tokens that other entries' open grants of ``account`` hold."""
        ours = sum(
            self.ledger.grants[g.grant_id].remaining_tokens
            for g in self.book.held(account)
            if g.grant_id in self.ledger.grants
        )
        return self.ledger.account(account).open_tokens - ours

    async def sync(self, timeout_s: float) -> bool:
        """Read the ledger to its end, so that what follows rests on what was
        true after this call began. Callers that wait together share a read.

        :returns: whether the read ended in that time, well or not.
        """
        if self._next_sync is None:
            self._next_sync = asyncio.create_task(self._sync())
        reading = asyncio.shield(self._next_sync)
        try:
            await asyncio.wait_for(reading, timeout_s)
        except TimeoutError:
            return False
        return True

    async def _sync(self) -> None:
        async with self._sync_lock:
            # A flood of refusals must not become a flood of reads.
            due_s = self._synced_at_s + _SYNC_EVERY_S
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))
            # Who comes from here on needs a read that begins later.
            self._next_sync = None
            offset = await catch_up(
                self._log, LEDGER, self.ledger.next_offset, self._apply, self._restore
            )
            self._contact(offset is not None)
            self._synced_at_s = time.monotonic()

    async def bill(self, bill: Bill) -> BillOutcome:
        """Append ``bill`` and take the ledger's word on it."""
        outcome = await self.writer.bill(bill)
        self._confirm(bill.charges, outcome)
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
        """On drain: wait for the bills, then give every idle grant back.

        A bill that is lost is a request that nobody paid; a grant comes back by
        itself once its lease has ended, and is waited for less long.
        """
        now_s = time.monotonic()
        if not self.book.has_open_bills:
            until_s = min(until_s, now_s + _SETTLE_WAIT_S)
        await self.writer.wait_idle(until_s - now_s)
        now_s = time.monotonic()
        self._settle_own(now_s, all_grants=True)
        await self.writer.wait_idle(min(until_s - now_s, _SETTLE_WAIT_S))

    # -- the fold ---------------------------------------------------------

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
                self._give_back(AccountId(record["account"]), int(record["tokens"]))
        if record.get("writer") == self.writer.writer_id:
            self.writer.folded(int(record["seq"]), outcomes)
        self._notify()
        self._maybe_snapshot()

    def _appended(self, appended: Appended, batch: list[Record]) -> None:
        # Our own records need not wait for the tail to bring them, unless
        # others wrote in between: the fold takes records in offset order.
        if appended.first_offset == self.ledger.next_offset:
            for i, record in enumerate(batch):
                self._apply(appended.first_offset + i, record)

    def _contact(self, reachable: bool) -> None:
        if self.reachable and not reachable:
            log_event(_log, Event.LEDGER_UNREACHABLE, logging.WARNING)
        self.reachable = reachable

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _maybe_snapshot(self) -> None:
        # Also written by age: on a quiet stream the last snapshot itself would
        # fall out of the log's retention, and a new entry find nothing.
        now_s = time.monotonic()
        k = self.ledger.next_offset // SNAPSHOT_EVERY
        aged = now_s - self._snapshot_at_s >= self._snapshot_every_s
        if k <= self._last_snapshot and not aged:
            return
        self._last_snapshot = max(k, self._last_snapshot)
        self._snapshot_at_s = now_s
        if self._chosen("snapshot"):
            asyncio.get_running_loop().create_task(self._write_snapshot())

    async def _write_snapshot(self) -> None:
        at_offset = self.ledger.next_offset
        record = {**self.ledger.snapshot(), "at_offset": at_offset}
        match await self._log.append(SNAPSHOTS, [record]):
            case Success(_):
                log_event(_log, Event.LEDGER_SNAPSHOT_WRITTEN, at_offset=at_offset)

    async def _restore(self, start_offset: int) -> int:
        """Load the last snapshot if it is newer than the fold.

        Waits for one that covers ``start_offset``: folding on over records
        that retention dropped would miss grants, and hand out tokens that
        are spent.

        :returns: the offset to read on from.
        """
        while True:
            match await self._log.last(SNAPSHOTS):
                case Success((_, record)) if (
                    int(record["at_offset"]) > self.ledger.next_offset
                ):
                    self._load(record)
            if self.ledger.next_offset >= start_offset:
                return self.ledger.next_offset
            self._contact(False)
            await asyncio.sleep(_RESTORE_RETRY_S)

    def _load(self, record: Record) -> None:
        fresh = Ledger()
        fresh.apply(int(record["at_offset"]) - 1, record)
        self.ledger = fresh
        now_s = time.monotonic()
        self._first_seen_s = {g: self._first_seen_s.get(g, now_s) for g in fresh.grants}
        self.writer.skipped_to(fresh.writers.get(self.writer.writer_id, -1))

    # -- grants -----------------------------------------------------------

    def _ask_grant(self, account: AccountId, size: int, lease_s: float) -> None:
        grant_id = self.book.new_grant_id(self._boot_id)
        # The lease counts from before the append: a pause anywhere after
        # that only makes this entry stop spending sooner.
        usable_until_s = time.monotonic() + lease_s
        self.book.pending.add(account)

        def folded(_: list[BillOutcome]) -> None:
            self.book.pending.discard(account)
            if grant_id not in self.ledger.grants:
                free = self.free_tokens(account)
                log_event(_log, Event.GRANT_REFUSED, account=account, free_tokens=free)
                return
            self.book.add(HeldGrant(grant_id, account, size, usable_until_s))
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
        self.writer.submit(record, folded)

    def _ask_others(self, account: AccountId, tokens: int, now_s: float) -> None:
        if now_s - self._wanted_at_s.get(account, float("-inf")) < _WANT_EVERY_S:
            return
        self._wanted_at_s[account] = now_s
        self.writer.submit(
            {
                "type": "want",
                "account": account,
                "entry": self._entry,
                "tokens": tokens,
            }
        )

    def _give_back(self, account: AccountId, tokens: int) -> None:
        # Near the end of a budget its last tokens sit idle in several
        # entries' grants, and callers would be refused a budget that is not
        # used up until those leases end.
        for grant in self.book.idle_grants(account):
            if tokens <= 0:
                return
            tokens -= grant.tokens - grant.spent_tokens
            self._settle(grant.grant_id, Event.GRANT_GIVEN_BACK)

    def _confirm(self, charges: Charges, outcome: BillOutcome) -> None:
        self.book.confirm(charges, outcome)
        if outcome is BillOutcome.VOID:
            for grant_id, _ in charges:
                if grant_id not in self.ledger.grants:
                    self.book.remove(grant_id)

    async def _settle_loop(self) -> None:
        while True:
            await asyncio.sleep(_SETTLE_EVERY_S)
            now_s = time.monotonic()
            self._settle_own(now_s)
            self._reclaim(now_s)
            self._maybe_snapshot()

    def _settle_own(self, now_s: float, *, all_grants: bool = False) -> None:
        for grant in self.book.settleable(now_s, all_grants=all_grants):
            self._settle(grant.grant_id, Event.GRANT_SETTLED)

    def _reclaim(self, now_s: float) -> None:
        holders = {g.entry for g in self.ledger.grants.values()}
        gone = [
            e
            for e in holders
            if e != self._entry and self._is_gone(e) and self._chosen(f"reclaim-{e}")
        ]
        for grant_id in reclaimable_grants(
            self.ledger.grants,
            self._first_seen_s,
            gone,
            self._entry,
            self._ended_boots,
            self._policy().lease_s,
            now_s,
        ):
            self._settle(grant_id, Event.GRANT_RECLAIMED)

    def _settle(self, grant_id: GrantId, event: Event) -> None:
        # Forgotten before the record is written: no request may reserve from
        # a grant whose settle is on its way.
        self.book.remove(grant_id)
        if grant_id in self._settling:
            return
        self._settling.add(grant_id)
        self.writer.submit({"type": "settle", "grant_id": grant_id})
        log_event(_log, event, grant_id=grant_id)
