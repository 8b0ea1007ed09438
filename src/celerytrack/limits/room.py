"""The room of a brittle endpoint, learned from what became of its leases. Without I/O.

Such an endpoint names no room, only the rejections a second after which it falls over,
and its room shrinks without a word. The owner of the endpoint, which grants the leases
of all entries, bounds two numbers:

- the leases whose requests may still be rejected, together with the rejections of the
  last second. This bound holds whatever the room is, also for an owner that knows
  nothing yet.
- the leases in progress, from the first rejection on, by a limit that falls to what was
  in progress at a rejection, and grows by one while all of it is in use.
"""

import collections
import enum
import math
from collections.abc import Collection

import attrs

from celerytrack.ids import EndpointId

LeaseKey = tuple[str, int]
"""Peer address of the entry that asked for a lease, and the nonce of its request."""

REJECTIONS_S = 1.0
"""Time over which an endpoint counts its rejections."""
REPORT_LAG_S = 0.1
"""Time that a rejection may be older or newer than its report."""
IN_DOUBT_S = 0.25
"""Time after which a lease whose request was not rejected counts as accepted: an
endpoint without room rejects at once."""
GROWTH_COST_S = 8.0
"""Time between two attempts to grow, times the rejections that may be in doubt: each
failed attempt takes one of them for a second."""
MAX_GROWTH_DOUBLINGS = 2
MIN_PAUSE_S = 0.25
MAX_PAUSE_DOUBLINGS = 3
"""Pause after a rejection while nothing else was in progress, and how often it
doubles."""
UNREPORTED_RUNS = 3.0
MIN_UNREPORTED_S = 1.0
MAX_UNREPORTED_S = 10.0
"""How long a lease counts as in progress while its end is not reported: so many times
the longest run of late."""
LONGEST_RUN_KEPT = 0.99
"""Share of the longest run that is left after each shorter one."""
STANDBY_SHARE = 1 / 3
"""Share of the rejections an endpoint bears that is kept for the leases of a standby or
a new owner: another entry may still take itself for the owner."""
MIN_STEP_S = 0.001
"""Shortest time until something changes: by the rounding of times it could be none."""
USUAL_RUN_S = 0.1
"""Time of a request while none has been measured."""
RUN_WEIGHT = 0.1
"""Weight of the newest request in the mean time of a request."""
KEPT_S = 60.0
"""How long a room is kept for an endpoint that has fallen over, or that says no more
that it is brittle."""


def standby_in_doubt(bears_per_s: float) -> int:
    """Leases in doubt that a standby or a new owner may grant.

    :param bears_per_s: rejections a second that the endpoint bears.
    """
    borne = math.floor(bears_per_s)
    return max(math.floor(STANDBY_SHARE * borne), int(borne >= 2))


def owner_in_doubt(bears_per_s: float, has_standby: bool) -> int:
    """Leases in doubt that the owner may grant.

    An endpoint that bears no rejection gets one request at a time all the same.
    """
    kept = standby_in_doubt(bears_per_s) if has_standby else 0
    return max(1, math.floor(bears_per_s) - kept)


class LeaseOutcome(enum.Enum):
    """What became of the request of a lease."""

    RAN = "ran"
    FAILED = "failed"
    """It was rejected, or its connection broke."""
    ABANDONED = "abandoned"
    """Its time ran out, or its caller left."""


@attrs.define
class _OpenLease:
    """A lease in progress.

    :ivar level: leases in progress when it was granted, this one included.
    :ivar in_doubt: whether its request may still be rejected.
    """

    granted_at_s: float
    level: int
    in_doubt: bool = True


class LearnedRoom:
    """The leases in progress at one brittle endpoint, and what it has room for.

    :ivar max_in_doubt: bound of leases in doubt and recent rejections together.
    :ivar limit: most leases in progress; ``None`` until the first rejection.
    """

    def __init__(self) -> None:
        self.max_in_doubt = 1
        self.limit: int | None = None
        self._leases: dict[LeaseKey, _OpenLease] = {}
        self._rejected_at_s: collections.deque[float] = collections.deque()
        self._used_at_s = -math.inf
        self._grows_at_s = -math.inf
        self._growth_doublings = 0
        self._paused_until_s = -math.inf
        self._pause_doublings = 0
        self._mean_run_s = USUAL_RUN_S
        self._longest_run_s = 0.0
        # When the leases were granted whose end was not reported in time.
        self._dropped: dict[LeaseKey, float] = {}

    @property
    def in_progress(self) -> int:
        """Leases in progress."""
        return len(self._leases)

    @property
    def _unreported_s(self) -> float:
        """How long a lease counts as in progress while its end is not reported."""
        if self._longest_run_s <= 0.0:
            return MAX_UNREPORTED_S
        return min(
            max(MIN_UNREPORTED_S, UNREPORTED_RUNS * self._longest_run_s),
            MAX_UNREPORTED_S,
        )

    def in_doubt(self, now_s: float) -> int:
        """Leases whose requests may still be rejected."""
        self._expire(now_s)
        return sum(lease.in_doubt for lease in self._leases.values())

    def rejections(self, now_s: float) -> int:
        """Rejections that the endpoint may still count."""
        self._expire(now_s)
        return len(self._rejected_at_s)

    def spare(self, now_s: float) -> int:
        """Leases that may be granted at once as far as rejections go."""
        used = self.in_doubt(now_s) + self.rejections(now_s)
        return max(0, self.max_in_doubt - used)

    def take_over(self, spare: int, now_s: float) -> None:
        """Count what the previous owner has in doubt, of which ``spare`` was left."""
        for _ in range(self.max_in_doubt - spare):
            self._rejected_at_s.append(now_s)

    def has_room(self, now_s: float) -> bool:
        """Whether a lease may be granted now."""
        return self.opens_in_s(now_s) <= 0.0

    def opens_in_s(self, now_s: float) -> float:
        """Time until a lease may be granted, if no lease ends before."""
        self._expire(now_s)
        paused_s = max(0.0, self._paused_until_s - now_s)
        if self._is_full(self.in_progress):
            full_s = self._first_lease_s(self._unreported_s, now_s)
        elif self.max_in_doubt <= 0:
            full_s = REJECTIONS_S
        elif self.in_doubt(now_s) + len(self._rejected_at_s) < self.max_in_doubt:
            return paused_s
        else:
            full_s = min(
                self._first_rejection_s(now_s), self._first_lease_s(IN_DOUBT_S, now_s)
            )
        return max(paused_s, full_s, MIN_STEP_S)

    def expected_wait_s(self, ahead: int, now_s: float) -> float:
        """Time until a lease is expected.

        :param ahead: requests that are served before.
        """
        opens_in_s = self.opens_in_s(now_s)
        if self.limit is None:
            return opens_in_s
        queued = ahead + max(0, self.in_progress + 1 - self.limit)
        run_s = queued * self._mean_run_s / self.limit
        return run_s if self._is_full(self.in_progress) else max(run_s, opens_in_s)

    def record_grant(self, key: LeaseKey, now_s: float) -> None:
        """Count a lease that was granted."""
        self._used_at_s = now_s
        self._leases[key] = _OpenLease(now_s, self.in_progress + 1)

    def record_end(self, key: LeaseKey, outcome: LeaseOutcome, now_s: float) -> None:
        """Count the end of a lease."""
        lease = self._leases.pop(key, None)
        granted_at_s = lease.granted_at_s if lease else self._dropped.pop(key, None)
        if granted_at_s is None or outcome is LeaseOutcome.FAILED:
            return
        self._record_run(now_s - granted_at_s)
        if lease is None:
            return
        if outcome is LeaseOutcome.ABANDONED:
            if self._is_full(lease.level):
                self._shrink(lease.level - 1, now_s)
            return
        self._pause_doublings = 0
        self._record_accepted(lease, now_s)

    def record_rejection(self, now_s: float) -> None:
        """Count a request that the endpoint rejected, whoever sent it."""
        self._used_at_s = now_s
        self._rejected_at_s.append(now_s)
        others = max(0, self.in_progress - 1)
        if others == 0:
            pause_s = MIN_PAUSE_S * 2.0**self._pause_doublings
            self._paused_until_s = now_s + pause_s
            self._pause_doublings = min(self._pause_doublings + 1, MAX_PAUSE_DOUBLINGS)
        self._shrink(others, now_s)

    def _record_run(self, run_s: float) -> None:
        """Learn how long requests run, also from reports that come late."""
        self._mean_run_s += RUN_WEIGHT * (run_s - self._mean_run_s)
        self._longest_run_s = max(run_s, LONGEST_RUN_KEPT * self._longest_run_s)

    def _is_full(self, level: int) -> bool:
        """Whether so many leases are as many as may be in progress."""
        return self.limit is not None and level >= self.limit

    def _record_accepted(self, lease: _OpenLease, now_s: float) -> None:
        """Record that the endpoint had room for a request."""
        if not lease.in_doubt:
            return
        lease.in_doubt = False
        # What was not in use says nothing of the room.
        if self._is_full(lease.level) and now_s >= self._grows_at_s:
            self.limit = lease.level + 1
            self._growth_doublings = max(0, self._growth_doublings - 1)

    def _shrink(self, limit: int, now_s: float) -> None:
        """Lower the limit, and keep it for a time."""
        self.limit = max(1, limit if self.limit is None else min(self.limit, limit))
        cost_s = GROWTH_COST_S / max(1, self.max_in_doubt)
        self._grows_at_s = now_s + cost_s * 2.0**self._growth_doublings
        self._growth_doublings = min(self._growth_doublings + 1, MAX_GROWTH_DOUBLINGS)

    def drop_before(self, sender: str, nonce: int) -> None:
        """Drop the leases of an entry that end unheard: its oldest one is ``nonce``."""
        for key in [k for k in self._leases if k[0] == sender and k[1] < nonce]:
            del self._leases[key]

    def keep_senders(self, senders: Collection[str]) -> None:
        """Drop the leases of entries that are gone."""
        for key in [k for k in self._leases if k[0] not in senders]:
            del self._leases[key]

    def drop_accepted(self, sender: str, now_s: float) -> None:
        """Drop the leases of an entry that has restarted; those still in doubt are of
        its new incarnation."""
        self._expire(now_s)
        for key, lease in list(self._leases.items()):
            if key[0] == sender and not lease.in_doubt:
                del self._leases[key]

    def is_unused(self, now_s: float) -> bool:
        """Whether nothing was granted or rejected for a long time."""
        return now_s - self._used_at_s > KEPT_S

    def _first_rejection_s(self, now_s: float) -> float:
        """Time until the endpoint no longer counts the first of its rejections."""
        if not self._rejected_at_s:
            return math.inf
        return self._rejected_at_s[0] + REJECTIONS_S + REPORT_LAG_S - now_s

    def _first_lease_s(self, lasts_s: float, now_s: float) -> float:
        """Time until the first of the leases younger than ``lasts_s`` is as old."""
        left_s = (
            lease.granted_at_s + lasts_s - now_s for lease in self._leases.values()
        )
        return min((s for s in left_s if s > 0), default=math.inf)

    def _expire(self, now_s: float) -> None:
        counted_s = REJECTIONS_S + REPORT_LAG_S
        while self._rejected_at_s and now_s - self._rejected_at_s[0] >= counted_s:
            self._rejected_at_s.popleft()
        for key, lease in list(self._leases.items()):
            age_s = now_s - lease.granted_at_s
            if age_s >= IN_DOUBT_S:
                self._record_accepted(lease, now_s)
            if age_s >= self._unreported_s:
                del self._leases[key]
                self._dropped[key] = lease.granted_at_s
        for key, granted_at_s in list(self._dropped.items()):
            if now_s - granted_at_s >= MAX_UNREPORTED_S:
                del self._dropped[key]


class LearnedRooms:
    """The rooms of the brittle endpoints that this entry grants leases for."""

    def __init__(self) -> None:
        self._known: dict[EndpointId, LearnedRoom] = {}

    def get(self, endpoint_id: EndpointId) -> LearnedRoom:
        """The room of an endpoint, also from before it fell over."""
        return self._known.setdefault(endpoint_id, LearnedRoom())

    def keep_senders(self, senders: Collection[str]) -> None:
        """Drop the leases of entries that are gone."""
        for room in self._known.values():
            room.keep_senders(senders)

    def drop_accepted(self, sender: str, now_s: float) -> None:
        """Drop the accepted leases of an entry that has restarted."""
        for room in self._known.values():
            room.drop_accepted(sender, now_s)

    def expire(self, now_s: float) -> None:
        """Forget the rooms that are no longer used."""
        unused = [i for i, room in self._known.items() if room.is_unused(now_s)]
        for endpoint_id in unused:
            del self._known[endpoint_id]
