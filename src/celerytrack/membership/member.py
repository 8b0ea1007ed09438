"""The row of one entry, and the order of rows, without I/O."""

import enum
from collections.abc import Iterable, Mapping

import attrs

from celerytrack.eras import Era
from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.prepaid import AccountClaim

GONE_AFTER_SILENCE_S = 60.0
"""An entry whose row is this much older than the newest row is gone. The limit exceeds
what a backup of the log has lost and what clocks differ by."""


class MemberState(enum.Enum):
    """State that an entry declares in its row."""

    SERVING = "serving"
    LEAVING = "leaving"


@attrs.frozen
class Member:
    """The row of one entry.

    :ivar epoch: grows with each restart of the entry.
    :ivar front_address: where callers connect; empty if they can't.
    :ivar peer_address: where other entries connect; empty if they can't, as in the row
        of another writer.
    :ivar made_s: when the row was made, on the instance's monotonic clock.
    :ivar clock_offset_s: wall clock minus monotonic clock at that moment; it changes
        when the instance reboots or its clock is set.
    :ivar started_s: when this incarnation of the entry started, on the monotonic clock.
    :ivar left_at_s: when the last row of the entry's previous incarnation was made, by
        the wall clock of that incarnation; ``None`` if there was none.
    :ivar clock_lead_s: how far its wall clock was ahead of the other entries', by
        their last rows; ``None`` if there were too few to compare with.
    :ivar link_mbps: capacity of its network link; 0 if unknown.
    :ivar era: newest era of the log that it knew; ``None`` if it knew none.
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
    link_mbps: float = 0.0
    era: Era | None = None
    shares: Mapping[AccountId, AccountClaim] = attrs.field(factory=dict)

    @property
    def made_at_s(self) -> float:
        """When the row was made, by the instance's wall clock."""
        return self.made_s + self.clock_offset_s

    @property
    def started_at_s(self) -> float:
        """When this incarnation started, by the instance's wall clock."""
        return self.started_s + self.clock_offset_s


def is_older_row(row: Member, other: Member) -> bool:
    """Whether ``other`` was written after ``row``, a row of the same entry.

    A log restored from an older backup holds older rows than were read before. They
    could show a leaving entry as serving, or have the address of an earlier
    incarnation.
    """
    if row.era is not None and other.era is not None and row.era != other.era:
        return row.era < other.era
    if row.started_s == other.started_s:
        return row.made_s < other.made_s
    return row.epoch < other.epoch


def rows_of_other_eras(rows: Iterable[Member], era: Era | None) -> dict[EntryId, Era]:
    """The eras of the rows that were made in another era than ``era``, by entry.

    Entries that have been silent for :data:`GONE_AFTER_SILENCE_S` are left out.
    """
    rows = list(rows)
    newest_at_s = max((row.made_at_s for row in rows), default=0.0)
    return {
        row.entry_id: row.era
        for row in rows
        if row.era is not None
        and era is not None
        and row.era != era
        and newest_at_s - row.made_at_s < GONE_AFTER_SILENCE_S
    }
