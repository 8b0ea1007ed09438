"""Bench: memory and CPU cost of the I/O-free core, per item in its state.

Measures with tracemalloc and perf_counter the cost of an entry's state per folded
account budget, held grant, tracked replica and applied configuration change, and the
time to fold a bill and to choose a replica. Each is measured at several sizes, so that
the slope can be read.

    .venv/bin/python -m bench.core_slopes
"""

import json
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from celerytrack.escrow import Escrow, HeldGrant
from celerytrack.ids import AccountId, EntryId, GrantId, ReplicaId, RequestId, Zone
from celerytrack.ledger import Bill, Ledger
from celerytrack.prompts import prompt_blocks
from celerytrack.routing.replica_load import Ask, ReplicaLoad
from celerytrack.routing.replicas import make_chooser
from celerytrack.settings import Config, structure


def _bytes(build: Callable[[int], Any], n: int) -> float:
    tracemalloc.start()
    before = tracemalloc.take_snapshot()
    built = build(n)
    after = tracemalloc.take_snapshot()
    tracemalloc.stop()
    total = sum(s.size_diff for s in after.compare_to(before, "filename"))
    del built
    return total / n


def _ledger(n: int) -> Ledger:
    ledger = Ledger()
    for i in range(n):
        ledger.apply(
            2 * i,
            {
                "type": "topup",
                "account": f"acct-{i:06d}",
                "tokens": 1000,
                "topup_id": f"t{i}",
            },
        )
        ledger.apply(
            2 * i + 1,
            {
                "type": "grant",
                "account": f"acct-{i:06d}",
                "entry": "entry-1",
                "boot_id": "b",
                "grant_id": f"g{i}",
                "tokens": 100,
            },
        )
    return ledger


def _escrow(n: int) -> Escrow:
    escrow = Escrow(EntryId("entry-1"))
    for i in range(n):
        escrow.add(
            HeldGrant(GrantId(f"entry-1.b.{i}"), AccountId(f"acct-{i:06d}"), 4000, 60.0)
        )
    return escrow


def _bill_records(n: int) -> list[dict[str, Any]]:
    """Return ``n`` bills of 1,000 accounts, 78 in each record as at the target load."""
    bills = [
        Bill(
            RequestId(f"{i:024x}"),
            AccountId(f"acct-{i % 1000:06d}"),
            "live-hint",
            ((GrantId(f"g{i % 1000}"), 1),),
        ).to_json()
        for i in range(n)
    ]
    return [
        {"type": "bills", "bills": bills[i : i + 78], "writer": "e/b", "seq": i}
        for i in range(0, n, 78)
    ]


def _fold_us_per_bill(n: int) -> float:
    ledger, records = _ledger(1000), _bill_records(n)
    started = time.perf_counter()
    for record in records:
        ledger.apply(ledger.next_offset, record)
    return 1e6 * (time.perf_counter() - started) / n


def _replicas(n: int) -> list[ReplicaLoad]:
    return [
        ReplicaLoad(ReplicaId(f"rep-{i:05d}"), Zone(f"z{i % 8}"), f"m{i % 9}")
        for i in range(n)
    ]


def _config_doc(accounts: int) -> dict[str, Any]:
    return {
        "deployment": "big",
        "classes": [
            {
                "name": f"class-{i}",
                "kind": "engine",
                "model": f"m{i % 9}",
                "ttft_target_s": 1.6,
            }
            for i in range(30)
        ],
        "accounts": [
            {"account_id": f"acct-{i:06d}", "key": f"key-{i:012d}"}
            for i in range(accounts)
        ],
    }


def _time_per(fn: Callable[[], Any], repeat: int) -> float:
    started = time.perf_counter()
    for _ in range(repeat):
        fn()
    return (time.perf_counter() - started) / repeat


def main() -> None:
    out: dict[str, Any] = {}
    for name, build in (
        ("ledger_bytes_per_account", _ledger),
        ("escrow_bytes_per_grant", _escrow),
        ("replica_bytes_per_tracked", _replicas),
    ):
        out[name] = {n: round(_bytes(build, n), 1) for n in (1000, 10000, 100000)}
    choose = make_chooser("predicted")
    ask = Ask("m1", 0, prompt_blocks("prompt " * 1700))
    for n in (16 * 9, 100 * 9, 1000 * 9):
        replicas = _replicas(n)
        out.setdefault("choose_us_by_replicas_of_the_model", {})[n // 9] = round(
            1e6 * _time_per(lambda r=replicas: choose(r, ask, Zone("z1"), 1.0), 50), 1
        )
    out["prompt_blocks_us_for_12kb"] = round(
        1e6 * _time_per(lambda: prompt_blocks("prompt " * 1700), 200), 1
    )
    out["fold_us_per_bill"] = {
        n: round(_fold_us_per_bill(n), 2) for n in (10000, 50000)
    }
    records = _bill_records(7800)
    out["bill_bytes"] = round(sum(len(json.dumps(r)) for r in records) / 7800, 1)
    ledger = _ledger(4375)
    for record in _bill_records(20000):
        ledger.apply(ledger.next_offset, record)
    out["snapshot_mb_at_target_shard"] = round(
        len(json.dumps(ledger.snapshot())) / 1e6, 2
    )
    for accounts in (250, 2500):
        doc = _config_doc(accounts)
        out.setdefault("config_apply_ms", {})[accounts] = round(
            1e3 * _time_per(lambda d=doc: structure(d, Config), 5), 2
        )
        out.setdefault("config_record_kb", {})[accounts] = round(
            len(json.dumps(doc)) / 1024, 1
        )
    print(json.dumps(out, indent=2))


if __name__ == "__main__":
    main()
