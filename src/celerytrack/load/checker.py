"""The checker: reads the ledger and bills from the log and counts what the
users measure: overspend, double bills, doubled non-idempotent calls.
"""

import asyncio
from collections import Counter
from typing import Any

import aiohttp
import attrs
from returns.result import Success

from celerytrack.entry.bills import bills_stream
from celerytrack.entry.ledger_keeper import LEDGER
from celerytrack.ids import AccountId
from celerytrack.ledger import Ledger
from celerytrack.logclient import LogClient
from celerytrack.settings import FleetSettings


@attrs.frozen
class Audit:
    """What the log and the back ends show after a run."""

    budgets_tokens: dict[str, int]
    billed_tokens: dict[str, int]
    bills: int
    double_bills: int
    double_runs: int
    open_grant_tokens: int

    @property
    def overspend_tokens(self) -> int:
        """Tokens billed past budgets, summed over accounts."""
        return sum(
            max(0, t - self.budgets_tokens.get(a, 0))
            for a, t in self.billed_tokens.items()
        )


async def _read_all(log: LogClient, stream: str) -> list[tuple[int, Any]]:
    out: list[tuple[int, Any]] = []
    offset = 0
    while True:
        match await log.read(stream, offset):
            case Success(batch) if batch.records:
                out += batch.records
                offset = batch.next_offset
            case _:
                return out


async def _non_idempotent_runs(fleet: FleetSettings, once_classes: set[str]) -> int:
    doubles = 0
    async with aiohttp.ClientSession() as http:
        for spec in fleet.replicas:
            if spec.kind.value != "service":
                continue
            try:
                async with http.get(f"http://{spec.address}/_stats") as resp:
                    runs = (await resp.json())["runs"]
            except aiohttp.ClientError:
                continue
            doubles += sum(
                n - 1
                for k, n in runs.items()
                if k.split(":")[0] in once_classes and n > 1
            )
    return doubles


async def audit(fleet: FleetSettings, once_classes: set[str]) -> Audit:
    """Read the ledger and every entry's bills; ask services for doubles.

    :param once_classes: classes that must run at most once per key.
    """
    log = LogClient(fleet.platform.log_address, "checker")
    try:
        ledger = Ledger()
        ledger.apply_all(await _read_all(log, LEDGER))
        per_request: Counter[str] = Counter()
        billed: Counter[str] = Counter()
        for spec in fleet.entries:
            for _, record in await _read_all(log, bills_stream(spec.entry_id)):
                for request_id, account, _, tokens in record["bills"]:
                    per_request[request_id] += 1
                    billed[account] += int(tokens)
    finally:
        await log.close()
    doubles = await _non_idempotent_runs(fleet, once_classes)
    budgets = {str(a): t.budget_tokens for a, t in ledger.accounts.items()}
    return Audit(
        budgets,
        dict(billed),
        sum(per_request.values()),
        sum(n - 1 for n in per_request.values() if n > 1),
        doubles,
        sum(ledger.account(AccountId(a)).open_tokens for a in budgets),
    )


def audit_sync(fleet: FleetSettings, once_classes: set[str]) -> Audit:
    """:func:`audit` for callers without an event loop."""
    return asyncio.run(audit(fleet, once_classes))
