"""Options and output of benchmarks that print rows of figures."""

import argparse
import concurrent.futures
import json
from collections.abc import Callable, Sequence
from typing import Any, TypeVar

_Scenario = TypeVar("_Scenario")
Row = dict[str, object]
Plot = Callable[[list[Row], list[Row], str], None]
"""Called with the earlier rows, the present rows and the picture's file."""


def make_parser(
    description: str | None, entries: str, seeds: int, jobs: int
) -> argparse.ArgumentParser:
    """A parser of the common options with these defaults."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--entries", default=entries)
    parser.add_argument("--seeds", type=int, default=seeds)
    parser.add_argument("--only", default="")
    parser.add_argument("--jobs", type=int, default=jobs, help="processes at once")
    parser.add_argument("--json")
    parser.add_argument("--against", help="rows of an earlier run, to plot beside")
    parser.add_argument("--plot", help="the picture's file")
    return parser


def print_row(row: Row) -> None:
    """Print one row."""
    print(" ".join(f"{k}={v}" for k, v in row.items()), flush=True)


def play_rows(
    play: Callable[[_Scenario, int], Any],
    summarise: Callable[[_Scenario, Sequence[Any]], Row],
    scenarios: Sequence[_Scenario],
    seeds: int,
    jobs: int,
) -> list[Row]:
    """Play each scenario with the seeds from 1 on; print and return a row of each."""
    rows = []
    with concurrent.futures.ProcessPoolExecutor(jobs) as pool:
        plays = [
            [pool.submit(play, scenario, seed) for seed in range(1, seeds + 1)]
            for scenario in scenarios
        ]
        for scenario, runs in zip(scenarios, plays, strict=True):
            rows.append(summarise(scenario, [run.result() for run in runs]))
            print_row(rows[-1])
    return rows


def keep_rows(rows: list[Row], args: argparse.Namespace, plot: Plot) -> None:
    """Write and plot the rows as the options say."""
    if args.json:
        with open(args.json, "w") as file:
            json.dump(rows, file, indent=1)
    if args.against and args.plot:
        with open(args.against) as file:
            plot(json.load(file), rows, args.plot)
