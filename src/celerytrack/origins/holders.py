"""Tells the holders of streams what began these, and those that become holders.

Which entries hold a stream follows from its name and the members (:class:`HolderRing`).
"""

import collections
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping

import attrs

from celerytrack.ids import EntryId, ServiceName
from celerytrack.origins.copy_messages import (
    MAX_KEYS,
    BegunStream,
    KeyedOriginNews,
    group_streams,
)
from celerytrack.origins.memory import KEEP_S, StreamId, StreamKey
from celerytrack.origins.messages import MAX_ORIGINS, OriginMessage, OriginNews
from celerytrack.origins.origin import StreamOrigin
from celerytrack.origins.ring import Holder, HolderRing

COPIES = 3
"""Entries that are told the origin of a stream."""
RING_CACHE_S = 0.1
"""Time for which the members are not read again."""
MAX_HANDED_OVER = 500
"""Most streams in a tick whose origin is looked at for members that are new to them."""
MAX_OWN_STREAMS = 16_384
"""Most streams of this entry that are told again when members change."""

SendMessage = Callable[[str, OriginMessage], None]


@attrs.frozen
class OwnStream:
    """A stream that began here, or at an entry that is lost.

    :ivar name: ``None`` if only its key is known.
    :ivar copied: whether other entries keep copies.
    """

    origin: StreamOrigin
    began_s: float
    name: StreamId | None
    copied: bool


OwnStreams = OrderedDict[StreamKey, OwnStream]


def drop_old(streams: OwnStreams, now_s: float) -> None:
    """Forget the oldest of the streams, which are ordered by their age."""
    while streams:
        oldest = next(iter(streams.values()))
        if now_s - oldest.began_s <= KEEP_S and len(streams) <= MAX_OWN_STREAMS:
            return
        streams.popitem(last=False)


class StreamHolders:
    """The members, which of them hold a stream, and what these were told.

    :param send: sends a message to the entry at an address, without guarantee.
    :param live_holders: returns the live entries, this one included.
    :param known_streams: returns the streams whose origin is known here.
    :param has_versions: whether a service has several versions, or had until lately.
    :ivar members: the live entries, as they were last read.
    """

    def __init__(
        self,
        entry_id: EntryId,
        send: SendMessage,
        live_holders: Callable[[float], Iterable[Holder]],
        known_streams: Callable[[], list[tuple[StreamKey, StreamOrigin]]],
        has_versions: Callable[[ServiceName, float], bool],
    ) -> None:
        self.members: frozenset[Holder] = frozenset()
        self._entry_id = entry_id
        self._send = send
        self._live_holders = live_holders
        self._known_streams = known_streams
        self._has_versions = has_versions
        self._ring = HolderRing()
        self._read_at_s = float("-inf")
        self._told: OwnStreams = OrderedDict()
        self._handover: collections.deque[tuple[StreamKey, StreamOrigin]]
        self._handover = collections.deque()
        self._handover_from = HolderRing()

    def __contains__(self, key: StreamKey) -> bool:
        """Whether the holders of a stream were told what began it."""
        return key in self._told

    @property
    def has_told(self) -> bool:
        """Whether any holder was told anything lately."""
        return bool(self._told)

    def others(self) -> list[Holder]:
        """The members but this entry."""
        return [h for h in self.members if h.entry_id != self._entry_id]

    def other_holders_of(self, key: StreamKey, count: int) -> list[Holder]:
        """The first ``count`` entries but this one that hold a stream, or would if
        members ended."""
        holders = self._ring.holders_of(key, count + 1)
        return [h for h in holders if h.entry_id != self._entry_id][:count]

    def update(self, now_s: float) -> bool:
        """Read the members; a holder that is new to a stream is told of it.

        :returns: whether they have changed.
        """
        if 0 <= now_s - self._read_at_s < RING_CACHE_S:
            return False
        self._read_at_s = now_s
        members = frozenset(self._live_holders(now_s))
        if members == self.members:
            return False
        drop_old(self._told, now_s)
        before, self._ring = self._ring, HolderRing(members)
        self.members = members
        if not self._handover:
            self._handover_from = before
        self._handover = collections.deque(self._known_streams())
        by_holder: collections.defaultdict[Holder, list[StreamKey]]
        by_holder = collections.defaultdict(list)
        for key in self._told:
            told = before.holders_of(key, COPIES)
            for holder in self._ring.holders_of(key, COPIES):
                if holder not in told:
                    by_holder[holder].append(key)
        self._send_told(by_holder)
        return True

    def tell(self, streams: Mapping[StreamKey, OwnStream], now_s: float) -> None:
        """Tell the holders of streams what began them."""
        by_holder: collections.defaultdict[Holder, list[StreamKey]]
        by_holder = collections.defaultdict(list)
        for key in streams:
            for holder in self._ring.holders_of(key, COPIES):
                by_holder[holder].append(key)
        self._told.update(streams)
        self._send_told(by_holder)
        drop_old(self._told, now_s)

    def hand_over(self, now_s: float) -> None:
        """Tell members what they are to hold from now on: the entry at which a stream
        began may be lost, and with it the only one that would tell them."""
        by_holder: collections.defaultdict[Holder, list[BegunStream]]
        by_holder = collections.defaultdict(list)
        for _ in range(min(len(self._handover), MAX_HANDED_OVER)):
            key, origin = self._handover.popleft()
            if key in self._told or not self._has_versions(origin.service, now_s):
                continue
            held = self._handover_from.holders_of(key, COPIES)
            if not self._is_to_hand_over(held):
                continue
            for holder in self._ring.holders_of(key, COPIES):
                if holder not in held:
                    by_holder[holder].append(BegunStream(key, origin))
        for holder, streams in by_holder.items():
            self._send_keyed(holder, streams)

    def _is_to_hand_over(self, held: list[Holder]) -> bool:
        """Of the entries that held a stream before, the first one that is left does it.

        If one is gone, so may be those that are not missed yet: whoever knows the
        stream without being a holder does it too.
        """
        left = [holder.entry_id for holder in held if holder in self.members]
        if any(holder.entry_id == self._entry_id for holder in held):
            return left[:1] == [self._entry_id]
        return len(left) < len(held)

    def _send_told(self, by_holder: Mapping[Holder, list[StreamKey]]) -> None:
        for holder, keys in by_holder.items():
            if holder.entry_id == self._entry_id:
                continue
            told = [(key, self._told[key]) for key in keys]
            # Entries of an older release know streams by their names.
            named = [(own.name, own.origin) for _, own in told if own.name is not None]
            for start in range(0, len(named), MAX_ORIGINS):
                news = OriginNews(tuple(named[start : start + MAX_ORIGINS]))
                self._send(holder.address, news)
            keyed = [BegunStream(k, own.origin) for k, own in told if own.name is None]
            self._send_keyed(holder, keyed)

    def _send_keyed(self, holder: Holder, streams: list[BegunStream]) -> None:
        for start in range(0, len(streams), MAX_KEYS):
            groups = group_streams(streams[start : start + MAX_KEYS])
            self._send(holder.address, KeyedOriginNews(groups))
