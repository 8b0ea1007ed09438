"""The plan of faults from outside that one seed gives."""

import random

import attrs

FAULTS = (
    "endpoint_kill",
    "endpoint_term",
    "endpoint_pause",
    "endpoint_upgrade",
    "restart_over_pause",
    "entry_kill",
    "entry_term",
    "entry_pause",
    "reset",
    "cut_to_endpoint",
    "cut_to_entry",
)


@attrs.frozen
class Fault:
    """One fault.

    :ivar kind: ``endpoint_upgrade`` kills an endpoint, which comes back as a new
        version; ``restart_over_pause`` one that starts again while entries are paused.
    :ivar target: number of the entry or endpoint.
    :ivar for_s: how long it lasts; a killed process starts again after it.
    """

    at_s: float
    kind: str
    target: int
    for_s: float


def make_plan(
    seed: int, seconds: float, entries: int, endpoints: int, names: tuple[str, ...]
) -> list[Fault]:
    """Series of faults that overlap, in the order of their times."""
    rng = random.Random(f"plan {seed}")
    plan = []
    for name in names:
        count = entries if name.startswith("entry") else endpoints
        at_s = rng.uniform(0.3, 3.0)
        while at_s < seconds - 1.0:
            target = rng.randrange(count)
            for_s = rng.uniform(0.1, 1.5)
            plan.append(Fault(at_s, name, target, for_s))
            at_s += rng.expovariate(1 / 2.5) + 0.2
    return sorted(plan, key=lambda fault: fault.at_s)
