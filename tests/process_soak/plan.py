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

CUTS = ("entry_cut", "entry_cut_log", "entry_cut_peers")
"""Cut entries off from the log and from the others, or from one of the two."""
RELEASE = "release"
OUT_OF_STEP = (*CUTS, RELEASE, "odd_records")
COMPANIONS = (*CUTS, "entry_cut", "entry_cut", "entry_pause")
"""What happens to entries while a release begins: mostly a whole cut."""
FIRST_RELEASE_S = 4.2
"""Longer than entries take after their start to know that there is one version."""


@attrs.frozen
class Fault:
    """One fault.

    :ivar kind: ``endpoint_upgrade`` kills an endpoint, which comes back as a new
        version; ``restart_over_pause`` one that starts again while entries are paused.
    :ivar target: number of the entry or endpoint.
    :ivar for_s: how long it lasts; a killed process starts again after it, and the old
        endpoints of a release leave.
    :ivar count: of entries or endpoints, from ``target`` on.
    """

    at_s: float
    kind: str
    target: int
    for_s: float
    count: int = 1

    def targets(self, among: int) -> list[int]:
        """The numbers of the entries or endpoints."""
        return [(self.target + step) % among for step in range(self.count)]


def make_plan(
    seed: int, seconds: float, entries: int, endpoints: int, names: tuple[str, ...]
) -> list[Fault]:
    """Series of faults that overlap, in the order of their times."""
    rng = random.Random(f"plan {seed}")
    plan = []
    for name in names:
        if name == RELEASE:
            plan += _releases(seed, seconds, entries, endpoints, names)
            continue
        count = entries if name.startswith("entry") else endpoints
        at_s = rng.uniform(0.3, 3.0)
        while at_s < seconds - 1.0:
            target = rng.randrange(count)
            for_s = rng.uniform(0.1, 1.5)
            size = _cut_size(rng, entries) if name in CUTS else 1
            plan.append(Fault(at_s, name, target, for_s, size))
            at_s += rng.expovariate(1 / 2.5) + 0.2
    return sorted(plan, key=lambda fault: fault.at_s)


def _cut_size(rng: random.Random, entries: int) -> int:
    """How many entries are cut off together: never all."""
    return rng.randint(1, max(1, entries // 2))


def _releases(
    seed: int, seconds: float, entries: int, endpoints: int, names: tuple[str, ...]
) -> list[Fault]:
    """Releases, each with entries that are out of step as it begins."""
    rng = random.Random(f"releases {seed}")
    companions = [name for name in COMPANIONS if name in names]
    plan = []
    at_s = rng.uniform(FIRST_RELEASE_S, FIRST_RELEASE_S + 1.0)
    while at_s < seconds - 1.0:
        count = rng.randint(1, max(1, endpoints // 2))
        target = rng.randrange(endpoints)
        plan.append(Fault(at_s, RELEASE, target, rng.uniform(0.3, 3.0), count))
        if companions:
            name = rng.choice(companions)
            size = _cut_size(rng, entries) if name in CUTS else 1
            begin_s = at_s - rng.uniform(-0.1, 0.7)
            for_s = rng.uniform(0.8, 4.0)
            plan.append(Fault(begin_s, name, rng.randrange(entries), for_s, size))
        at_s += rng.uniform(1.5, 4.0)
    return plan
