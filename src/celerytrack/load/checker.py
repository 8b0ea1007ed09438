"""The checker: reads the ledger from the log and counts what the users measure:
overspend, double bills and repeated runs of non-idempotent calls.
"""

import asyncio
from collections import Counter
from typing import Any

import aiohttp
import attrs
from returns.result import Success

from celerytrack.entry.ledger_writer import LEDGER_STREAM
from celerytrack.ledger import Bill, BillOutcome, Ledger
from celerytrack.logclient import LogClient
from celerytrack.settings import FleetSettings


@attrs.frozen
class Audit:
    """The state of the log and the replicas after a run."""

    budgets_tokens: dict[str, int]
    billed_tokens: dict[str, int]
    bills: int
    double_bills: int
    double_runs: int
    open_grant_tokens: int

    @property
    def overspend_tokens(self) -> int:
        """Tokens billed in excess of the budgets, summed over all accounts."""
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


async def _count_repeated_runs(
    fleet: FleetSettings, non_idempotent_classes: set[str]
) -> int:
    repeated = 0
    async with aiohttp.ClientSession() as http:
        for spec in fleet.replicas:
            if spec.kind.value != "service":
                continue
            try:
                async with http.get(f"http://{spec.address}/_stats") as resp:
                    runs = (await resp.json())["runs"]
            except aiohttp.ClientError:
                continue
            repeated += sum(
                n - 1
                for k, n in runs.items()
                if k.split(":")[0] in non_idempotent_classes and n > 1
            )
    return repeated


async def audit(fleet: FleetSettings, non_idempotent_classes: set[str]) -> Audit:
    """Read the whole ledger stream, and the services' counts of repeated runs.

    :param non_idempotent_classes: classes that must run at most once per key.
    """
    log = LogClient(fleet.platform.log_address, "checker")
    try:
        records = await _read_all(log, LEDGER_STREAM)
    finally:
        await log.close()
    ledger = Ledger()
    per_request: Counter[str] = Counter()
    billed: Counter[str] = Counter()
    for offset, record in records:
        outcomes = ledger.apply(offset, record)
        for item, outcome in zip(record.get("bills", ()), outcomes, strict=False):
            if outcome is BillOutcome.CHARGED:
                bill = Bill.from_json(item)
                per_request[bill.request_id] += 1
                billed[bill.account] += bill.tokens
    repeated = await _count_repeated_runs(fleet, non_idempotent_classes)
    return Audit(
        {str(a): t.budget_tokens for a, t in ledger.accounts.items()},
        dict(billed),
        sum(per_request.values()),
        sum(n - 1 for n in per_request.values() if n > 1),
        repeated,
        sum(t.open_tokens for t in ledger.accounts.values()),
    )


def audit_sync(fleet: FleetSettings, non_idempotent_classes: set[str]) -> Audit:
    """Run :func:`audit` from code without an event loop."""
    return asyncio.run(audit(fleet, non_idempotent_classes))
