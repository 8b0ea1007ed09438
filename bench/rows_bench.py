"""Processor time that rows cost an entry, by the size of the fleet.

``python -m bench.rows_bench [--entries 9,64,300] [--accounts 24]`` runs the real
budgets, membership view and row format. It prints the microseconds per row read
(decoded and folded), per row written (planned and made), and per logged summary.
"""

import argparse
import time
from collections.abc import Callable

from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.membership.members import Member, MembershipView, MemberState
from celerytrack.platform.rows import decode_member, encode_member
from celerytrack.prepaid import AccountClaim, PrepaidBudgets

TOTAL_TOKENS = 10_000_000
ROUNDS = 10


def _row(entry: int, made_s: float, accounts: list[AccountId]) -> bytes:
    shares = {
        a: AccountClaim(10_000, 900, 500 + int(made_s), 0, 0, 50, 50) for a in accounts
    }
    member = Member(
        entry_id=EntryId(f"e{entry}"),
        epoch=1,
        front_address="10.1.0.40:8227",
        peer_address="10.1.0.40:7340",
        zone=Zone("z"),
        state=MemberState.SERVING,
        made_s=made_s,
        shares=shares,
    )
    return encode_member(member)


def _each_us(times: int, call: Callable[[], object]) -> float:
    started_s = time.perf_counter()
    for _ in range(times):
        call()
    return (time.perf_counter() - started_s) / times * 1e6


def measure(entries: int, account_count: int) -> dict[str, float]:
    """The figures for one fleet size."""
    accounts = [AccountId(f"account{i:02}") for i in range(account_count)]
    budgets, view = PrepaidBudgets(EntryId("me")), MembershipView(EntryId("me"))
    budgets.set_totals(dict.fromkeys(accounts, TOTAL_TOKENS))
    budgets.adopt(None)
    rows = [_row(i % entries, float(i), accounts) for i in range(ROUNDS * entries)]

    def read() -> None:
        for i, raw in enumerate(rows):
            member = decode_member(f"e{i % entries}", raw)
            view.fold(member, member.made_s)
            budgets.fold(member.entry_id, member.shares)

    def write() -> None:
        budgets.plan(entries, 1.0)
        row = budgets.make_row(1.0)
        budgets.fold(EntryId("me"), row)
        budgets.confirm_row()

    return {
        "read_us": _each_us(1, read) / len(rows),
        "write_us": _each_us(50, write),
        "summary_us": _each_us(50, lambda: budgets.summary(1.0)),
    }


def main() -> None:
    """Print a line for each fleet size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--entries", default="9,64,300")
    parser.add_argument("--accounts", type=int, default=24)
    args = parser.parse_args()
    for entries in map(int, args.entries.split(",")):
        figures = measure(entries, args.accounts)
        shown = " ".join(f"{name}={value:.0f}" for name, value in figures.items())
        print(f"entries={entries} {shown}")


if __name__ == "__main__":
    main()
