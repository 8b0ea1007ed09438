"""Copies of what began streams, at an entry that keeps them for others."""

import collections
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterator

import attrs

from celerytrack.ids import EndpointId, EntryId, ServiceName
from celerytrack.origins.copy_messages import (
    MAX_ACKED,
    BegunStream,
    CopiesAck,
    CopiesEnd,
    OriginCopies,
    StreamGroup,
    group_streams,
)
from celerytrack.origins.copy_sender import MAX_UNACKED, Primary, Send
from celerytrack.origins.memory import KEEP_S, StreamKey
from celerytrack.origins.origin import StreamOrigin
from celerytrack.origins.unresolved import MAX_UNRESOLVED

ACK_INTERVAL_S = 0.5
MAX_BATCHES = 4_096
"""Most batches of a service that are kept for an entry; the oldest is dropped first."""
ORPHANED_AFTER_S = 2.0
"""Time without the entry that sent them after which others take over its streams."""
RESOLVED_WITHIN_S = 4.5
"""Time in which the entry at which a stream began in doubt has found its origin, unless
it is lost: longer than a doubt and the next reads of the registrations."""


@attrs.frozen
class TakenOver:
    """Copies of an entry's streams of one service, for another one to act on."""

    primary: Primary
    service: ServiceName
    groups: tuple[StreamGroup, ...]

    def streams(self) -> Iterator[BegunStream]:
        """Each of the streams."""
        for group in self.groups:
            yield from group.streams()


@attrs.frozen
class _Kept:
    received_s: float
    group: StreamGroup


@attrs.frozen
class _Doubt:
    received_s: float
    service: ServiceName
    endpoint_id: EndpointId


@attrs.define
class _Copies:
    """The copies that are kept for one entry.

    :ivar seen: numbers of its last batches, which may be sent again.
    :ivar to_ack: numbers of batches to acknowledge.
    :ivar doubts: streams that began at endpoints in doubt.
    :ivar absent_since_s: since when it is no live entry.
    """

    by_service: dict[ServiceName, collections.deque[_Kept]] = attrs.field(factory=dict)
    seen: OrderedDict[int, None] = attrs.field(factory=OrderedDict)
    to_ack: list[int] = attrs.field(factory=list)
    doubts: dict[StreamKey, _Doubt] = attrs.field(factory=dict)
    absent_since_s: float | None = None


class CopyStore:
    """The copies that this entry keeps.

    :param entry_id: this entry.
    :param send: sends a message to the entry at an address, without guarantee.
    :param address_of: returns the address of an entry.
    """

    def __init__(
        self,
        entry_id: EntryId,
        send: Send,
        address_of: Callable[[EntryId], str | None],
    ) -> None:
        self._entry_id = entry_id
        self._send = send
        self._address_of = address_of
        self._copies: dict[Primary, _Copies] = {}
        self._acked_s = float("-inf")

    def keep(self, message: OriginCopies, now_s: float) -> None:
        """Keep the copies of a message."""
        primary = Primary(message.primary, message.started_s)
        is_new = primary not in self._copies
        copies = self._copies.setdefault(primary, _Copies())
        copies.to_ack.append(message.number)
        if message.number not in copies.seen:
            copies.seen[message.number] = None
            if len(copies.seen) > 2 * MAX_UNACKED:
                copies.seen.popitem(last=False)
            for group in message.groups:
                _keep_group(copies, group, now_s)
        if is_new or len(copies.to_ack) == MAX_ACKED:
            # The sender waits for the first one.
            self._acknowledge(primary, copies)

    def pop_ended(self, message: CopiesEnd) -> Iterator[TakenOver]:
        """Remove the copies that others need no longer: the holders of their streams
        were told."""
        primary = Primary(message.primary, message.started_s)
        copies = self._copies.get(primary)
        if copies is None:
            return
        for key, doubt in list(copies.doubts.items()):
            if doubt.service == message.service:
                del copies.doubts[key]
        ended = copies.by_service.pop(message.service, ())
        yield TakenOver(primary, message.service, tuple(k.group for k in ended))

    def acknowledge(self, now_s: float) -> None:
        """Acknowledge what has come since the last time."""
        if now_s - self._acked_s < ACK_INTERVAL_S:
            return
        self._acked_s = now_s
        for primary, copies in self._copies.items():
            if copies.to_ack:
                self._acknowledge(primary, copies)

    def services(self) -> set[ServiceName]:
        """The services with copies."""
        return {service for c in self._copies.values() for service in c.by_service}

    def pop_received(
        self, service: ServiceName, before_s: float
    ) -> Iterator[TakenOver]:
        """Remove the copies of a service that came before a time."""
        for primary, copies in self._copies.items():
            kept = copies.by_service.get(service)
            groups = []
            while kept and kept[0].received_s <= before_s:
                groups.append(kept.popleft().group)
            if groups:
                yield TakenOver(primary, service, tuple(groups))

    def pop_resolved(
        self,
        origin_at: Callable[[EndpointId, float], StreamOrigin | None],
        now_s: float,
    ) -> Iterator[TakenOver]:
        """Remove the streams that began in doubt, and whose entry is late to say what
        began them.

        :param origin_at: what ran at an endpoint at a time; ``None`` while that is not
            known.
        """
        for primary, copies in self._copies.items():
            for key, doubt in list(copies.doubts.items()):
                if now_s - doubt.received_s < RESOLVED_WITHIN_S:
                    continue
                origin = origin_at(doubt.endpoint_id, doubt.received_s)
                if origin is not None or now_s - doubt.received_s > KEEP_S:
                    del copies.doubts[key]
                if origin is not None and origin.service == doubt.service:
                    groups = group_streams([BegunStream(key, origin)])
                    yield TakenOver(primary, doubt.service, groups)

    def pop_orphans(
        self, live: Collection[Primary], now_s: float
    ) -> Iterator[TakenOver]:
        """Remove the copies of entries that are gone, and those that are old.

        An entry that starts may be known by its copies before its row is read.
        """
        for primary, copies in list(self._copies.items()):
            _drop_old(copies, now_s)
            if primary in live:
                copies.absent_since_s = None
                continue
            if copies.absent_since_s is None:
                copies.absent_since_s = now_s
            if now_s - copies.absent_since_s < ORPHANED_AFTER_S:
                continue
            for service, kept in copies.by_service.items():
                yield TakenOver(primary, service, tuple(k.group for k in kept))
            copies.by_service.clear()
            if now_s - copies.absent_since_s > KEEP_S:
                del self._copies[primary]

    def _acknowledge(self, primary: Primary, copies: _Copies) -> None:
        address = self._address_of(primary.entry_id)
        if address is None:
            copies.to_ack = copies.to_ack[-MAX_ACKED:]
            return
        numbers = tuple(copies.to_ack[:MAX_ACKED])
        copies.to_ack = []
        self._send(address, CopiesAck(self._entry_id, primary.started_s, numbers))


def _keep_group(copies: _Copies, group: StreamGroup, now_s: float) -> None:
    service = group.origin.service
    if group.endpoint_id is not None:
        doubt = _Doubt(now_s, service, group.endpoint_id)
        copies.doubts.update(dict.fromkeys(group.keys, doubt))
        while len(copies.doubts) > MAX_UNRESOLVED:
            del copies.doubts[next(iter(copies.doubts))]
        return
    if copies.doubts:
        for key in group.keys:
            copies.doubts.pop(key, None)
    new: collections.deque[_Kept] = collections.deque(maxlen=MAX_BATCHES)
    copies.by_service.setdefault(service, new).append(_Kept(now_s, group))


def _drop_old(copies: _Copies, now_s: float) -> None:
    for service, kept in list(copies.by_service.items()):
        while kept and now_s - kept[0].received_s > KEEP_S:
            kept.popleft()
        if not kept:
            del copies.by_service[service]
