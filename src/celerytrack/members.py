"""Which entries are alive, and which of them callers are told, without I/O.

Each entry writes its :class:`Member` row again and again
(:mod:`celerytrack.row_rate`). One whose row has not been renewed for some beats is left
out of address answers, but only while this entry can read the log: when the log is
away, nobody's row is renewed, and the last view stands.
"""

import collections
import math
import random
import statistics

import attrs

from celerytrack.ids import EntryId, Zone
from celerytrack.links import least_link_mbps
from celerytrack.member import Member, MemberState, older_row
from celerytrack.row_rate import heartbeat_interval_s

SILENT_BEATS = 3.5
"""An entry is silent after this many intervals: one row may be lost and the
next be late."""
SILENT_LEAST_S = 3.5
"""Shortest silence that counts: an instance whose share of a processor is used
up, or that is slowed, still serves its callers between late rows."""
DEFAULT_TTL_S = 1.0
"""How long callers keep an address answer: a leaving entry is out of the
answers within a second and out of sight a second later, after three for callers
that keep answers three times as long."""
MAX_ADDRESSES = 64
"""Addresses that one answer may hold."""
BUSY_SHARE = 0.1
"""An entry that spends more than this part of what each told entry does has callers of
its own, though callers are told of others: a large account's may keep to an entry."""
DIVISION_S = 0.05
"""How long a :class:`Division` is used again: rows come no faster, and in a fleet of
hundreds each request would otherwise look at every row."""


@attrs.frozen
class Division:
    """How the callers are divided among the entries.

    :ivar entries: entries alive, this one included.
    :ivar sharers: the other entries that have a part of them worth counting.
    :ivar takes_callers: whether this entry has one.
    :ivar load_times: how many times the work of this entry the fleet does, as far as
        known: ``taking``, or less for one through which much of it comes.
    """

    entries: int
    sharers: "tuple[Member, ...]"
    takes_callers: bool
    load_times: float

    @property
    def taking(self) -> int:
        """Among how many entries the callers are divided, this one included."""
        return len(self.sharers) + 1

    @property
    def allowances(self) -> int:
        """Into how many parts like this entry's what all may do together is divided:
        rows a second, retries."""
        return self.taking if self.takes_callers else self.entries

    @property
    def parts(self) -> float:
        """Into how many parts like this entry's an account is divided until it is known
        who spends it. An entry without callers has none: what hundreds of them hold of
        an account nobody can spend, and a loss of power takes it."""
        return self.taking if self.takes_callers else math.inf


FEWEST_WITNESSES = 2
"""Other entries that must be there to hold a clock against."""


def _silent_s(entries: int) -> float:
    return max(SILENT_LEAST_S, heartbeat_interval_s(entries) * SILENT_BEATS)


PROMPT_ROWS = 3
"""Rows of an entry of which the one read most promptly tells of its clock. The
first is read at the start and may be old; one that lands as an outage ends may
have been made seconds before."""


@attrs.define
class _Seen:
    """The newest row of an entry, and how late its last rows were read: by this
    entry's steady clock less the other's time of day."""

    member: Member
    at_s: float
    late_s: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=PROMPT_ROWS)
    )


class MemberView:
    """The entries as this one knows them.

    :param me: this entry.
    :param link_mbps: what its link carries.
    """

    def __init__(self, me: EntryId, link_mbps: float = 0.0) -> None:
        self.me = me
        self.link_mbps = link_mbps
        self._seen: dict[EntryId, _Seen] = {}
        self._leaving_s: dict[EntryId, float] = {}
        self._read_at_s = float("-inf")
        self._reading_since_s = float("inf")
        self._rates_tokens_per_s: dict[EntryId, int] = {}
        self._divided = (float("-inf"), Division(1, (), True, 1.0))

    def fold(self, member: Member, now_s: float) -> None:
        """Take a row that was read at ``now_s``."""
        known = self.member(member.entry_id)
        if known is not None and older_row(member, known):
            return
        seen = self._seen.setdefault(member.entry_id, _Seen(member, now_s))
        seen.member = member
        seen.at_s = now_s
        seen.late_s.append(now_s - member.made_at_s)
        rates = (row.rate_tokens_per_s for row in member.shares.values())
        self._rates_tokens_per_s[member.entry_id] = sum(rates)

    def member(self, entry: EntryId) -> Member | None:
        """The newest row of ``entry``."""
        seen = self._seen.get(entry)
        return seen.member if seen else None

    def members(self) -> dict[EntryId, Member]:
        """The newest row of each entry."""
        return {entry: seen.member for entry, seen in self._seen.items()}

    def clock_lead_s(self, clock_offset_s: float) -> float | None:
        """How far this entry's time of day is ahead of most others'.

        A row that was read late makes it look further ahead than it is, never
        less: a clock that is ahead, which would make a row look newer than it
        was, is always seen. Of each entry's last rows the one read most promptly
        counts: entries that have little to say write a row each few seconds, and the
        newest may be one that waited for the end of a cut. Taken for a clock that was
        set, it would cost all that is claimed at a loss of power.

        :param clock_offset_s: its time of day less its steady clock, now.
        """
        others = [seen for entry, seen in self._seen.items() if entry != self.me]
        if len(others) < FEWEST_WITNESSES:
            return None
        return statistics.median(min(s.late_s) for s in others) + clock_offset_s

    def prompt_clock_lead_s(self, clock_offset_s: float) -> float | None:
        """The same by rows that were read promptly, ``None`` if there are too few.

        :param clock_offset_s: its time of day less its steady clock, now.
        """
        prompt = [
            min(seen.late_s)
            for entry, seen in self._seen.items()
            if entry != self.me and len(seen.late_s) == PROMPT_ROWS
        ]
        others = len(self._seen.keys() - {self.me})
        if len(prompt) < max(FEWEST_WITNESSES, others // 2 + 1):
            return None
        return statistics.median(prompt) + clock_offset_s

    def leaving(self, entry: EntryId, started_s: float) -> None:
        """``entry`` says that its start of ``started_s`` ends: rows that say otherwise
        were made before."""
        self._leaving_s[entry] = started_s

    def dropped(self, entry: EntryId) -> None:
        """The row of ``entry`` was removed."""
        self._seen.pop(entry, None)
        self._leaving_s.pop(entry, None)
        self._rates_tokens_per_s.pop(entry, None)

    def read_ok(self, now_s: float) -> None:
        """The log answered a read at ``now_s``."""
        gap_s = _silent_s(len(self._seen))
        if now_s - self._read_at_s > gap_s / 2:
            # After an outage every row looks old; each entry is given the
            # usual time to write again before it counts as silent.
            self._reading_since_s = now_s
        self._read_at_s = now_s

    def lately_written(self) -> set[EntryId]:
        """The entries that wrote a row shortly before the last read of rows."""
        limit_s = _silent_s(len(self._seen))
        return {
            entry
            for entry, seen in self._seen.items()
            if self._read_at_s - seen.at_s <= limit_s
        }

    def read_age_s(self, now_s: float) -> float:
        """How old what is known of the other entries is."""
        return now_s - self._read_at_s

    def live(self, now_s: float) -> list[Member]:
        """Entries that take new callers, without this one."""
        limit_s = _silent_s(len(self._seen))
        reading = now_s - self._read_at_s < limit_s / 2
        settled = reading and now_s - self._reading_since_s > limit_s
        return [
            seen.member
            for entry, seen in self._seen.items()
            if entry != self.me
            and seen.member.state is MemberState.SERVING
            and self._leaving_s.get(entry) != seen.member.started_s
            and not (settled and now_s - seen.at_s > limit_s)
        ]

    def division(self, now_s: float) -> Division:
        """Who shares the callers now, and how much of the work comes here."""
        at_s, known = self._divided
        if not 0 <= now_s - at_s < DIVISION_S:
            known = self._divide(now_s)
            self._divided = (now_s, known)
        return known

    def _divide(self, now_s: float) -> Division:
        others = self.live(now_s)
        links_mbps = [*(m.link_mbps for m in others), self.link_mbps]
        least_mbps = least_link_mbps(links_mbps)
        told = sum(mbps >= least_mbps for mbps in links_mbps)
        rates = self._rates_tokens_per_s
        fleet_rate = sum(rates.values())
        busy_rate = BUSY_SHARE * fleet_rate / max(1, told)

        def takes_callers(entry: EntryId, link_mbps: float) -> bool:
            return link_mbps >= least_mbps or rates.get(entry, 0) > busy_rate

        sharers = tuple(m for m in others if takes_callers(m.entry_id, m.link_mbps))
        taking = len(sharers) + 1
        mine = rates.get(self.me, 0)
        return Division(
            entries=len(others) + 1,
            sharers=sharers,
            takes_callers=takes_callers(self.me, self.link_mbps),
            load_times=min(taking, max(1.0, fleet_rate / mine)) if mine else taking,
        )


def choose_addresses(
    members: list[Member], zone: Zone, rng: random.Random
) -> list[str]:
    """The addresses to tell a caller in ``zone``.

    All that take callers, while they fit the answer: callers spread over all of
    them, so none is left with the callers of a small failure domain alone. In a
    larger fleet, those of the caller's own domain go first.
    """
    least_mbps = least_link_mbps([m.link_mbps for m in members])
    able = [m for m in members if m.link_mbps >= least_mbps]
    shuffled = rng.sample(able, len(able))
    shuffled.sort(key=lambda m: m.zone != zone)
    return [m.front_address for m in shuffled[:MAX_ADDRESSES]]
