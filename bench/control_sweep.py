"""Bench: control overhead of an idle entry by the size of the fleet.

Starts fleets of several sizes on loopback without requests, and reads each entry's CPU
time, memory and bytes read and written from ``/proc``. That byte count leaves out the
heartbeat sockets, so their bytes are added from the size of a heartbeat. All replica
ids share the address of one stand-in. Fits a line to each sweep and prints the slopes
with their standard errors as JSON.

    .venv/bin/python -m bench.control_sweep [--seconds 5] [--plot FILE.png]
"""

import argparse
import json
import os
import pathlib
import tempfile
import time
from typing import Any

import numpy
from tests.fleet import Fleet

from celerytrack.entry.peers import HEARTBEAT_S, Heartbeat
from celerytrack.ids import EntryId

ENTRIES = (1, 4, 8, 16, 30)
REPLICAS = (10, 50, 150, 300)
ACCOUNTS = (10, 300, 1000, 3000)
_TICKS = os.sysconf("SC_CLK_TCK")
_ZONES = ["z1", "z2"]


def _settings(entries: int, replicas: int, accounts: int, into: pathlib.Path) -> str:
    def at(port: int) -> str:
        return f"127.0.0.1:{port}"

    fleet = {
        "deployment": "haddad",
        "zones": _ZONES,
        "platform": {
            "log_address": at(17900),
            "instances_address": at(17901),
            "weights_address": at(17902),
        },
        "entries": [
            {
                "entry_id": f"entry-{i}",
                "address": at(17910 + i),
                "peer_address": at(17950 + i),
                "zone": _ZONES[i % 2],
            }
            for i in range(1, entries + 1)
        ],
        "replicas": [
            {
                "replica_id": f"tutor-{i}",
                "address": at(17990),
                "zone": _ZONES[i % 2],
                "kind": "engine",
                "model": "tutor",
            }
            for i in range(replicas)
        ],
        "tuning": {},
    }
    config = {
        "deployment": "haddad",
        "classes": [
            {
                "name": "live-hint",
                "kind": "engine",
                "model": "tutor",
                "ttft_target_s": 0.5,
            }
        ],
        "accounts": [
            {"account_id": f"acct-{i}", "key": f"key-{i:08d}"} for i in range(accounts)
        ],
    }
    (into / "fleet.json").write_text(json.dumps(fleet))
    (into / "config.json").write_text(json.dumps(config))
    return str(into)


def _sample(pid: int) -> dict[str, float]:
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    io = dict(
        line.split(": ")
        for line in pathlib.Path(f"/proc/{pid}/io").read_text().split("\n")
        if line
    )
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    rss = next(x for x in status.split("\n") if x.startswith("VmRSS")).split()[1]
    return {
        "cpu_s": (int(stat[11]) + int(stat[12])) / _TICKS,
        "bytes": int(io["rchar"]) + int(io["wchar"]),
        "rss_mb": int(rss) / 1024,
    }


def measure(
    entries: int, replicas: int, accounts: int, seconds: float
) -> dict[str, float]:
    """Measure the mean control overhead per entry of an idle fleet of that size."""
    with tempfile.TemporaryDirectory() as tmp:
        fleet = Fleet(_settings(entries, replicas, accounts, pathlib.Path(tmp)))
        try:
            fleet.start_platform(replicas=1)
            fleet.publish(100_000)
            fleet.start_entries()
            pids = [fleet.procs[e.entry_id].pid for e in fleet.entry_specs]
            time.sleep(2.0)  # not synchronisation: excludes the cost of start-up
            before = [_sample(p) for p in pids]
            time.sleep(seconds)  # not synchronisation: the measured interval
            after = [_sample(p) for p in pids]
        finally:
            fleet.stop()
    n = len(pids)
    heartbeat = Heartbeat(EntryId("entry-10"), "b" * 8, 10**6, False, {}).to_bytes()
    heartbeat_bytes_per_s = len(heartbeat) * 2 * (entries - 1) / HEARTBEAT_S
    rates = {
        k: sum(a[k] - b[k] for a, b in zip(after, before, strict=True)) / n / seconds
        for k in ("cpu_s", "bytes")
    }
    return {
        "entries": entries,
        "replicas": replicas,
        "accounts": accounts,
        "cpu_ms_per_s": round(1000 * rates["cpu_s"], 2),
        "bytes_per_s": round(rates["bytes"] + heartbeat_bytes_per_s),
        "rss_mb": round(sum(a["rss_mb"] for a in after) / n, 1),
    }


def _fit(rows: list[dict[str, float]], x: str, y: str) -> dict[str, float]:
    xs = numpy.array([r[x] for r in rows], dtype=float)
    ys = numpy.array([r[y] for r in rows], dtype=float)
    (slope, base), cov = numpy.polyfit(xs, ys, 1, cov="unscaled")
    residual = ys - (slope * xs + base)
    error = float(numpy.sqrt(cov[0, 0] * (residual @ residual) / max(len(xs) - 2, 1)))
    return {
        "slope": round(float(slope), 4),
        "slope_error": round(error, 4),
        "at_zero": round(float(base), 2),
    }


def _plot(sweeps: dict[str, list[dict[str, float]]], path: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    measures = ("cpu_ms_per_s", "bytes_per_s", "rss_mb")
    figure, axes = pyplot.subplots(len(measures), len(sweeps), figsize=(11, 8))
    for column, (x, rows) in enumerate(sweeps.items()):
        for row, y in enumerate(measures):
            axis = axes[row][column]
            axis.plot([r[x] for r in rows], [r[y] for r in rows], marker="o")
            axis.set(xlabel=x, ylabel=f"{y}, one entry", ylim=(0, None))
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--plot", type=pathlib.Path)
    args = parser.parse_args()
    sweeps = {
        "entries": [measure(n, 10, 10, args.seconds) for n in ENTRIES],
        "replicas": [measure(2, n, 10, args.seconds) for n in REPLICAS],
        "accounts": [measure(2, 10, n, args.seconds) for n in ACCOUNTS],
    }
    out: dict[str, Any] = {"rows": sweeps, "fits": {}}
    for x, rows in sweeps.items():
        for y in ("cpu_ms_per_s", "bytes_per_s", "rss_mb"):
            out["fits"][f"{y} per {x}"] = _fit(rows, x, y)
    print(json.dumps(out, indent=2))
    if args.plot:
        _plot(sweeps, args.plot)


if __name__ == "__main__":
    main()
