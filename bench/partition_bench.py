"""Bench: overspend and false refusals in a partition, escrow against three baselines.

The I/O-free core (ledger fold, escrow, refill plan) runs in simulated time: one
account, two home entries of which one is partitioned from the log for a while, and a
top-up in the middle of the partition. A refusal is false if the account's budget, less
everything spent at any entry, covered the request. Baselines: ``static_split`` (each
entry has its share of every top-up that it has seen), ``refuse_when_cut`` (every
request checks with the log), ``on_credit`` (a partitioned entry continues with the last
balance it saw).

    .venv/bin/python -m bench.partition_bench [--cut-s 60] [--cover-s 300]
        [--lease-s 600] [--skew 0.5] [--dies] [--runs 20]
"""

import argparse
import json
import random
from collections.abc import Callable
from typing import Any

import attrs

from celerytrack.escrow import Escrow, HeldGrant, plan_refill
from celerytrack.ids import AccountId, EntryId, RequestId
from celerytrack.ledger import Bill, BillOutcome, Ledger
from celerytrack.settings import GrantPolicy

ACCOUNT = AccountId("a")
CUT, HOME = EntryId("cut"), EntryId("home")
COSTS_TOKENS = (632, 632, 632, 3128)
"""Three hints for each marking job, as in the load generator's mixes."""
RATE_PER_S = 2.0
BEFORE_S = 60.0
AFTER_S = 60.0
GONE_LAG_S = 30.0
"""Time from an entry's crash until the platform lists it as gone."""
WEIGHTS = {"padma": (10.0, 1.0), "haddad": (1.0, 10.0)}
"""Each user's weights of an overspent token and of a falsely refused token."""


@attrs.define
class World:
    """The account's true state across all entries.

    :ivar bought: tokens topped up.
    :ivar spent: tokens spent at any entry.
    :ivar cut: whether the entry ``CUT`` is partitioned.
    :ivar reclaim_at_s: when the grants of a crashed entry are reclaimed.
    """

    bought: int = 0
    spent: int = 0
    cut: bool = False
    reclaim_at_s: float | None = None


Serve = Callable[[EntryId, int, float], bool]
"""Returns whether an entry serves a request of a cost (tokens) at a time (seconds)."""


def make_escrow(
    world: World, policy: GrantPolicy
) -> tuple[Serve, Callable[[int], None]]:
    """Model :class:`~celerytrack.entry.grant_manager.GrantManager`, with a log that
    answers at once, or is unreachable while partitioned."""
    log: list[dict[str, Any]] = []
    ledgers = {e: Ledger() for e in (CUT, HOME)}
    escrows = {e: Escrow(e) for e in (CUT, HOME)}

    def fold(entry: EntryId) -> None:
        for offset in range(ledgers[entry].next_offset, len(log)):
            ledgers[entry].apply(offset, log[offset])

    def settle(entry: EntryId, grants: list[HeldGrant]) -> None:
        for grant in grants:
            escrows[entry].remove(grant.grant_id)
            log.append({"type": "settle", "grant_id": grant.grant_id})
        fold(entry)

    def refill(entry: EntryId, cost: int, now_s: float) -> None:
        fold(entry)
        settle(entry, escrows[entry].settleable(now_s))
        for _ in range(2):
            totals = ledgers[entry].account(ACCOUNT)
            held = sum(g.tokens - g.spent_tokens for g in escrows[entry].held(ACCOUNT))
            plan = plan_refill(
                cost,
                escrows[entry].available(ACCOUNT, now_s),
                totals.free_tokens,
                totals.open_tokens - held,
                escrows[entry].rate_tokens_per_s(ACCOUNT, now_s),
                policy,
            )
            if plan.grant_tokens:
                grant_id = escrows[entry].new_grant_id("b")
                log.append(
                    {
                        "type": "grant",
                        "account": ACCOUNT,
                        "entry": entry,
                        "boot_id": "b",
                        "grant_id": grant_id,
                        "tokens": plan.grant_tokens,
                    }
                )
                fold(entry)
                held_grant = HeldGrant(
                    grant_id, ACCOUNT, plan.grant_tokens, now_s + policy.lease_s
                )
                escrows[entry].add(held_grant)
            other = CUT if entry == HOME else HOME
            if not plan.others_tokens or world.cut:
                return
            settle(other, escrows[other].idle_grants(ACCOUNT))
            fold(entry)

    def serve(entry: EntryId, cost: int, now_s: float) -> bool:
        if world.reclaim_at_s is not None and now_s >= world.reclaim_at_s:
            world.reclaim_at_s = None
            settle(CUT, list(escrows[CUT].grants.values()))
        connected = not (world.cut and entry == CUT)
        if connected:
            refill(entry, cost, now_s)
        rid = RequestId(f"{entry}{now_s}")
        reservation = escrows[entry].reserve(rid, ACCOUNT, cost, now_s)
        if reservation is None:
            return False
        charges = escrows[entry].commit(reservation, cost)
        # Bills of a partitioned entry reach the log later. Until then the fold counts
        # their tokens as part of its open grant, which reserves the same tokens.
        record = {
            "type": "bills",
            "bills": [Bill(rid, ACCOUNT, "c", charges).to_json()],
        }
        waiting.append((entry, record, charges))
        for item in [w for w in waiting if not (world.cut and w[0] == CUT)]:
            waiting.remove(item)
            log.append(item[1])
            escrows[item[0]].confirm(item[2], BillOutcome.CHARGED)
        return True

    waiting: list[Any] = []
    topups = iter(range(1000))

    def topup(tokens: int) -> None:
        log.append(
            {
                "type": "topup",
                "account": ACCOUNT,
                "tokens": tokens,
                "topup_id": str(next(topups)),
            }
        )

    return serve, topup


def make_static_split(world: World) -> tuple[Serve, Callable[[int], None]]:
    """Each entry may spend half of every top-up that it has seen."""
    left = {CUT: 0, HOME: 0}
    unseen: list[int] = []

    def topup(tokens: int) -> None:
        left[HOME] += tokens // 2
        unseen.append(tokens // 2)

    def serve(entry: EntryId, cost: int, now_s: float) -> bool:
        if not world.cut:
            left[CUT] += sum(unseen)
            unseen.clear()
        if left[entry] < cost:
            return False
        left[entry] -= cost
        return True

    return serve, topup


def make_refuse_when_cut(world: World) -> tuple[Serve, Callable[[int], None]]:
    """Every request is checked with the log; a partitioned entry refuses it."""

    def serve(entry: EntryId, cost: int, now_s: float) -> bool:
        if world.cut and entry == CUT:
            return False
        return world.spent + cost <= world.bought

    return serve, lambda tokens: None


def make_on_credit(world: World) -> tuple[Serve, Callable[[int], None]]:
    """Each side of a partition continues with the last balance it saw."""
    unseen = {CUT: 0, HOME: 0}
    bought_seen = {CUT: 0}

    def serve(entry: EntryId, cost: int, now_s: float) -> bool:
        if not world.cut:
            unseen.update({CUT: 0, HOME: 0})
            bought_seen[CUT] = world.bought
        other = HOME if entry == CUT else CUT
        bought = bought_seen[CUT] if entry == CUT else world.bought
        if world.spent - unseen[other] + cost > bought:
            return False
        unseen[entry] += cost
        return True

    return serve, lambda tokens: None


def run_once(name: str, budget_share: float, args: Any, seed: int) -> dict[str, int]:
    """Run once; return the tokens asked for, overspent and falsely refused.

    :param budget_share: ratio of the budget, including the top-up, to the demand.
    """
    rng = random.Random(seed)
    world = World()
    policy = GrantPolicy(cover_s=args.cover_s, lease_s=args.lease_s)
    serve, topup = {
        "escrow": lambda: make_escrow(world, policy),
        "static_split": lambda: make_static_split(world),
        "refuse_when_cut": lambda: make_refuse_when_cut(world),
        "on_credit": lambda: make_on_credit(world),
    }[name]()
    length_s = BEFORE_S + args.cut_s + AFTER_S
    demand = RATE_PER_S * length_s * sum(COSTS_TOKENS) / len(COSTS_TOKENS)
    half = int(demand * budget_share / 2)
    world.bought += half
    topup(half)
    topped_up = reclaimed = False
    skew = args.skew
    asked = false_tokens = 0
    now_s = 0.0
    while (now_s := now_s + rng.expovariate(RATE_PER_S)) < length_s:
        world.cut = BEFORE_S <= now_s < BEFORE_S + args.cut_s
        if args.dies and world.cut and not reclaimed:
            reclaimed, skew = True, 0.0
            world.reclaim_at_s = now_s + GONE_LAG_S + args.lease_s
        if not topped_up and now_s >= BEFORE_S + args.cut_s / 2:
            topped_up = True
            world.bought += half
            topup(half)
        cost, entry = (
            rng.choice(COSTS_TOKENS),
            CUT if rng.random() < skew else HOME,
        )
        asked += cost
        if serve(entry, cost, now_s):
            world.spent += cost
        elif world.bought - world.spent >= cost:
            false_tokens += cost
    over = max(0, world.spent - world.bought)
    return {"asked": asked, "overspent": over, "falsely_refused": false_tokens}


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--cut-s", type=float, default=60.0)
    parser.add_argument("--cover-s", type=float, default=300.0)
    parser.add_argument("--lease-s", type=float, default=600.0)
    parser.add_argument(
        "--skew", type=float, default=0.5, help="request share of partitioned entry"
    )
    parser.add_argument(
        "--dies", action="store_true", help="crash the entry in place of a partition"
    )
    parser.add_argument("--runs", type=int, default=20)
    args = parser.parse_args()
    out: dict[str, Any] = {"args": vars(args)}
    for label, share in (("ample", 4.0), ("enough", 1.2), ("short", 0.8)):
        for name in ("escrow", "static_split", "refuse_when_cut", "on_credit"):
            total = {"asked": 0, "overspent": 0, "falsely_refused": 0}
            for seed in range(args.runs):
                for key, value in run_once(name, share, args, seed).items():
                    total[key] += value
            row = {
                "overspent_share": round(total["overspent"] / total["asked"], 4),
                "falsely_refused_share": round(
                    total["falsely_refused"] / total["asked"], 4
                ),
            }
            for user, (over, false) in WEIGHTS.items():
                row[f"cost_{user}"] = round(
                    over * row["overspent_share"]
                    + false * row["falsely_refused_share"],
                    3,
                )
            out.setdefault(label, {})[name] = row
    print(json.dumps(out, indent=2))


if __name__ == "__main__":
    main()
