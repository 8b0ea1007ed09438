"""What a request costs a gateway, with and without requests under suspicion.

``python -m bench.gateway_cost_bench [--requests 1500] [--rounds 5]`` sends requests one
after another through a gateway on loopback to an endpoint in the same process, and
prints the processor time of all three for each; the least of the rounds counts.
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


def _suspect(fleet: Fleet, count: int) -> None:
    """Have ``count`` other requests under suspicion, if this release knows of any."""
    from celerytrack.findings import Crash
    from celerytrack.ids import EndpointId

    book = fleet.gateways[0].suspect_sync.tracker
    found = [Fingerprint(n.to_bytes(16, "big")) for n in range(count)]
    for number in range(3):
        ending = Crash(EndpointId(f"i-{number}"))
        book.record_crash(ending, found, time.monotonic())


async def _round(fleet: Fleet, requests: int) -> float:
    began_s = time.process_time()
    for number in range(requests):
        status, _, _ = await fleet.ask("/plain/x", f"r{number}", body=BODY)
        assert status == 200, status
    return 1e6 * (time.process_time() - began_s) / requests


async def _measure(requests: int, rounds: int, suspects: int) -> float:
    async with Fleet(Endpoint("i-good", _good)) as fleet:
        if suspects:
            _suspect(fleet, suspects)
        return min([await _round(fleet, requests) for _ in range(rounds)])


def main() -> None:
    """Print a row for each number of requests under suspicion."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--requests", type=int, default=1_500)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--suspects", default="0,1,100,4000")
    args = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for suspects in map(int, args.suspects.split(",")):
        cost_us = asyncio.run(_measure(args.requests, args.rounds, suspects))
        print(f"suspects={suspects} cpu_us_a_request={cost_us:.1f}", flush=True)


if __name__ == "__main__":
    main()
