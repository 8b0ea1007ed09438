"""Which entries hold the origin of a stream: consistent hashing, without I/O.

All entries place a stream alike, so that one that knows only its name knows whom to
ask. An entry that comes or goes moves only the streams next to it on the ring.
"""

import bisect
from collections.abc import Iterable

import attrs

from celerytrack.hashing import hash64
from celerytrack.ids import EntryId, Zone
from celerytrack.origins.memory import PLACE_BYTES, StreamKey

NO_ZONE = Zone("")
POINTS_PER_ENTRY = 8
"""Points of each entry on the ring, which even out what the entries hold."""


@attrs.frozen
class Holder:
    """An entry that may hold origins.

    :ivar started_s: start of its incarnation; a later one has forgotten everything.
    :ivar zone: its failure domain.
    """

    entry_id: EntryId
    address: str
    started_s: float
    zone: Zone = NO_ZONE


class HolderRing:
    """A ring of entries.

    :param holders: the entries that may hold origins.
    """

    def __init__(self, holders: Iterable[Holder] = ()) -> None:
        points = sorted(
            (hash64(f"{holder.entry_id}\x00{number}"), holder.entry_id, holder)
            for holder in holders
            for number in range(POINTS_PER_ENTRY)
        )
        self._hashes = [point[0] for point in points]
        self._holders = [point[2] for point in points]

    def holders_of(self, stream: StreamKey, count: int) -> list[Holder]:
        """The first ``count`` entries from the place of a stream on."""
        place = int.from_bytes(stream[:PLACE_BYTES])
        start = bisect.bisect(self._hashes, place)
        found: dict[EntryId, Holder] = {}
        for offset in range(len(self._holders)):
            if len(found) == count:
                break
            holder = self._holders[(start + offset) % len(self._holders)]
            found.setdefault(holder.entry_id, holder)
        return list(found.values())
