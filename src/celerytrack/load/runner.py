"""Open-loop arrivals: requests start on a Poisson clock, whatever the
answers do, bounded in count and in time.
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
    """How much load to send.

    :ivar rate_per_s: mean arrivals a second.
    :ivar duration_s: how long arrivals go on.
    :ivar max_requests: arrivals at most.
    :ivar seed: the random seed, so a run can be repeated.
    :ivar repeats_per_s: how often one marked request is sent beside them, always the
        same, to an entry drawn at random.
    :ivar marker: the text that marks it.
    """

    rate_per_s: float
    duration_s: float
    max_requests: int
    seed: int = 1
    repeats_per_s: float = 0.0
    marker: str = ""


REPEATED = "repeated"
"""The class of work by which reports name the marked request."""


def prompt_for(kind: Kind, rng: random.Random) -> str:
    """A prompt that begins with one of the texts its kind shares.

    Some texts are much more common than others (Zipf, exponent 1).
    """
    if kind.service:
        return ""
    weights = [1 / (i + 1) for i in range(kind.texts)]
    text = rng.choices(range(kind.texts), weights)[0]
    title = f"[{kind.work_class} text {text}] "
    head = (title * (kind.shared_chars // len(title) + 1))[: kind.shared_chars]
    own = rng.getrandbits(64)
    words = f"{own:016x} " * ((kind.prompt_chars - len(head)) // 17 + 1)
    return (head + words)[: kind.prompt_chars]


async def _repeat(
    plan: Plan,
    mix: Mix,
    entries: list[str],
    keys: dict[str, str],
    http: aiohttp.ClientSession,
) -> list[Result]:
    """Send the marked request again and again; what each time came of it."""
    if not plan.repeats_per_s:
        return []
    rng = random.Random(plan.seed + 1)
    kind = next(kind for kind in mix.kinds if not kind.service)
    account = next(iter(keys))
    ends_s = time.monotonic() + plan.duration_s
    tasks: list[asyncio.Task[Result]] = []
    while time.monotonic() < ends_s and len(tasks) < plan.max_requests:
        caller = Caller(entries, keys, http)
        caller.routes[account] = (ends_s, [rng.choice(entries)])
        sending = caller.send(
            kind.work_class, account, plan.marker, kind.max_tokens, False
        )
        tasks.append(asyncio.create_task(sending))
        await asyncio.sleep(rng.expovariate(plan.repeats_per_s))
    results = await asyncio.gather(*tasks)
    return [attrs.evolve(result, work_class=REPEATED) for result in results]


async def run_plan(
    plan: Plan, mix: Mix, entries: list[str], keys: dict[str, str]
) -> list[Result]:
    """Send ``plan``'s arrivals through ``entries``; every request's result."""
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
