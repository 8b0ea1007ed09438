"""Open-loop arrivals: requests start in a Poisson process that does not wait for
answers, limited in number and time.
"""

import asyncio
import random
import time

import aiohttp
import attrs

from celerytrack.load.caller import Caller, Outcome, Result
from celerytrack.load.mix import Kind, Mix


@attrs.frozen
class Plan:
    """The load of one run.

    :ivar rate_per_s: mean arrivals per second.
    :ivar duration_s: time during which requests arrive.
    :ivar max_requests: limit of arrivals, and also of repeats of the marked request.
    :ivar seed: random seed, so that a run can be repeated.
    :ivar repeats_per_s: rate at which one marked request is repeated in addition, each
        time to an entry drawn at random.
    :ivar marker: prompt of the marked request.
    :ivar by_part: whether the marker is a message before the prompt, so that no two
        marked requests are alike.
    """

    rate_per_s: float
    duration_s: float
    max_requests: int
    seed: int = 1
    repeats_per_s: float = 0.0
    marker: str = ""
    by_part: bool = False


REPEATED = "repeated"
"""Work class under which reports count the marked request."""


def prompt_for(kind: Kind, rng: random.Random) -> str:
    """Return a prompt that begins with one of the shared texts of its kind.

    The texts follow a Zipf distribution with exponent 1.
    """
    if kind.service:
        return ""
    weights = [1 / (i + 1) for i in range(kind.texts)]
    text = rng.choices(range(kind.texts), weights)[0]
    title = f"[{kind.work_class} text {text}] "
    shared = (title * (kind.shared_chars // len(title) + 1))[: kind.shared_chars]
    nonce = rng.getrandbits(64)
    unique = f"{nonce:016x} " * ((kind.prompt_chars - len(shared)) // 17 + 1)
    return (shared + unique)[: kind.prompt_chars]


async def _repeat(
    plan: Plan,
    mix: Mix,
    entries: list[str],
    keys: dict[str, str],
    http: aiohttp.ClientSession,
) -> list[Result]:
    """Send the marked request repeatedly; return the result of each time."""
    if not plan.repeats_per_s:
        return []
    rng = random.Random(plan.seed + 1)
    kind = next(kind for kind in mix.kinds if not kind.service)
    account = next(iter(keys))
    end_s = time.monotonic() + plan.duration_s
    tasks: list[asyncio.Task[Result]] = []
    while time.monotonic() < end_s and len(tasks) < plan.max_requests:
        caller = Caller(entries, keys, http)
        caller.routes[account] = (end_s, [rng.choice(entries)])
        before = (plan.marker,) if plan.by_part else ()
        prompt = f"prompt {rng.getrandbits(64):016x}" if plan.by_part else plan.marker
        request = caller.send(
            kind.work_class, account, prompt, kind.max_tokens, False, before=before
        )
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(rng.expovariate(plan.repeats_per_s))
    results = await asyncio.gather(*tasks)
    return [attrs.evolve(result, work_class=REPEATED) for result in results]


async def run_plan(
    plan: Plan, mix: Mix, entries: list[str], keys: dict[str, str]
) -> list[Result]:
    """Send the plan's requests through ``entries``; return all results."""
    rng = random.Random(plan.seed)
    accounts = list(keys)
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=60.0)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
        caller = Caller(entries, keys, http)
        tasks: list[asyncio.Task[Result]] = []
        repeated = asyncio.create_task(_repeat(plan, mix, entries, keys, http))
        started = time.monotonic()
        next_at = started
        while len(tasks) < plan.max_requests:
            next_at += rng.expovariate(plan.rate_per_s)
            if next_at - started > plan.duration_s:
                break
            await asyncio.sleep(max(0.0, next_at - time.monotonic()))
            kind, account = mix.draw(rng, accounts)
            prompt = prompt_for(kind, rng)
            tasks.append(
                asyncio.create_task(
                    caller.send(
                        kind.work_class,
                        account,
                        prompt,
                        kind.max_tokens,
                        kind.service,
                        key=f"{plan.seed}-{len(tasks)}",
                    )
                )
            )
        results = list(await asyncio.gather(*tasks, return_exceptions=True))
        results += await repeated
    return [
        r if isinstance(r, Result) else Result("?", "?", Outcome.FAILED, reason=repr(r))
        for r in results
    ]
