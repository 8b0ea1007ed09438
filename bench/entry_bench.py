"""Bench: CPU time and latency that one entry adds, and log appends per request.

CPU time is measured per request and per streamed token, latency for the first token and
per token, log appends for the whole fleet.

Runs a one-entry Haddad fleet on loopback with fast engine stand-ins, sends two bounded
loads through the entry (short and long answers) and one directly to the engines, and
reads the entry's CPU time from /proc.

    .venv/bin/python -m bench.entry_bench [--rate 150] [--seconds 6]
"""

import argparse
import asyncio
import json
import os
import random
import time

import aiohttp
from hdrh.histogram import HdrHistogram
from tests.fleet import Fleet, get_json

from celerytrack.load.caller import Caller
from celerytrack.load.mix import MIXES
from celerytrack.load.runner import prompt_for

_TICK_S = os.sysconf("SC_CLK_TCK")


def _cpu_s(pid: int) -> float:
    with open(f"/proc/{pid}/stat") as handle:
        fields = handle.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / _TICK_S


def _rss_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status") as handle:
        for line in handle:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


async def _direct(
    address: str, prompt: str, max_tokens: int, rid: str, http: aiohttp.ClientSession
) -> tuple[float, list[float]]:
    started = time.monotonic()
    body = {
        "model": "tutor",
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": max_tokens,
        "stream": True,
    }
    first, gaps, last = 0.0, [], started
    async with http.post(
        f"http://{address}/v1/chat/completions",
        json=body,
        headers={"X-Request-Id": rid},
    ) as resp:
        async for raw in resp.content:
            if not raw.startswith(b"data: {"):
                continue
            now = time.monotonic()
            if not first:
                first = now - started
            else:
                gaps.append(now - last)
            last = now
    return first, gaps


async def _load(
    fleet: Fleet,
    work_class: str,
    max_tokens: int,
    rate: float,
    seconds: float,
    direct: list[str] | None = None,
) -> dict[str, float]:
    mix = MIXES["haddad"]
    kind = next(k for k in mix.kinds if k.work_class == work_class)
    keys = {a.account_id: a.key for a in fleet.config.accounts}
    address = fleet.entry_specs[0].address
    rng = random.Random(5)
    ttft = HdrHistogram(1, 60_000_000, 3)
    gap = HdrHistogram(1, 60_000_000, 3)
    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        caller = Caller([address], keys, http)
        tasks = []
        count = int(rate * seconds)
        for i in range(count):
            account = rng.choice(list(keys))
            caller.routes[account] = (float("inf"), [address])
            prompt = prompt_for(kind, rng)
            if direct is None:
                tasks.append(
                    asyncio.create_task(
                        caller.send(
                            work_class, account, prompt, max_tokens, False, key=f"b{i}"
                        )
                    )
                )
            else:
                # Round-robin over the replicas that the entry routes to.
                target = direct[i % len(direct)]
                tasks.append(
                    asyncio.create_task(
                        _direct(target, prompt, max_tokens, f"d{i}{time.time()}", http)
                    )
                )
            await asyncio.sleep(1.0 / rate)
        done = await asyncio.gather(*tasks)
    for item in done:
        first, gaps = (item.ttft_s, item.gaps_s) if direct is None else item
        if first:
            ttft.record_value(int(first * 1e6))
        for g in gaps:
            gap.record_value(max(1, int(g * 1e6)))
    return {
        "requests": count,
        "ttft_p50_ms": ttft.get_value_at_percentile(50) / 1000,
        "ttft_p99_ms": ttft.get_value_at_percentile(99) / 1000,
        "gap_p50_ms": gap.get_value_at_percentile(50) / 1000,
        "gap_p99_ms": gap.get_value_at_percentile(99) / 1000,
    }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rate", type=float, default=150.0)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--tokens-per-event", type=int, default=1)
    args = parser.parse_args()
    out: dict[str, object] = {"rate_per_s": args.rate, "seconds": args.seconds}
    fleet = Fleet(
        "haddad",
        entries=1,
        engine_args=(
            *("--token-s", "0.002", "--capacity", "64", "--prefill-s", "0.000005"),
            *("--tokens-per-event", str(args.tokens_per_event)),
        ),
    )
    with fleet:
        pid = fleet.procs[fleet.entry_specs[0].entry_id].pid
        log = fleet.fleet.platform.log_address
        engines = [r.address for r in fleet.fleet.replicas if r.model == "tutor"]
        for name, work_class, tokens in (
            ("short", "live-hint", 8),
            ("long", "marking-job", 128),
        ):
            cpu0, appends0 = _cpu_s(pid), get_json(log, "/_stats")["appends"]
            wall0 = time.monotonic()
            figures = asyncio.run(
                _load(fleet, work_class, tokens, args.rate, args.seconds)
            )
            figures["entry_cpu_s"] = _cpu_s(pid) - cpu0
            figures["wall_s"] = time.monotonic() - wall0
            figures["log_appends"] = get_json(log, "/_stats")["appends"] - appends0
            figures["tokens_each"] = tokens
            figures["entry_rss_mb"] = _rss_mb(pid)
            out[name] = figures
        out["direct_long"] = asyncio.run(
            _load(fleet, "marking-job", 128, args.rate, args.seconds, direct=engines)
        )
    short, long_ = out["short"], out["long"]
    assert isinstance(short, dict) and isinstance(long_, dict)
    per_token = (long_["entry_cpu_s"] - short["entry_cpu_s"]) / (
        (long_["tokens_each"] - short["tokens_each"]) * long_["requests"]
    )
    per_request = short["entry_cpu_s"] / short["requests"] - per_token * 8
    out["slopes"] = {
        "cpu_us_per_request": per_request * 1e6,
        "cpu_us_per_token": per_token * 1e6,
        "log_appends_per_request": long_["log_appends"] / long_["requests"],
    }
    direct = out["direct_long"]
    assert isinstance(direct, dict)
    out["added"] = {
        "ttft_p50_ms": long_["ttft_p50_ms"] - direct["ttft_p50_ms"],
        "ttft_p99_ms": long_["ttft_p99_ms"] - direct["ttft_p99_ms"],
        "gap_p50_ms": long_["gap_p50_ms"] - direct["gap_p50_ms"],
    }
    print(json.dumps(out, indent=2))


if __name__ == "__main__":
    main()
