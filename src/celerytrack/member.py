"""One entry's row, and which of two is the newer, without I/O."""

import enum
from collections.abc import Iterable, Mapping

import attrs

from celerytrack.eras import Era
from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.prepaid import AccountClaim

LONG_SILENT_S = 60.0
"""An entry whose row is older than the newest by this is gone, whatever a copy of the
log lost and clocks differ by."""


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
    :ivar link_mbps: what its link carries; 0 if it is not told.
    :ivar era: the newest era of the log that it knew; ``None`` if it knew none.
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
        """When the row was made, by the instance's time of day."""
        return self.made_s + self.clock_offset_s

    @property
    def started_at_s(self) -> float:
        """When this start began, by the instance's time of day."""
        return self.started_s + self.clock_offset_s


def older_row(row: Member, known: Member) -> bool:
    """Whether ``known`` was written after ``row``, of the same entry.

    A log that came back from a copy holds an older row than was read before: it would
    name an entry that leaves, or an address of an earlier start.
    """
    if row.era is not None and known.era is not None and row.era != known.era:
        return row.era < known.era
    if row.started_s == known.started_s:
        return row.made_s < known.made_s
    return row.epoch < known.epoch


def of_other_eras(rows: Iterable[Member], era: Era | None) -> dict[EntryId, Era]:
    """In which era the row of each entry was made that is of another one than ``era``,
    but for those long silent."""
    rows = list(rows)
    newest_at_s = max((row.made_at_s for row in rows), default=0.0)
    return {
        row.entry_id: row.era
        for row in rows
        if row.era is not None
        and era is not None
        and row.era != era
        and newest_at_s - row.made_at_s < LONG_SILENT_S
    }
