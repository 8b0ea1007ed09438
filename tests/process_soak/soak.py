"""One soak: a site of processes, its callers, and the faults of a plan."""

import asyncio
import collections
import json
import time
from typing import Any

from tests.process_soak.calls import Calls, Found, read_records
from tests.process_soak.judging import record_faults, rule_faults
from tests.process_soak.plan import Fault, make_plan
from tests.process_soak.site import Options, Site


def _runs(records: list[dict[str, Any]]) -> collections.Counter[str]:
    """How often each request ran."""
    return collections.Counter(r["id"] for r in records if r["did"] == "run")


async def soak(options: Options) -> Found:
    """Play one seed."""
    plan = make_plan(
        options.seed,
        options.seconds,
        options.entries,
        options.endpoints,
        options.faults,
    )
    text = "\n".join(str(fault) for fault in plan)
    (options.folder / "plan.txt").write_text(f"{text}\n")
    site = Site(options)
    async with site.running():
        begin_s = time.monotonic()
        calls = Calls(site, begin_s + options.seconds)
        async with asyncio.TaskGroup() as group:
            for number in range(options.callers):
                group.create_task(calls.run(number))
            for fault in plan:
                group.create_task(_play_at(site, fault, begin_s))
    found = calls.found
    once = [name for name, path in found.asked.items() if not _repeats(path)]
    runs = _runs(read_records(options.folder))
    for name, fault_name in record_faults(runs, found.refused, once):
        found.wrong[f"{found.asked[name].split('/')[1]} {fault_name}"] += 1
        found.evidence.append({"faults": [fault_name], "request": name})
    for name in rule_faults(len(found.mixed), found.begun, found.taken_up):
        found.wrong[f"rule {name}"] += 1
    if found.mixed:
        (options.folder / "mixed.json").write_text(json.dumps(found.mixed, indent=1))
    for ip in site.ended:
        found.wrong[f"entry {ip} ended"] += 1
    if found.evidence:
        (options.folder / "evidence.json").write_text(
            json.dumps(found.evidence, indent=1)
        )
    return found


def _repeats(path: str) -> bool:
    return path.startswith(("/plain/", "/resume/"))


async def _play_at(site: Site, fault: Fault, begin_s: float) -> None:
    await asyncio.sleep(max(0.0, begin_s + fault.at_s - time.monotonic()))
    await site.play(fault)
