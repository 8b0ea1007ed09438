"""Copies of what began the streams of this entry, sent to those that keep them.

While a service has one version, what began a stream matters to nobody. Once it has a
second one, the entry at which the stream began tells the stream's holders
(:mod:`celerytrack.origins.sync`); if that entry is lost before, those that keep a copy
(:mod:`celerytrack.origins.copy_store`) do it in its place.
"""

import collections
import itertools
from collections.abc import Callable, Collection, Iterable

import attrs

from celerytrack.ids import EntryId, ServiceName, Zone
from celerytrack.origins.copy_messages import (
    MAX_KEYS,
    BegunStream,
    CopiesAck,
    CopiesEnd,
    CopyMessage,
    OriginCopies,
    StreamGroup,
    group_streams,
)
from celerytrack.origins.memory import StreamKey
from celerytrack.origins.ring import Holder
from celerytrack.origins.unresolved import MAX_UNRESOLVED
from celerytrack.routing.rendezvous import rendezvous

BACKUPS = 3
"""Entries that keep a copy. A stream is lost with its entry and all of these."""
MAX_UNACKED = 16
"""Most batches to an entry that it has not acknowledged; what follows waits."""
SEND_AGAIN_AFTER_S = 1.5
"""Time after which a batch without acknowledgement is sent again."""
MAX_WAITING = 16_384
"""Most streams that wait to be sent to an entry; the oldest is dropped first."""

Send = Callable[[str, CopyMessage], None]


@attrs.frozen
class Primary:
    """An incarnation of an entry at which streams began."""

    entry_id: EntryId
    started_s: float


def choose_backups(
    entry_id: EntryId, zone: Zone, others: Iterable[Holder]
) -> list[Holder]:
    """The entries that keep copies for an entry.

    At least one is in another failure domain, if there is any.
    """
    by_id = {holder.entry_id: holder for holder in others}
    ranked = [by_id[EntryId(name)] for name in rendezvous(entry_id, by_id, len(by_id))]
    chosen = ranked[:BACKUPS]
    elsewhere = next((holder for holder in ranked if holder.zone != zone), None)
    if elsewhere is not None and elsewhere not in chosen:
        chosen[-1] = elsewhere
    return chosen


@attrs.frozen
class _Batch:
    groups: tuple[StreamGroup, ...]
    sent_s: float


@attrs.define
class _Backup:
    """An entry that is to keep copies.

    :ivar acknowledges: whether it has acknowledged a batch. One of an older release
        doesn't, and gets one batch again and again.
    """

    waiting: collections.deque[BegunStream] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_WAITING)
    )
    unacked: dict[int, _Batch] = attrs.field(factory=dict)
    acknowledges: bool = False


class CopySender:
    """Sends copies to the entries that keep them.

    :param primary: this entry.
    :param send: sends a message to the entry at an address, without guarantee.
    """

    def __init__(self, primary: Primary, send: Send) -> None:
        self._primary = primary
        self._send = send
        self._numbers = itertools.count()
        self._backups: dict[Holder, _Backup] = {}
        self._in_doubt: dict[StreamKey, BegunStream] = {}

    def set_backups(
        self, holders: Collection[Holder], streams: Collection[BegunStream]
    ) -> None:
        """Set the entries that keep copies; those that are new get them all.

        :param streams: what the holders of streams have not been told.
        """
        before = self._backups
        self._backups = {holder: before.get(holder, _Backup()) for holder in holders}
        for holder, backup in self._backups.items():
            if holder not in before:
                backup.waiting.extend((*streams, *self._in_doubt.values()))

    def add(self, stream: BegunStream) -> None:
        """Have copies kept of what began a stream."""
        if stream.endpoint_id is not None:
            self._in_doubt[stream.key] = stream
            if len(self._in_doubt) > MAX_UNRESOLVED:
                del self._in_doubt[next(iter(self._in_doubt))]
        for backup in self._backups.values():
            backup.waiting.append(stream)

    def end_doubt(self, key: StreamKey) -> bool:
        """Whether a stream was in doubt, which it is no longer."""
        return self._in_doubt.pop(key, None) is not None

    def flush(self, now_s: float) -> None:
        """Send what waits, and what was not acknowledged in time."""
        for holder, backup in self._backups.items():
            for number, batch in backup.unacked.items():
                if now_s - batch.sent_s > SEND_AGAIN_AFTER_S:
                    backup.unacked[number] = _Batch(batch.groups, now_s)
                    self._send_batch(holder, number, batch.groups)
            most = MAX_UNACKED if backup.acknowledges else 1
            while backup.waiting and len(backup.unacked) < most:
                number = next(self._numbers)
                groups = _pop_groups(backup.waiting)
                backup.unacked[number] = _Batch(groups, now_s)
                self._send_batch(holder, number, groups)

    def receive(self, ack: CopiesAck) -> None:
        """Apply an acknowledgement."""
        if ack.started_s != self._primary.started_s:
            return
        for holder, backup in self._backups.items():
            if holder.entry_id == ack.backup:
                backup.acknowledges = True
                for number in ack.numbers:
                    backup.unacked.pop(number, None)

    def end(self, service: ServiceName) -> None:
        """End the copies of a service: the holders of its streams have been told, but
        for those that are in doubt."""
        in_doubt = [s for s in self._in_doubt.values() if s.origin.service == service]
        message = CopiesEnd(self._primary.entry_id, self._primary.started_s, service)
        for holder, backup in self._backups.items():
            _drop_service(backup, service)
            self._send(holder.address, message)
            backup.waiting.extend(in_doubt)

    def _send_batch(
        self, holder: Holder, number: int, groups: tuple[StreamGroup, ...]
    ) -> None:
        primary = self._primary
        message = OriginCopies(primary.entry_id, primary.started_s, number, groups)
        self._send(holder.address, message)


def _pop_groups(waiting: collections.deque[BegunStream]) -> tuple[StreamGroup, ...]:
    count = min(len(waiting), MAX_KEYS)
    return group_streams(waiting.popleft() for _ in range(count))


def _drop_service(backup: _Backup, service: ServiceName) -> None:
    left = [stream for stream in backup.waiting if stream.origin.service != service]
    backup.waiting = collections.deque(left, MAX_WAITING)
    for number, batch in list(backup.unacked.items()):
        groups = tuple(g for g in batch.groups if g.origin.service != service)
        if groups:
            backup.unacked[number] = _Batch(groups, batch.sent_s)
        else:
            del backup.unacked[number]
