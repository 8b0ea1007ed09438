"""Routing decisions, without I/O: which entries serve an account, which
replica serves a request, and whether to admit it at all.

Accounts map to entries by rendezvous (highest random weight) hashing over
the live entries, so an account's spend lands on few entries (few grants,
few ledger appends) and a leaving entry moves only its own accounts.

Requests map to replicas by a score: the replica's estimated queue, corrected
for what this entry sent since the replica's last (lagging) load report, plus
a penalty where the replica is not the prompt prefix's home (its cache is
likely cold) and where it sits in another failure domain.
"""

import itertools
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import attrs
import mmh3

from celerytrack.ids import ReplicaId, Zone

_PREFIX_CHARS = 256
"""How much of a prompt makes its prefix for cache affinity."""

_MAX_SENDS = 4096

SHED_THRESHOLDS = (1.0, 0.9, 0.8, 0.7, 0.6, 0.5, 0.5, 0.5, 0.5, 0.5)
"""Share of capacity in use above which a class of priority *p* is refused."""


def _weight(key: str, node: str) -> int:
    return mmh3.hash64(f"{key}\x00{node}", signed=False)[0]


def rendezvous(key: str, nodes: Iterable[str], count: int) -> list[str]:
    """The ``count`` nodes with the highest hash weight for ``key``.

    :param key: what is placed (an account id, a prompt prefix hash).
    :param nodes: candidate node ids.
    :returns: up to ``count`` node ids, best first; stable as nodes come and go.
    """
    return sorted(nodes, key=lambda n: _weight(key, n), reverse=True)[:count]


def prefix_key(prompt: str) -> str:
    """The cache-affinity key of a prompt: a hash of its first characters."""
    return format(mmh3.hash64(prompt[:_PREFIX_CHARS], signed=False)[0], "x")


@attrs.define
class ReplicaLoad:
    """What one entry knows of a replica's load.

    Load reports lag; the estimate adds what this entry sent after the
    moment a report describes, so a burst is not all sent to the replica
    that looked idle a moment ago.

    :ivar reported_running: sequences running or queued, per the last report.
    :ivar reported_at_s: the time (wall clock, seconds) the report describes.
    :ivar sends_s: when this entry sent requests after that report.
    :ivar in_flight: this entry's requests now running there.
    :ivar capacity: sequences the replica batches at once.
    """

    replica_id: ReplicaId
    zone: Zone
    model: str
    capacity: int = 16
    reported_running: int = 0
    reported_at_s: float = 0.0
    sends_s: deque[float] = attrs.field(factory=lambda: deque(maxlen=_MAX_SENDS))
    in_flight: int = 0
    leaving: bool = False

    def estimate(self) -> int:
        """Estimated sequences running now, report lag corrected."""
        return max(self.reported_running + len(self.sends_s), self.in_flight)

    def report(self, running: int, at_s: float) -> None:
        """Take a load report describing ``at_s``; older ones are ignored."""
        if at_s < self.reported_at_s:
            return
        self.reported_running = running
        self.reported_at_s = at_s
        while self.sends_s and self.sends_s[0] <= at_s:
            self.sends_s.popleft()

    def sent(self, now_s: float) -> None:
        """Count a request this entry sent at ``now_s`` (wall clock)."""
        self.sends_s.append(now_s)
        self.in_flight += 1

    def finished(self) -> None:
        """Count a request of this entry's that finished."""
        self.in_flight = max(self.in_flight - 1, 0)


@attrs.frozen
class Placement:
    """Knobs of the replica score, in units of queued sequences."""

    cold_cache_penalty: float = 2.0
    other_zone_penalty: float = 0.5


def choose_replica(
    replicas: Sequence[ReplicaLoad],
    model: str,
    prompt: str,
    zone: Zone,
    priority: int,
    placement: Placement = Placement(),
) -> ReplicaLoad | None:
    """The replica to send a request to, or ``None`` to refuse for capacity.

    :param replicas: what this entry knows of each replica.
    :param model: the model or service the class needs.
    :param prompt: the request's prompt (for cache affinity); may be empty.
    :param zone: this entry's failure domain.
    :param priority: the class priority; lower numbers are shed last.
    """
    open_ = _open(replicas, model, priority)
    if not open_:
        return None
    home = rendezvous(prefix_key(prompt), [r.replica_id for r in open_], 1)[0]

    def score(r: ReplicaLoad) -> float:
        cold = (
            0.0
            if (r.replica_id == home or not prompt)
            else placement.cold_cache_penalty
        )
        away = 0.0 if r.zone == zone else placement.other_zone_penalty
        return r.estimate() + cold + away

    return min(open_, key=lambda r: (score(r), r.replica_id))


Chooser = Callable[[Sequence[ReplicaLoad], str, str, Zone, int], "ReplicaLoad | None"]
"""The shape of a replica choice: replicas, model, prompt, zone, priority."""


def _open(
    replicas: Sequence[ReplicaLoad], model: str, priority: int
) -> list[ReplicaLoad]:
    threshold = SHED_THRESHOLDS[min(priority, len(SHED_THRESHOLDS) - 1)]
    return [
        r
        for r in replicas
        if r.model == model and not r.leaving and r.estimate() < r.capacity * threshold
    ]


def make_round_robin() -> Chooser:
    """A baseline: each request to the next replica with room, in turn."""
    turn = itertools.count()

    def choose(
        replicas: Sequence[ReplicaLoad],
        model: str,
        prompt: str,
        zone: Zone,
        priority: int,
    ) -> ReplicaLoad | None:
        open_ = sorted(_open(replicas, model, priority), key=lambda r: r.replica_id)
        return open_[next(turn) % len(open_)] if open_ else None

    return choose


def least_loaded(
    replicas: Sequence[ReplicaLoad], model: str, prompt: str, zone: Zone, priority: int
) -> ReplicaLoad | None:
    """A baseline: the replica with the fewest estimated sequences."""
    open_ = _open(replicas, model, priority)
    return min(open_, key=lambda r: (r.estimate(), r.replica_id)) if open_ else None


def make_chooser(policy: str) -> Chooser:
    """The replica choice named ``policy``: ``score`` (ours), ``round_robin``
    or ``least_loaded`` (baselines for benches).

    :raises ValueError: for another name.
    """
    if policy == "score":
        return choose_replica
    if policy == "round_robin":
        return make_round_robin()
    if policy == "least_loaded":
        return least_loaded
    raise ValueError(f"unknown placement policy {policy!r}")


def retry_after_s(replicas: Sequence[ReplicaLoad], model: str) -> float:
    """When a caller refused for capacity should come back, in seconds."""
    candidates = [r for r in replicas if r.model == model and not r.leaving]
    if not candidates:
        return 5.0
    busiest = min(r.estimate() / max(r.capacity, 1) for r in candidates)
    return round(min(0.5 + busiest, 5.0), 2)
