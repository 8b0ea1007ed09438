"""Which entries are alive, and which of them callers are told, without I/O.

Each entry writes its :class:`Member` row again at least every
:data:`BEAT_S`. An entry whose row has not been renewed for :data:`SILENT_S`
is left out of address answers, but only while this entry can read the log:
when the log is away, nobody's row is renewed, and the last view stands.
"""

import enum
import random
import statistics
from collections.abc import Mapping

import attrs

from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.prepaid import Row

BEAT_S = 0.3
"""Longest time between two rows of a small fleet. What was spent since the last
row is lost with power: 0.3 s instead of 1 s is 1 to 2 % of every total."""
BEATS_PER_S = 60.0
"""Rows that all entries together write a second, at most: a tenth of the 600
writes a second that the smallest store takes."""
URGENT_GAP_S = 0.01
"""Shortest time between two rows of an entry: requests that lack tokens at the
same moment share one. With 0.03 s a quarter of the long prompts waited over
60 ms, and then asked the others."""
URGENT_ROWS_PER_S = 400.0
"""Rows of all entries together at most, when all have requests that wait: two
thirds of what the smallest store takes, and 400 KB/s to read for each."""
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


class MemberState(enum.Enum):
    """What an entry says of itself."""

    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen
class Member:
    """One entry's row.

    :ivar epoch: grows with each start of this entry.
    :ivar front_address: where callers connect.
    :ivar peer_address: where other entries connect.
    :ivar made_s: when the row was made, on the instance's steady clock.
    :ivar clock_offset_s: its time of day less its steady clock at that moment;
        it changes when the instance starts anew or its clock is set.
    :ivar started_s: when this start of the entry began, on the same clock.
    :ivar left_at_s: when the last row of its earlier start was made, by that
        start's time of day; ``None`` if there was none.
    :ivar clock_lead_s: how far its time of day was ahead of the other entries',
        by their last rows; ``None`` if it had too few to compare with.
    :ivar shares: its claims on prepaid totals.
    """

    entry_id: EntryId
    epoch: int
    front_address: str
    peer_address: str
    zone: Zone
    state: MemberState
    made_s: float = 0.0
    clock_offset_s: float = 0.0
    started_s: float = 0.0
    left_at_s: float | None = None
    clock_lead_s: float | None = None
    shares: Mapping[AccountId, Row] = attrs.field(factory=dict)

    @property
    def made_at_s(self) -> float:
        """When the row was made, by the instance's time of day."""
        return self.made_s + self.clock_offset_s

    @property
    def started_at_s(self) -> float:
        """When this start began, by the instance's time of day."""
        return self.started_s + self.clock_offset_s


def beat_interval_s(entries: int) -> float:
    """Time between two rows of one entry in a fleet of ``entries``."""
    return max(BEAT_S, entries / BEATS_PER_S)


def urgent_gap_s(entries: int) -> float:
    """Time that an entry waits at least before it writes another row."""
    return max(URGENT_GAP_S, entries / URGENT_ROWS_PER_S)


def _silent_s(entries: int) -> float:
    return max(SILENT_LEAST_S, beat_interval_s(entries) * SILENT_BEATS)


CLOCK_SLACK_S = 0.2
"""Two readings of the clock offset on one instance may differ by this."""


def age_at_start_s(
    last: Member, started_s: float, clock_offset_s: float
) -> float | None:
    """How old ``last`` was when this start began, or ``None`` if the steady
    clock cannot tell: the instance itself started anew meanwhile.

    :param last: the last row of the earlier start, of the same instance.
    :param started_s: when this start began, on the steady clock.
    :param clock_offset_s: this start's time of day less its steady clock.
    """
    same_boot = abs(clock_offset_s - last.clock_offset_s) < CLOCK_SLACK_S
    age_s = started_s - last.made_s
    return age_s if same_boot and age_s >= 0 else None


AGREE_S = 1.0
"""Clocks that agree with most others within this were not set: a clock that is
set jumps by seconds, and a row is read within some tenths of a second."""
CLOCK_ERROR_S = 0.05
"""What two readings of a clock that was not set may be off over a few seconds."""
FEWEST_WITNESSES = 2


def age_at_power_s(left: Member, mine: Member, others: list[Member]) -> float | None:
    """How old this entry's last row was when it started again, if it and most
    others lost power together; else ``None``.

    A loss of power starts the steady clock anew, and a time of day alone may
    have been set meanwhile. So it must have agreed with most others' before,
    as the row says, and agree after, by when they all started: fewer than half
    of all clocks are set at one time.

    :param left: the last row of the earlier start.
    :param mine: this entry's row now.
    :param others: the rows of the other entries.
    """
    lead_s = left.clock_lead_s
    if lead_s is None or abs(lead_s) >= AGREE_S:
        return None
    witnesses = [
        row
        for row in others
        if row.left_at_s is not None
        and abs(row.started_at_s - mine.started_at_s) < AGREE_S
    ]
    if len(witnesses) < max(FEWEST_WITNESSES, len(others) // 2):
        return None
    passed_s = mine.started_at_s - left.made_at_s
    if passed_s < 0:
        return None
    # What the clock may have been ahead by before, beyond the age of rows when
    # they are read, and behind by after: either makes the row look too new.
    ahead_s = max(0.0, lead_s - BEAT_S)
    started_at_s = statistics.median(row.started_at_s for row in witnesses)
    behind_s = max(0.0, started_at_s - mine.started_at_s)
    return passed_s + ahead_s + behind_s + CLOCK_ERROR_S


@attrs.define
class _Seen:
    member: Member
    at_s: float


class MemberView:
    """The entries as this one knows them.

    :param me: this entry.
    """

    def __init__(self, me: EntryId) -> None:
        self.me = me
        self._seen: dict[EntryId, _Seen] = {}
        self._read_at_s = float("-inf")
        self._reading_since_s = float("inf")

    def fold(self, member: Member, now_s: float) -> None:
        """Take a row that was read at ``now_s``."""
        self._seen[member.entry_id] = _Seen(member, now_s)

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
        was, is always seen.

        :param clock_offset_s: its time of day less its steady clock, now.
        """
        others = [seen for entry, seen in self._seen.items() if entry != self.me]
        if len(others) < FEWEST_WITNESSES:
            return None
        leads = (seen.at_s - seen.member.made_at_s for seen in others)
        return statistics.median(leads) + clock_offset_s

    def dropped(self, entry: EntryId) -> None:
        """The row of ``entry`` was removed."""
        self._seen.pop(entry, None)

    def read_ok(self, now_s: float) -> None:
        """The log answered a read at ``now_s``."""
        gap_s = _silent_s(len(self._seen))
        if now_s - self._read_at_s > gap_s / 2:
            # After an outage every row looks old; each entry is given the
            # usual time to write again before it counts as silent.
            self._reading_since_s = now_s
        self._read_at_s = now_s

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
            and not (settled and now_s - seen.at_s > limit_s)
        ]

    def count(self, now_s: float) -> int:
        """Entries alive, this one included."""
        return len(self.live(now_s)) + 1


def choose_addresses(
    members: list[Member], zone: Zone, rng: random.Random
) -> list[str]:
    """The addresses to tell a caller in ``zone``.

    All of them, while they fit the answer: callers spread over all entries,
    so none is left with the callers of a small failure domain alone. In a
    larger fleet, those of the caller's own domain go first.
    """
    shuffled = rng.sample(members, len(members))
    shuffled.sort(key=lambda m: m.zone != zone)
    return [m.front_address for m in shuffled[:MAX_ADDRESSES]]
