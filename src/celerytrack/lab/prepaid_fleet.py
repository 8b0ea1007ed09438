"""A fleet of entries that share prepaid totals, in virtual time.

The real share synchronisation, reservations and budgets run on a modelled log with
modelled callers; an engine is modelled by the duration of its response. Actual spending
is counted independently of the entries, as the owner of a total would.
"""

import asyncio
import math
import random
from collections.abc import Iterator

import attrs

from celerytrack.gateway.admission import RETRY_ELSEWHERE_AFTER_S, insufficient_tokens
from celerytrack.gateway.share_sync import ShareSync
from celerytrack.ids import AccountId
from celerytrack.lab.model_entry import ModelEntry
from celerytrack.lab.model_log import ModelLog
from celerytrack.lab.prepaid_scenarios import (
    Fault,
    FaultKind,
    Outcome,
    Scenario,
    Work,
)
from celerytrack.lab.recovery_time import SampledRequest
from celerytrack.lab.virtual_time import on_instance
from celerytrack.prepaid import Reservation
from celerytrack.verdict import Reason

OWED_SHARE = 0.97
"""A request is owed an answer if its largest possible cost still fits into this share
of the total."""
SETTLE_S = 1.5
"""Time after a request's end for which its largest possible cost still counts."""
WIDE_MBPS, NARROW_MBPS = 100.0, 5.0
LARGEST_FACTOR = 6
"""Ratio of the largest to the median prompt: 39,600 to 6,500 tokens as listed."""


@attrs.define
class _Account:
    total: int
    spent: int = 0
    asked: int = 0
    # Largest possible cost of requests that are in flight or have just ended.
    unsettled: int = 0

    def owes(self, tokens: int) -> bool:
        return self.spent + self.unsettled + tokens <= OWED_SHARE * self.total


@attrs.frozen
class _Request:
    """One request: its largest possible cost and its actual use."""

    work: Work
    account: AccountId
    input_tokens: int
    output_tokens: int

    @property
    def most_tokens(self) -> int:
        return self.input_tokens + self.work.output_most


class PrepaidFleet:
    """Entries, accounts and callers of one scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.log = ModelLog(
            random.Random(seed + 1), scenario.late_append_s, scenario.lost_share
        )
        self.entries: list[ModelEntry] = []
        for i in range(scenario.entries):
            link_mbps = WIDE_MBPS if i < scenario.advertised_count else NARROW_MBPS
            entry = ModelEntry(i, self.log, self.totals, self.entries, link_mbps)
            self.entries.append(entry)
        self.outcome = Outcome()
        self._began_s = 0.0
        self._calls: set[asyncio.Task[None]] = set()
        self._weights = [1 / (i + 1) for i in range(scenario.accounts)]
        self._names = [AccountId(f"a{i}") for i in range(scenario.accounts)]
        scale = scenario.advertised_count / 9
        rate = scale * sum(w.per_s * _mean_tokens(w) for w in scenario.mix)
        asked = rate * scenario.lasts_s * scenario.total_factor / sum(self._weights)
        self.accounts = {
            name: _Account(int(weight * asked))
            for name, weight in zip(self._names, self._weights, strict=True)
        }

    def totals(self) -> dict[AccountId, int]:
        """The total of each account."""
        return {name: account.total for name, account in self.accounts.items()}

    async def run(self) -> Outcome:
        """Run the scenario."""
        await asyncio.gather(*(self._start(e) for e in self.entries))
        self._began_s = began_s = asyncio.get_running_loop().time()
        tasks = [asyncio.create_task(self._inject(f)) for f in self.scenario.faults]
        scale = self.scenario.advertised_count / 9
        tasks += [asyncio.create_task(self._send(w, scale)) for w in self.scenario.mix]
        await asyncio.sleep(self.scenario.runs_s)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)
        for entry in self.entries:
            entry.lose_power(self.rng)
        await asyncio.sleep(0)
        took_s = asyncio.get_running_loop().time() - began_s
        self._summarise(took_s)
        self.outcome.writes_s = [at_s - began_s for at_s in self.log.asked_s]
        return self.outcome

    async def _start(self, entry: ModelEntry) -> None:
        await on_instance(entry.clock, entry.start())

    # -- faults -------------------------------------------------------------

    async def _inject(self, fault: Fault) -> None:
        if fault.kind in (FaultKind.AWAY, FaultKind.RESTORED):
            await self._inject_log_fault(fault)
            return
        await asyncio.sleep(fault.at_s)
        count = max(1, round(fault.share * len(self.entries)))
        affected = self.rng.sample(self.entries, count)
        if fault.kind is FaultKind.POWER:
            for entry in affected:
                entry.lose_power(self.rng)
            await asyncio.sleep(fault.for_s)
            await asyncio.gather(*(self._start(entry) for entry in affected))
            return
        for entry in affected:
            entry.store.cut = True
            entry.partitioned = fault.kind is FaultKind.CUT
        await asyncio.sleep(fault.for_s)
        for entry in affected:
            entry.store.cut = entry.partitioned = False

    async def _inject_log_fault(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at_s - fault.loses_s)
        backup = self.log.copy()
        await asyncio.sleep(fault.loses_s)
        self.log.unreachable = True
        await asyncio.sleep(fault.for_s)
        if fault.kind is FaultKind.RESTORED:
            self.log.restore(backup)
        self.log.unreachable = False

    # -- callers ------------------------------------------------------------

    async def _send(self, work: Work, scale: float) -> None:
        began_s = asyncio.get_running_loop().time()
        for account in self._draw_accounts(began_s):
            await asyncio.sleep(self.rng.expovariate(work.per_s * scale))
            call = asyncio.create_task(self._call(work, account))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    def _draw_accounts(self, began_s: float) -> Iterator[AccountId]:
        weights = list(self._weights)
        hot = [weights[0] * self.scenario.hot_factor, *weights[1:]]
        loop = asyncio.get_running_loop()
        while True:
            is_hot = loop.time() - began_s > self.scenario.runs_s / 3
            yield self.rng.choices(self._names, hot if is_hot else weights)[0]

    def _draw_request(self, work: Work, name: AccountId) -> _Request:
        size = math.exp(self.rng.gauss(0, work.spread)) * work.input_tokens
        share = min(1.0, self.rng.expovariate(1) * work.output_share)
        inputs = int(min(size, LARGEST_FACTOR * work.input_tokens))
        return _Request(work, name, inputs, int(work.output_most * share))

    async def _call(self, work: Work, name: AccountId) -> None:
        """One caller: sends a request, and once more if it is refused."""
        loop = asyncio.get_running_loop()
        request = self._draw_request(work, name)
        sent_s = loop.time()
        owed = self._count_request(request)
        for last in (False, True):
            up = [
                e for e in self._reachable_entries(name) if e.reservations is not None
            ]
            if not up:
                break
            retry_after_s = await self._try(self.rng.choice(up), request)
            if retry_after_s == 0.0:
                first_s = loop.time() - sent_s - work.takes_s
                self._count_answer(request, owed, sent_s, first_s)
                return
            if retry_after_s is None or last:
                break
            left_s = work.deadline_s - (loop.time() - sent_s)
            await asyncio.sleep(min(retry_after_s, left_s / 3))
        self.outcome.refused += owed
        self._record_request(owed, sent_s, in_target=False)

    def _record_request(self, owed: bool, sent_s: float, in_target: bool) -> None:
        if owed:
            self.outcome.requests.append(
                SampledRequest(sent_s - self._began_s, in_target)
            )

    def _reachable_entries(self, name: AccountId) -> list[ModelEntry]:
        """The entries that an account's callers connect to."""
        rank = self._names.index(name)
        if rank < self.scenario.sticky_accounts:
            return [self.entries[-1 - rank]]
        return self.entries[: self.scenario.advertised_count]

    def _count_request(self, request: _Request) -> bool:
        """Count a request; returns whether it is owed."""
        account = self.accounts[request.account]
        owed = account.owes(request.most_tokens)
        account.asked += request.most_tokens
        self.outcome.asked += 1
        self.outcome.owed += owed
        self.outcome.owed_tokens += owed * request.most_tokens
        return owed

    def _count_answer(
        self, request: _Request, owed: bool, sent_s: float, first_s: float
    ) -> None:
        # An engine itself takes about half of the target.
        in_target = owed and first_s <= request.work.target_s / 2
        self.outcome.in_target += in_target
        self.outcome.in_target_tokens += in_target * request.most_tokens
        self.outcome.late += owed and not in_target
        self._record_request(owed, sent_s, in_target)

    async def _try(self, entry: ModelEntry, request: _Request) -> float | None:
        """One try: 0 if it succeeded, else the delay before a retry, if any."""
        try:
            return await entry.spawn(self._serve(entry, request))
        except asyncio.CancelledError:
            if entry.reservations is None:
                return None
            raise

    async def _serve(self, entry: ModelEntry, request: _Request) -> float | None:
        share_sync, reservations = entry.share_sync, entry.reservations
        if share_sync is None or reservations is None:
            return RETRY_ELSEWHERE_AFTER_S
        name, tokens = request.account, request.most_tokens
        reservation = await reservations.reserve(name, tokens, request.work.urgent)
        now_s = asyncio.get_running_loop().time() + entry.clock.monotonic_ahead_s
        if reservation is None:
            refusal = insufficient_tokens(share_sync, name, tokens, True, now_s)
            if refusal.reason is Reason.BUDGET_EXHAUSTED:
                return None
            return refusal.retry_after_s or RETRY_ELSEWHERE_AFTER_S
        await self._run(entry, share_sync, request, reservation)
        return 0.0

    async def _run(
        self,
        entry: ModelEntry,
        share_sync: ShareSync,
        request: _Request,
        reservation: Reservation,
    ) -> None:
        """An engine's response; delivered tokens count even if it is aborted."""
        account = self.accounts[request.account]
        loop = asyncio.get_running_loop()
        rest = reservation.tokens - request.input_tokens
        account.spent += request.input_tokens
        account.unsettled += rest
        began_s = loop.time()
        delivered = request.output_tokens
        try:
            await asyncio.sleep(request.work.takes_s)
            now_s = loop.time() + entry.clock.monotonic_ahead_s
            share_sync.budgets.commit(
                reservation, request.input_tokens + delivered, now_s
            )
        except asyncio.CancelledError:
            part = min(1.0, (loop.time() - began_s) / request.work.takes_s)
            delivered = int(delivered * part)
            raise
        finally:
            account.spent += delivered
            account.unsettled -= delivered
            loop.call_later(SETTLE_S, self._settle, account, rest - delivered)

    @staticmethod
    def _settle(account: _Account, tokens: int) -> None:
        account.unsettled -= tokens

    def _summarise(self, took_s: float) -> None:
        outcome = self.outcome
        accounts = self.accounts.items()
        outcome.overspent_tokens = sum(max(0, a.spent - a.total) for _, a in accounts)
        exhausted = {name: a for name, a in accounts if a.asked > a.total}
        outcome.delivered_shares = {n: a.spent / a.total for n, a in exhausted.items()}
        total = sum(a.total for a in exhausted.values())
        outcome.delivered_share = sum(a.spent for a in exhausted.values()) / max(
            1, total
        )
        outcome.appends_per_s = self.log.appends / took_s
        outcome.bytes_in_per_s = self.log.bytes_in / took_s
        outcome.bytes_out_per_s = self.log.bytes_out / took_s


def _mean_tokens(work: Work) -> float:
    inputs = work.input_tokens * math.exp(work.spread**2 / 2)
    return inputs + work.output_most * work.output_share
