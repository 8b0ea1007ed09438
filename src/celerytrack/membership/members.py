"""Membership of the fleet and the addresses given to callers, without I/O.

Each entry renews its :class:`Member` row as a heartbeat
(:mod:`celerytrack.membership.row_rate`).
An entry that misses some heartbeats is left out of address answers, but only while this
entry can read the log. While the log is unreachable no row is renewed, and the last
view stays valid.
"""

import collections
import math
import random
import statistics
from collections.abc import Iterator

import attrs

from celerytrack.ids import EntryId, Zone
from celerytrack.membership.link_capacity import min_caller_link_mbps
from celerytrack.membership.member import Member, MemberState, is_older_row
from celerytrack.membership.row_rate import heartbeat_interval_s

MISSED_HEARTBEATS = 3.5
"""Heartbeat intervals after which an entry counts as silent: one row may be lost and
the next may be late."""
MIN_SILENCE_S = 3.5
"""Shortest time without a row after which an entry counts as silent. An instance that
has used up its CPU quota, or is throttled, still serves callers between late rows."""
ADDRESS_TTL_S = 1.0
"""How long callers cache an address answer. A leaving entry is out of the answers
within one second and out of the callers' caches one second later; three seconds later
for callers that cache answers three times as long."""
MAX_ADDRESSES = 64
"""Most addresses in one answer."""
BUSY_SHARE = 0.1
"""An entry whose spending rate exceeds this share of the mean rate of the advertised
entries has callers, even if its address is not advertised: the callers of a large
account may stay with one entry."""
SPLIT_CACHE_S = 0.05
"""How long a :class:`CallerSplit` is cached. Rows arrive no faster, and in a fleet of
hundreds of entries each request would otherwise scan every row."""


@attrs.frozen
class CallerSplit:
    """How the callers are divided among the entries.

    :ivar entries: number of live entries, including this one.
    :ivar caller_peers: the other live entries that serve callers.
    :ivar has_callers: whether this entry serves callers.
    :ivar fleet_load_ratio: estimated ratio of the fleet's load to the load of this
        entry: ``caller_entries``, or less for an entry with more than an equal share of
        the load.
    """

    entries: int
    caller_peers: "tuple[Member, ...]"
    has_callers: bool
    fleet_load_ratio: float

    @property
    def caller_entries(self) -> int:
        """Number of entries that serve callers, counting this one."""
        return len(self.caller_peers) + 1

    @property
    def rate_limit_shares(self) -> int:
        """Number of equal shares into which fleet-wide limits are divided, such as rows
        per second and retries."""
        return self.caller_entries if self.has_callers else self.entries

    @property
    def account_shares(self) -> float:
        """Number of equal shares into which an account's tokens are divided until it is
        known which entries spend them.

        An entry without callers gets no share: tokens held by hundreds of such entries
        could not be spent, and a power loss would lose them.
        """
        return self.caller_entries if self.has_callers else math.inf


MIN_CLOCK_PEERS = 2
"""Smallest number of other entries for a comparison of clocks."""


def _silence_limit_s(entries: int) -> float:
    return max(MIN_SILENCE_S, heartbeat_interval_s(entries) * MISSED_HEARTBEATS)


CLOCK_SAMPLES = 3
"""Last rows of an entry, of which the one with the shortest delay is used to compare
clocks. The first row is read at the start and may be old; a row that lands as an outage
ends may have been made seconds before."""


@attrs.define
class _KnownEntry:
    """The newest row of an entry, when it was read, and the delays of its last rows.

    :ivar delays_s: this entry's monotonic clock at the read minus the other entry's
        wall clock when the row was made.
    """

    member: Member
    read_at_s: float
    delays_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=CLOCK_SAMPLES)
    )


class MembershipView:
    """The entries of the fleet, as this entry knows them.

    :param entry_id: this entry.
    :param link_mbps: capacity of this entry's network link.
    """

    def __init__(self, entry_id: EntryId, link_mbps: float = 0.0) -> None:
        self.entry_id = entry_id
        self.link_mbps = link_mbps
        self._entries: dict[EntryId, _KnownEntry] = {}
        self._leaving_starts_s: dict[EntryId, float] = {}
        self._last_read_s = float("-inf")
        self._readable_since_s = float("inf")
        self._rates_tokens_per_s: dict[EntryId, int] = {}
        self._cached_split = (float("-inf"), CallerSplit(1, (), True, 1.0))

    def fold(self, member: Member, now_s: float) -> None:
        """Apply a row that was read at ``now_s``."""
        newest = self.member(member.entry_id)
        if newest is not None and is_older_row(member, newest):
            return
        known = self._entries.setdefault(member.entry_id, _KnownEntry(member, now_s))
        known.member = member
        known.read_at_s = now_s
        known.delays_s.append(now_s - member.made_at_s)
        rates = (row.rate_tokens_per_s for row in member.shares.values())
        self._rates_tokens_per_s[member.entry_id] = sum(rates)

    def member(self, entry: EntryId) -> Member | None:
        """The newest row of ``entry``."""
        known = self._entries.get(entry)
        return known.member if known else None

    def members(self) -> dict[EntryId, Member]:
        """The newest row of each entry."""
        return {entry: known.member for entry, known in self._entries.items()}

    def clock_lead_s(self, clock_offset_s: float) -> float | None:
        """How far this entry's wall clock is ahead of the median of the others.

        The delay of a row makes the lead look larger, never smaller. A clock that is
        ahead, which would make rows look newer than they are, is therefore always
        detected. Of each entry's last rows the one with the shortest delay counts: an
        entry with few changes writes a row every few seconds, and its newest row may
        have waited for the end of a network partition. Mistaken for a clock that was
        set, that delay would lose all claimed tokens at a power loss.

        :param clock_offset_s: this entry's wall clock minus its monotonic clock, now.
        :returns: ``None`` if there are too few other entries.
        """
        others = [
            known for entry, known in self._entries.items() if entry != self.entry_id
        ]
        if len(others) < MIN_CLOCK_PEERS:
            return None
        return (
            statistics.median(min(known.delays_s) for known in others) + clock_offset_s
        )

    def prompt_clock_lead_s(self, clock_offset_s: float) -> float | None:
        """Like :meth:`clock_lead_s`, but only by entries with :data:`CLOCK_SAMPLES`
        rows.

        :param clock_offset_s: this entry's wall clock minus its monotonic clock, now.
        :returns: ``None`` if these are not the majority of the other entries, or fewer
            than :data:`MIN_CLOCK_PEERS`.
        """
        shortest_s = [
            min(known.delays_s)
            for entry, known in self._entries.items()
            if entry != self.entry_id and len(known.delays_s) == CLOCK_SAMPLES
        ]
        others = len(self._entries.keys() - {self.entry_id})
        if len(shortest_s) < max(MIN_CLOCK_PEERS, others // 2 + 1):
            return None
        return statistics.median(shortest_s) + clock_offset_s

    def mark_leaving(self, entry: EntryId, started_s: float) -> None:
        """Record that the incarnation of ``entry`` of ``started_s`` is leaving.

        Its rows in state ``SERVING`` were made before it announced that.
        """
        self._leaving_starts_s[entry] = started_s

    def remove(self, entry: EntryId) -> None:
        """Remove ``entry``, whose row was deleted."""
        self._entries.pop(entry, None)
        self._leaving_starts_s.pop(entry, None)
        self._rates_tokens_per_s.pop(entry, None)

    def record_read(self, now_s: float) -> None:
        """Record that the log answered a read at ``now_s``."""
        limit_s = _silence_limit_s(len(self._entries))
        if now_s - self._last_read_s > limit_s / 2:
            # After an outage every row looks old. Each entry gets the usual time
            # to renew its row before it counts as silent.
            self._readable_since_s = now_s
        self._last_read_s = now_s

    def recent_writers(self) -> set[EntryId]:
        """The entries that were not silent at the last read of the log."""
        limit_s = _silence_limit_s(len(self._entries))
        return {
            entry
            for entry, known in self._entries.items()
            if self._last_read_s - known.read_at_s <= limit_s
        }

    def read_age_s(self, now_s: float) -> float:
        """Time since the last successful read of the log."""
        return now_s - self._last_read_s

    def live_peers(self, now_s: float) -> list[Member]:
        """The other entries that are alive and serving."""
        return [
            member
            for member in self.recent_peers(now_s)
            if member.state is MemberState.SERVING
            and self._leaving_starts_s.get(member.entry_id) != member.started_s
        ]

    def recent_peers(self, now_s: float) -> list[Member]:
        """The other entries that may be alive, also those that leave."""
        limit_s = _silence_limit_s(len(self._entries))
        readable = now_s - self._last_read_s < limit_s / 2
        settled = readable and now_s - self._readable_since_s > limit_s
        return [
            known.member
            for known in self._reachable()
            if not (settled and now_s - known.read_at_s > limit_s)
        ]

    def possible_peers(self) -> list[Member]:
        """The other entries that may be alive, as of the last read of the rows.

        Those that were silent by then don't come back while the log is away.
        """
        limit_s = _silence_limit_s(len(self._entries))
        settled = self._last_read_s - self._readable_since_s > limit_s
        return [
            known.member
            for known in self._reachable()
            if not (settled and self._last_read_s - known.read_at_s > limit_s)
        ]

    def known_peers(self) -> list[Member]:
        """The other entries whose rows are not deleted, also those that are silent."""
        return [known.member for known in self._reachable()]

    def _reachable(self) -> Iterator[_KnownEntry]:
        """The other entries that have an address."""
        for entry, known in self._entries.items():
            if entry != self.entry_id and known.member.peer_address:
                yield known

    def caller_split(self, now_s: float) -> CallerSplit:
        """How the callers and the load are divided now; cached for a short time."""
        at_s, cached = self._cached_split
        if not 0 <= now_s - at_s < SPLIT_CACHE_S:
            cached = self._split_callers(now_s)
            self._cached_split = (now_s, cached)
        return cached

    def _split_callers(self, now_s: float) -> CallerSplit:
        others = self.live_peers(now_s)
        links_mbps = [*(m.link_mbps for m in others), self.link_mbps]
        min_mbps = min_caller_link_mbps(links_mbps)
        advertised = sum(mbps >= min_mbps for mbps in links_mbps)
        rates = self._rates_tokens_per_s
        fleet_rate = sum(rates.values())
        busy_rate = BUSY_SHARE * fleet_rate / max(1, advertised)

        def has_callers(entry: EntryId, link_mbps: float) -> bool:
            return link_mbps >= min_mbps or rates.get(entry, 0) > busy_rate

        caller_peers = tuple(m for m in others if has_callers(m.entry_id, m.link_mbps))
        caller_entries = len(caller_peers) + 1
        own_rate = rates.get(self.entry_id, 0)
        return CallerSplit(
            entries=len(others) + 1,
            caller_peers=caller_peers,
            has_callers=has_callers(self.entry_id, self.link_mbps),
            fleet_load_ratio=min(caller_entries, max(1.0, fleet_rate / own_rate))
            if own_rate
            else caller_entries,
        )


def choose_addresses(
    members: list[Member], zone: Zone, rng: random.Random
) -> list[str]:
    """The entry addresses to give to a caller in ``zone``.

    The answer has all entries that take callers, as far as they fit, so that callers
    spread over all of them and no entry serves only a small failure domain. In a larger
    fleet, entries in the caller's own domain are preferred.
    """
    min_mbps = min_caller_link_mbps([m.link_mbps for m in members])
    eligible = [m for m in members if m.front_address and m.link_mbps >= min_mbps]
    shuffled = rng.sample(eligible, len(eligible))
    shuffled.sort(key=lambda m: m.zone != zone)
    return [m.front_address for m in shuffled[:MAX_ADDRESSES]]
