"""Routing decisions, without I/O: which entries serve an account, which
replica serves a request, and whether to admit it at all.

Accounts map to entries by rendezvous (highest random weight) hashing over
the live entries, so an account's spend lands on few entries (few grants,
few ledger appends) and a leaving entry moves only its own accounts.

Requests map to the replica with the earliest predicted first token: the
prompt tokens waiting there, plus those of this prompt that its prefix cache
lacks, plus its batch, times how slow it has lately been.
"""

import itertools
from collections.abc import Callable, Iterable, Sequence

import attrs
import mmh3

from celerytrack.ids import Zone
from celerytrack.replica_load import Ask, Load, ReplicaLoad

SHED_THRESHOLDS = (1.0, 0.9, 0.8, 0.7, 0.6, 0.5, 0.5, 0.5, 0.5, 0.5)
"""Share of capacity in use above which a class of priority *p* is refused."""


def rendezvous_weight(key: str, node: str) -> int:
    """The weight of ``node`` for ``key``; the highest one is chosen."""
    return mmh3.hash64(f"{key}\x00{node}", signed=False)[0]


def rendezvous(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """The ``count`` nodes with the highest hash weight for ``key``.

    :param key: what is placed (an account id, a duty's name).
    :param nodes: candidate node ids.
    :returns: up to ``count`` node ids, best first; stable as nodes come and go.
    """
    return sorted(nodes, key=lambda n: rendezvous_weight(key, n), reverse=True)[:count]


@attrs.frozen
class Placement:
    """What the prediction of a first token assumes of a replica.

    :ivar prefill_tokens_per_s: prompt tokens an engine reads a second.
    :ivar batch_s: what a full batch adds to the first token, and what each
        sequence beyond it adds again for waiting.
    :ivar other_zone_s: what another failure domain adds.
    """

    prefill_tokens_per_s: float = attrs.field(
        default=20_000.0, validator=attrs.validators.gt(0)
    )
    batch_s: float = attrs.field(default=0.05, validator=attrs.validators.ge(0))
    other_zone_s: float = attrs.field(default=0.001, validator=attrs.validators.ge(0))


def predict_first_token_s(
    replica: ReplicaLoad, load: Load, ask: Ask, placement: Placement
) -> float:
    """Seconds until ``replica``, under ``load``, gives the first token."""
    tokens = load.prefill_tokens + replica.uncached_tokens(ask)
    over = max(0, load.running + 1 - replica.capacity)
    batch = placement.batch_s * (load.running / max(replica.capacity, 1) + over)
    return replica.slowness * (tokens / placement.prefill_tokens_per_s + batch)


Chooser = Callable[[Sequence[ReplicaLoad], Ask, Zone, float], "ReplicaLoad | None"]
"""The shape of a replica choice: replicas, ask, own zone, now (wall clock);
``None`` means refuse for capacity."""


def make_predictor(placement: Placement = Placement()) -> Chooser:
    """Our choice: the earliest predicted first token among those with room."""

    def choose(
        replicas: Sequence[ReplicaLoad], ask: Ask, zone: Zone, now_s: float
    ) -> ReplicaLoad | None:
        def cost(item: tuple[ReplicaLoad, Load]) -> tuple[float, str]:
            r, load = item
            away = 0.0 if r.zone == zone else placement.other_zone_s
            return predict_first_token_s(r, load, ask, placement) + away, r.replica_id

        open_ = replicas_with_capacity(replicas, ask, now_s)
        return min(open_, key=cost)[0] if open_ else None

    return choose


def replicas_with_capacity(
    replicas: Sequence[ReplicaLoad], ask: Ask, now_s: float
) -> list[tuple[ReplicaLoad, Load]]:
    """The replicas that may take ``ask``, each with its load: the lower the
    class's rank, the sooner a filling replica counts as full, so the most
    urgent is shed last.

    Those ejected after failures are left out, unless there is no other.
    """
    threshold = SHED_THRESHOLDS[min(ask.priority, len(SHED_THRESHOLDS) - 1)]
    open_ = []
    for replica in replicas:
        if replica.model != ask.model or replica.leaving:
            continue
        load = replica.load(now_s)
        if load.running < replica.capacity * threshold:
            open_.append((replica, load))
    return [item for item in open_ if item[0].can_take_request(now_s)] or open_


def make_round_robin() -> Chooser:
    """A baseline: each request to the next replica with room, in turn."""
    turn = itertools.count()

    def choose(
        replicas: Sequence[ReplicaLoad], ask: Ask, zone: Zone, now_s: float
    ) -> ReplicaLoad | None:
        open_ = [r for r, _ in replicas_with_capacity(replicas, ask, now_s)]
        open_.sort(key=lambda r: r.replica_id)
        return open_[next(turn) % len(open_)] if open_ else None

    return choose


def least_loaded(
    replicas: Sequence[ReplicaLoad], ask: Ask, zone: Zone, now_s: float
) -> ReplicaLoad | None:
    """A baseline: the replica with the fewest estimated sequences."""
    open_ = replicas_with_capacity(replicas, ask, now_s)
    if not open_:
        return None
    return min(open_, key=lambda item: (item[1].running, item[0].replica_id))[0]


def make_chooser(policy: str) -> Chooser:
    """The replica choice named ``policy``: ``predicted`` (ours),
    ``round_robin`` or ``least_loaded`` (baselines for benches).

    :raises ValueError: for another name.
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
    """When a caller refused for capacity should come back, in seconds."""
    candidates = [r for r in replicas if r.model == model and not r.leaving]
    if not candidates:
        return 5.0
    busiest = min(r.load(now_s).running / max(r.capacity, 1) for r in candidates)
    return round(min(0.5 + busiest, 5.0), 2)
