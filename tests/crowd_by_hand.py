"""A crowd of mixed kinds at the true size, by hand.

``python -m tests.crowd_by_hand [--callers 300] [--memory-mb 300] [--bodies-mib 4]``
starts an entry with the settings of such a machine and lets crowds stand before it in
series that overlap, with a planned stop and a restart among them. It prints the memory
and the descriptors of the process, and whether ordinary callers were answered.
"""

import argparse
import asyncio
import contextlib
import random
import signal
import sys

from tests import test_crowds as kinds
from tests.crowds import Member, answered, open_descriptors, resident_bytes, standing

SEED = 1
WAVES = 3
FD_LIMIT = 4_100
GRACE_S = 8.0


def _member(rng: random.Random, address: str, body_bytes: int) -> Member:
    path = rng.choice(("/plain/x", "/plain/waits"))
    sends = rng.choice(
        (
            lambda: kinds._short_body(body_bytes),
            lambda: kinds._short_body(body_bytes, kinds.BAD_KEY),
            lambda: kinds._chunked_body(64),
            lambda: kinds._whole_body(body_bytes, path),
            lambda: kinds._no_body("/plain/large"),
            lambda: kinds._no_body("/resume/long"),
            kinds._long_head,
            kinds._unfinished_head,
            kinds._nothing,
        )
    )
    return Member(address, sends())


async def _wave(
    site: kinds.Site, rng: random.Random, callers: int, body_bytes: int
) -> bool:
    """Let a crowd stand; returns whether ordinary callers were answered beside it."""
    address = site.gateway.front_address
    members = [_member(rng, address, body_bytes) for _ in range(callers)]
    async with standing(members):
        print("connections stand:", open_descriptors(site.gateway.pid), "descriptors")
        return await answered(site.ask) and await answered(
            lambda: site.ask("/resume/x")
        )


async def _play(callers: int, memory_mb: float, body_mib: int) -> bool:
    rng = random.Random(SEED)
    settings = f"[callers]\nmemoryBytes = {int(memory_mb * 250_000)}\n"
    kinds.SETTINGS = settings + f"descriptors = {FD_LIMIT - 200}\n"
    kinds.BODY_BYTES = body_mib * kinds.MIB
    async with contextlib.AsyncExitStack() as stack:
        site = await stack.enter_async_context(
            kinds._site(FD_LIMIT, kinds.MANY_CONNECTIONS)
        )
        base_bytes = resident_bytes(site.gateway.pid)
        good = []
        for _ in range(WAVES):
            waves = [
                _wave(site, rng, callers // 2, kinds.BODY_BYTES),
                _wave(site, rng, callers - callers // 2, kinds.BODY_BYTES),
            ]
            good += await asyncio.gather(*waves)
            peak_bytes = resident_bytes(site.gateway.pid, "VmHWM")
            print(f"base {base_bytes >> 20} MiB, peak {peak_bytes >> 20} MiB, {good}")
            good.append(peak_bytes < memory_mb * 1_000_000)
        last = asyncio.create_task(_wave(site, rng, callers, kinds.BODY_BYTES))
        await asyncio.sleep(1.0)
        site.gateway.signal(signal.SIGTERM)
        status = await site.gateway.wait_for_exit(GRACE_S)
        print("planned stop beside a crowd: exit status", status)
        good.append(status == 0)
        await site.gateway.start()
        await last
        good.append(await answered(site.ask))
        return all(good)


def main() -> int:
    """Play the crowds; returns 0 if the process held out."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--callers", type=int, default=300)
    parser.add_argument("--memory-mb", type=float, default=300.0)
    parser.add_argument("--bodies-mib", type=int, default=4)
    args = parser.parse_args()
    held = asyncio.run(_play(args.callers, args.memory_mb, args.bodies_mib))
    print("held out" if held else "FAILED")
    return 0 if held else 1


if __name__ == "__main__":
    sys.exit(main())
