"""Routing decisions of the own interface, without I/O: which replica serves a request,
and whether to admit it at all.

Requests map to the replica with the earliest predicted first token. The
prediction is the sum of two times, multiplied by the replica's recent slowness:
the time to prefill the prompt tokens pending there and those of this prompt that
its prefix cache lacks, and the delay that its batch adds.
"""

import itertools
from collections.abc import Callable, Sequence

import attrs

from celerytrack.ids import Zone
from celerytrack.routing.replica_load import Ask, Load, ReplicaLoad

SHED_THRESHOLDS = (1.0, 0.9, 0.8, 0.7, 0.6, 0.5, 0.5, 0.5, 0.5, 0.5)
"""Share of capacity in use from which a class is refused, indexed by priority."""


@attrs.frozen
class Placement:
    """Parameters of the first-token prediction.

    :ivar prefill_tokens_per_s: prefill rate of an engine.
    :ivar batch_s: delay that a full batch adds to the first token; each
        sequence queued beyond a full batch adds the same again.
    :ivar other_zone_s: delay added for a replica in another failure domain.
    """

    prefill_tokens_per_s: float = attrs.field(
        default=20_000.0, validator=attrs.validators.gt(0)
    )
    batch_s: float = attrs.field(default=0.05, validator=attrs.validators.ge(0))
    other_zone_s: float = attrs.field(default=0.001, validator=attrs.validators.ge(0))


def predict_first_token_s(
    replica: ReplicaLoad, load: Load, ask: Ask, placement: Placement
) -> float:
    """Predicted seconds until ``replica``, under ``load``, emits the first token."""
    tokens = load.prefill_tokens + replica.uncached_tokens(ask)
    queued = max(0, load.running + 1 - replica.capacity)
    batch = placement.batch_s * (load.running / max(replica.capacity, 1) + queued)
    return replica.slowness * (tokens / placement.prefill_tokens_per_s + batch)


Chooser = Callable[[Sequence[ReplicaLoad], Ask, Zone, float], "ReplicaLoad | None"]
"""Chooses a replica from the replicas, the ask, the entry's own failure domain and the
wall-clock time; ``None`` means that the request is refused for lack of capacity."""


def make_predictor(placement: Placement = Placement()) -> Chooser:
    """Make the production policy: the earliest predicted first token among the
    replicas with capacity."""

    def choose(
        replicas: Sequence[ReplicaLoad], ask: Ask, zone: Zone, now_s: float
    ) -> ReplicaLoad | None:
        def cost(item: tuple[ReplicaLoad, Load]) -> tuple[float, str]:
            r, load = item
            zone_s = 0.0 if r.zone == zone else placement.other_zone_s
            return predict_first_token_s(r, load, ask, placement) + zone_s, r.replica_id

        available = replicas_with_capacity(replicas, ask, now_s)
        return min(available, key=cost)[0] if available else None

    return choose


def replicas_with_capacity(
    replicas: Sequence[ReplicaLoad], ask: Ask, now_s: float
) -> list[tuple[ReplicaLoad, Load]]:
    """The replicas that may take ``ask``, each with its load.

    The less urgent the class, the lower the load at which a replica counts as
    full, so the most urgent class is shed last. Replicas ejected after failures
    are left out unless there is no other.
    """
    threshold = SHED_THRESHOLDS[min(ask.priority, len(SHED_THRESHOLDS) - 1)]
    available = []
    for replica in replicas:
        if not ask.fits(replica) or replica.leaving:
            continue
        load = replica.load(now_s)
        if load.running < replica.capacity * threshold:
            available.append((replica, load))
    return [item for item in available if item[0].can_take_request(now_s)] or available


def make_round_robin() -> Chooser:
    """Make a baseline: each request goes to the next replica with capacity."""
    counter = itertools.count()

    def choose(
        replicas: Sequence[ReplicaLoad], ask: Ask, zone: Zone, now_s: float
    ) -> ReplicaLoad | None:
        available = [r for r, _ in replicas_with_capacity(replicas, ask, now_s)]
        available.sort(key=lambda r: r.replica_id)
        return available[next(counter) % len(available)] if available else None

    return choose


def least_loaded(
    replicas: Sequence[ReplicaLoad], ask: Ask, zone: Zone, now_s: float
) -> ReplicaLoad | None:
    """A baseline: the replica with the fewest estimated sequences."""
    available = replicas_with_capacity(replicas, ask, now_s)
    if not available:
        return None
    return min(available, key=lambda item: (item[1].running, item[0].replica_id))[0]


def make_chooser(policy: str) -> Chooser:
    """The replica choice named ``policy``: ``predicted`` (production),
    ``round_robin`` or ``least_loaded`` (baselines for benchmarks).

    :raises ValueError: for any other name.
    """
    match policy:
        case "predicted":
            return make_predictor()
        case "round_robin":
            return make_round_robin()
        case "least_loaded":
            return least_loaded
    raise ValueError(f"unknown placement policy {policy!r}")


def retry_after_s(replicas: Sequence[ReplicaLoad], model: str, now_s: float) -> float:
    """Seconds after which a caller refused for lack of capacity should retry."""
    candidates = [r for r in replicas if r.model == model and not r.leaving]
    if not candidates:
        return 5.0
    lowest_load = min(r.load(now_s).running / max(r.capacity, 1) for r in candidates)
    return round(min(0.5 + lowest_load, 5.0), 2)
