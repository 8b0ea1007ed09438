"""What a restore of the log from an older backup costs, in virtual time.

``python -m bench.restore_bench [--entries 9,76,195] [--seeds 20] [--only NAME]
[--jobs 3] [--json FILE] [--against FILE --plot FILE]`` runs each kind of restore with
the real entry tasks, and the same run without it. Overspent tokens must be 0 in every
row in which no entry loses power: an entry that does forgets what it spent since the
backup.
"""

import concurrent.futures
import functools
import logging
import math
import statistics
import sys

import attrs

from bench.restore_plot import plot
from bench.rows import keep_rows, make_parser, print_row
from celerytrack.gateway import share_sync
from celerytrack.lab.prepaid_fleet import PrepaidFleet
from celerytrack.lab.prepaid_scenarios import Fault, FaultKind, Scenario
from celerytrack.lab.recovery_time import (
    SampledRequest,
    most_writes_per_s,
    normal_again_s,
)
from celerytrack.lab.virtual_time import run_virtual

AT_S, AWAY_S = 10.0, 0.5
WRITES_PER_S = {9: 600, 76: 1_500, 195: 3_200}
"""Most writes per second that the log takes, by the number of entries."""
ANNOUNCED = {195: 15}
"""Number of advertised entries, where it is not all of them."""
COMPARED_S = 16.0
"""Totals are used up about then, and little is owed afterwards."""
MAX_CACHED_ROWS = 50_000


def _restored(loses_s: float, at_s: float = AT_S) -> Fault:
    return Fault(FaultKind.RESTORED, at_s, AWAY_S, loses_s=loses_s)


_AWAY = Fault(FaultKind.AWAY, AT_S, AWAY_S)
_LOSES_2 = _restored(2.0)
_LOSES_2_AGAIN = _restored(2.0, AT_S + 1.5)
_CUT = Fault(FaultKind.CUT, AT_S - 1.0, 10.0, 0.34)
_POWER = Fault(FaultKind.POWER, AT_S - 0.1, 1.4, 0.34)
_POWER_ALL = Fault(FaultKind.POWER, AT_S + AWAY_S + 0.1, 1.4)

WITHOUT = "no fault"
RUNS: tuple[tuple[str, tuple[Fault, ...], str], ...] = (
    # name, faults, the same run without the restore
    (WITHOUT, (), WITHOUT),
    ("away, nothing lost", (_AWAY,), WITHOUT),
    ("loses 0.5 s", (_restored(0.5),), WITHOUT),
    ("loses 2 s", (_LOSES_2,), WITHOUT),
    ("loses 5 s", (_restored(5.0),), WITHOUT),
    ("twice within 2 s", (_LOSES_2, _LOSES_2_AGAIN), WITHOUT),
    ("cut of a third", (_CUT,), "cut of a third"),
    ("loses 2 s in that cut", (_CUT, _LOSES_2), "cut of a third"),
    ("a third lose power", (_POWER,), "a third lose power"),
    ("loses 2 s as a third lose power", (_POWER, _LOSES_2), "a third lose power"),
    ("all lose power", (_POWER_ALL,), "all lose power"),
    ("loses 2 s, then all lose power", (_LOSES_2, _POWER_ALL), "all lose power"),
)


@attrs.frozen
class Played:
    """The results of one run."""

    overspent_tokens: int
    delivered_share: float
    in_target_share: float
    refused_share: float
    requests: list[SampledRequest]
    writes_per_s: int


def scenario(name: str, faults: tuple[Fault, ...], entries: int) -> Scenario:
    """One run of a fleet whose totals are used up some seconds after the fault."""
    return Scenario(
        name,
        entries=entries,
        accounts=3,
        runs_s=20.0,
        lasts_s=10.0,
        wide=ANNOUNCED.get(entries, 0),
        faults=faults,
    )


def play(run: Scenario, seed: int) -> Played:
    """Run one scenario with one seed."""
    logging.disable(logging.CRITICAL)
    _decode_once()
    outcome = run_virtual(PrepaidFleet(run, seed).run())
    return Played(
        outcome.overspent_tokens,
        outcome.delivered_share,
        outcome.in_target_share,
        outcome.refused_share,
        outcome.requests,
        most_writes_per_s(outcome.writes_s, AT_S),
    )


@functools.cache
def _decode_once() -> None:
    """Decode each row once, not once per entry that reads it."""
    decode = functools.lru_cache(MAX_CACHED_ROWS)(share_sync.decode_member)
    share_sync.decode_member = decode  # type: ignore[assignment]


def _fault_end_s(faults: tuple[Fault, ...]) -> float:
    """When the last fault ends, except partitions, which outlast the totals."""
    ends_s = (f.at_s + f.for_s for f in faults if f.kind is not FaultKind.CUT)
    return max(ends_s, default=AT_S)


def row(run: Scenario, plays: list[Played], without: list[Played]) -> dict[str, object]:
    """Several runs as one row of the table; ``without`` are the runs without the
    restore, with the same seeds."""

    def mean(field: str) -> float:
        return statistics.fmean(getattr(p, field) for p in plays)

    pairs = zip(plays, without, strict=True)
    less = [w.delivered_share - p.delivered_share for p, w in pairs]
    return {
        "scenario": run.name,
        "entries": run.entries,
        "seeds": len(plays),
        "overspent_tokens": sum(p.overspent_tokens for p in plays),
        "seeds_overspent": sum(p.overspent_tokens > 0 for p in plays),
        "delivered_share": round(mean("delivered_share"), 4),
        "less_delivered": round(statistics.fmean(less), 4),
        "less_delivered_most": round(max(less), 4),
        "in_target_share": round(mean("in_target_share"), 4),
        "refused_share": round(mean("refused_share"), 4),
        "normal_again_s": _normal_again_s(run, plays, without),
        "writes_per_s_most": max(p.writes_per_s for p in plays),
        "writes_per_s_allowed": WRITES_PER_S.get(run.entries, math.inf),
    }


def _normal_again_s(run: Scenario, plays: list[Played], without: list[Played]) -> float:
    over_s = _fault_end_s(run.faults)
    played = [request for play in plays for request in play.requests]
    usual = [request for play in without for request in play.requests]
    return normal_again_s(played, usual, over_s, COMPARED_S)


def _rows(entries: int, only: str, seeds: int, jobs: int) -> list[dict[str, object]]:
    wanted = [name for name, _, _ in RUNS if only in name]
    wanted += [without for name, _, without in RUNS if name in wanted]
    runs = {n: scenario(n, f, entries) for n, f, _ in RUNS if n in wanted}
    rows = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        plays = {
            name: [pool.submit(play, run, seed) for seed in range(1, seeds + 1)]
            for name, run in runs.items()
        }
        for name, _, without in RUNS:
            if name in runs:
                played = [p.result() for p in plays[name]]
                baseline = [p.result() for p in plays[without]]
                rows.append(row(runs[name], played, baseline))
                print_row(rows[-1])
    return rows


def main() -> int:
    """Run all scenarios and print their rows."""
    args = make_parser(__doc__, entries="9,76,195", seeds=20, jobs=3).parse_args()
    rows = []
    for entries in map(int, args.entries.split(",")):
        rows += _rows(entries, args.only, args.seeds, args.jobs)
    keep_rows(rows, args, plot)
    return 1 if any(_overspent(r) for r in rows) else 0


def _overspent(row: dict[str, object]) -> bool:
    return bool(row["overspent_tokens"]) and "all lose power" not in str(
        row["scenario"]
    )


if __name__ == "__main__":
    sys.exit(main())
