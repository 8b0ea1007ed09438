"""Bench: our replica choice against round-robin and least-loaded, on the
Haddad mix at several shares of capacity, in one run.

For each policy a Haddad fleet (3 entries, 6 engine stand-ins with small
prefix caches) is started with ``tuning.placement`` set, and the same
seeded arrivals are sent; first-token percentiles per class, refusals and
the engines' prefix-cache hit rate are printed as JSON.

    .venv/bin/python -m bench.routing_bench [--rates 60,110,150] [--seconds 8]
"""

import argparse
import asyncio
import json
import pathlib
import shutil
import tempfile
from typing import Any

from tests.fleet import ROOT, Fleet, get_json

from celerytrack.load.checker import audit
from celerytrack.load.mix import MIXES
from celerytrack.load.report import summarise
from celerytrack.load.runner import Plan, run_plan

POLICIES = ("score", "round_robin", "least_loaded")
_ENGINE_ARGS = ("--token-s", "0.004", "--capacity", "16", "--cache-entries", "4")


def _folder(policy: str, into: pathlib.Path) -> pathlib.Path:
    folder = into / policy
    folder.mkdir()
    fleet = json.loads((ROOT / "examples/haddad/fleet.json").read_text())
    fleet["tuning"]["placement"] = policy
    (folder / "fleet.json").write_text(json.dumps(fleet))
    shutil.copy(ROOT / "examples/haddad/config.json", folder / "config.json")
    return folder


def _one(folder: pathlib.Path, rate: float, seconds: float) -> dict[str, Any]:
    with Fleet(str(folder), entries=3, engine_args=_ENGINE_ARGS) as fleet:
        keys = {a.account_id: a.key for a in fleet.config.accounts}
        entries = [e.address for e in fleet.entry_specs]
        plan = Plan(rate, seconds, int(rate * seconds), seed=11)

        async def go() -> dict[str, Any]:
            results = await run_plan(plan, MIXES["haddad"], entries, keys)
            found = await audit(fleet.fleet, {"answer-check"})
            targets = {c.name: c.ttft_target_s for c in fleet.config.classes}
            return summarise(results, found, targets)

        summary = asyncio.run(go())
        hits = misses = 0
        for spec in fleet.fleet.replicas:
            if spec.kind.value == "engine":
                stats = get_json(spec.address, "/_stats")
                hits, misses = hits + stats["hits"], misses + stats["misses"]
        summary["cache_hit_rate"] = round(hits / max(hits + misses, 1), 3)
    return summary


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rates", default="60,110,150")
    parser.add_argument("--seconds", type=float, default=8.0)
    args = parser.parse_args()
    out: dict[str, Any] = {}
    with tempfile.TemporaryDirectory() as tmp:
        for policy in POLICIES:
            folder = _folder(policy, pathlib.Path(tmp))
            for rate in (float(r) for r in args.rates.split(",")):
                summary = _one(folder, rate, args.seconds)
                out.setdefault(policy, {})[rate] = {
                    "cache_hit_rate": summary["cache_hit_rate"],
                    "classes": {
                        name: {
                            k: row[k]
                            for k in (
                                "ttft_p50_ms",
                                "ttft_p95_ms",
                                "target_ms",
                                "outcomes",
                            )
                        }
                        for name, row in summary["classes"].items()
                    },
                }
    print(json.dumps(out, indent=2))


if __name__ == "__main__":
    main()
