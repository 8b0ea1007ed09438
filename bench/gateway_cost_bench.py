"""Bench: CPU time per request through a gateway, by the number of suspects it tracks.

``python -m bench.gateway_cost_bench [--requests 1500] [--rounds 5] [--parts]`` sends
requests, whose prompts have three parts with ``--parts``, one
after another through a gateway on loopback to an endpoint. Client, gateway and endpoint
run in one process; the CPU time per request is that of all three, and the minimum over
the rounds is printed.
"""

import argparse
import asyncio
import logging
import time

from aiohttp import web
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet

from celerytrack.fingerprint import Fingerprint

BODY = b"x" * 2_000


async def _good(request: web.BaseRequest) -> web.StreamResponse:
    await request.read()
    headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
    return web.Response(body=b"good", headers=headers)


def _add_suspects(fleet: Fleet, count: int) -> None:
    """Make ``count`` other requests suspects, on releases that track suspects."""
    from celerytrack.findings import Crash
    from celerytrack.ids import EndpointId

    tracker = fleet.gateways[0].suspect_sync.tracker
    fingerprints = [Fingerprint(n.to_bytes(16, "big")) for n in range(count)]
    for number in range(3):
        crash = Crash(EndpointId(f"i-{number}"))
        tracker.record_crash(crash, fingerprints, time.monotonic())


def _prompt_headers(number: int) -> dict[str, str]:
    prompt = f"{number % 3:x}:1,{number % 100:x}:1,{number:x}:1"
    return {"X-Prompt-Prefix": prompt, "X-Model": "m", "X-Token-Count": "3,1"}


async def _round(fleet: Fleet, requests: int, parts: bool) -> float:
    start_s = time.process_time()
    for number in range(requests):
        headers = _prompt_headers(number) if parts else {}
        status, _, _ = await fleet.ask("/plain/x", f"r{number}", body=BODY, **headers)
        assert status == 200, status
    return 1e6 * (time.process_time() - start_s) / requests


async def _measure(requests: int, rounds: int, suspects: int, parts: bool) -> float:
    async with Fleet(Endpoint("i-good", _good)) as fleet:
        if suspects:
            _add_suspects(fleet, suspects)
        return min([await _round(fleet, requests, parts) for _ in range(rounds)])


def main() -> None:
    """Print a row for each number of suspects."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=1_500)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--suspects", default="0,1,100,4000")
    parser.add_argument("--parts", action="store_true", help="prompts of three parts")
    args = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for suspects in map(int, args.suspects.split(",")):
        cost_us = asyncio.run(
            _measure(args.requests, args.rounds, suspects, args.parts)
        )
        print(f"suspects={suspects} cpu_us_a_request={cost_us:.1f}", flush=True)


if __name__ == "__main__":
    main()
