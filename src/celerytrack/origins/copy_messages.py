"""Messages between entries about copies of what began streams.

A stream is named by its key alone: copies are sent for each stream that begins.
"""

from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from celerytrack.ids import EndpointId, EntryId, ServiceName
from celerytrack.origins.memory import KEY_BYTES, StreamKey
from celerytrack.origins.message_fields import (
    OriginMessageError,
    fault,
    name_of,
    number_of,
    origin_of,
    time_of,
)
from celerytrack.origins.origin import StreamOrigin

COPIES_KIND = "origin-copies"
ACK_KIND = "origin-copies-kept"
END_KIND = "origin-copies-end"
NEWS_KIND = "keyed-origins"
COPY_KINDS = frozenset({COPIES_KIND, ACK_KIND, END_KIND, NEWS_KIND})
MAX_KEYS = 64
"""Most streams in one message, which must fit a datagram."""
MAX_ACKED = 64
"""Most batches that one message acknowledges."""


@attrs.frozen
class BegunStream:
    """A stream that has begun.

    :ivar endpoint_id: the endpoint at which it began, if the version there was in
        doubt.
    """

    key: StreamKey
    origin: StreamOrigin
    endpoint_id: EndpointId | None = None


@attrs.frozen
class StreamGroup:
    """Streams that one version, or an endpoint in doubt, began."""

    origin: StreamOrigin
    keys: tuple[StreamKey, ...]
    endpoint_id: EndpointId | None = None

    def streams(self) -> Iterator[BegunStream]:
        """Each stream of the group."""
        return (BegunStream(key, self.origin, self.endpoint_id) for key in self.keys)


def group_streams(streams: Iterable[BegunStream]) -> tuple[StreamGroup, ...]:
    """Streams by what began them."""
    keys: dict[tuple[StreamOrigin, EndpointId | None], list[StreamKey]] = {}
    for stream in streams:
        keys.setdefault((stream.origin, stream.endpoint_id), []).append(stream.key)
    return tuple(
        StreamGroup(origin, tuple(found), endpoint_id)
        for (origin, endpoint_id), found in keys.items()
    )


@attrs.frozen
class OriginCopies:
    """What began some streams of an entry, which another one is to keep a copy of.

    :ivar primary: the entry at which they began.
    :ivar started_s: start of its incarnation.
    :ivar number: of the batch, which an acknowledgement repeats.
    """

    primary: EntryId
    started_s: float
    number: int
    groups: tuple[StreamGroup, ...]


@attrs.frozen
class CopiesAck:
    """The word of an entry that it keeps some batches of copies.

    :ivar started_s: start of the incarnation that sent them.
    """

    backup: EntryId
    started_s: float
    numbers: tuple[int, ...]


@attrs.frozen
class CopiesEnd:
    """The word of an entry that copies are no longer needed: the holders of a service's
    streams know what began them."""

    primary: EntryId
    started_s: float
    service: ServiceName


@attrs.frozen
class KeyedOriginNews:
    """What began some streams, from an entry that knows them by their keys alone."""

    groups: tuple[StreamGroup, ...]


CopyMessage = OriginCopies | CopiesAck | CopiesEnd | KeyedOriginNews


def copy_fields_of(message: CopyMessage) -> tuple[Any, ...]:
    """The fields that :func:`copy_message_of` reads."""
    match message:
        case OriginCopies(primary, started_s, number, groups):
            return (COPIES_KIND, primary, started_s, number, _rows_of(groups))
        case CopiesAck(backup, started_s, numbers):
            return (ACK_KIND, backup, started_s, numbers)
        case CopiesEnd(primary, started_s, service):
            return (END_KIND, primary, started_s, service)
        case KeyedOriginNews(groups):
            return (NEWS_KIND, _rows_of(groups))


def copy_message_of(fields: Any) -> CopyMessage:
    """Decode a message from unpacked ``fields``.

    :raises OriginMessageError: naming what is wrong.
    """
    match fields:
        case ["origin-copies", primary, started_s, number, list(rows)]:
            return OriginCopies(
                EntryId(name_of(primary)),
                time_of(started_s),
                number_of(number),
                _groups_of(rows),
            )
        case ["origin-copies-kept", backup, started_s, list(numbers)] if (
            len(numbers) <= MAX_ACKED
        ):
            kept = tuple(map(number_of, numbers))
            return CopiesAck(EntryId(name_of(backup)), time_of(started_s), kept)
        case ["origin-copies-end", primary, started_s, service]:
            name = ServiceName(name_of(service))
            return CopiesEnd(EntryId(name_of(primary)), time_of(started_s), name)
        case ["keyed-origins", list(rows)]:
            return KeyedOriginNews(_groups_of(rows))
    raise fault("not about copies", fields)


def _rows_of(groups: tuple[StreamGroup, ...]) -> list[tuple[Any, ...]]:
    rows = []
    for group in groups:
        origin = group.origin
        row = (origin.service, origin.version, b"".join(group.keys))
        rows.append(row if group.endpoint_id is None else (*row, group.endpoint_id))
    return rows


def _groups_of(rows: list[Any]) -> tuple[StreamGroup, ...]:
    # Each row has a key.
    if len(rows) > MAX_KEYS:
        raise OriginMessageError(f"{len(rows)} groups of streams")
    groups = tuple(map(_group_of, rows))
    if sum(len(group.keys) for group in groups) > MAX_KEYS:
        raise OriginMessageError(f"over {MAX_KEYS} streams")
    return groups


def _group_of(fields: Any) -> StreamGroup:
    match fields:
        case [service, version, bytes(data)]:
            return StreamGroup(origin_of(service, version), _keys_of(data))
        case [service, None, bytes(data), endpoint_id]:
            endpoint = EndpointId(name_of(endpoint_id))
            return StreamGroup(origin_of(service, None), _keys_of(data), endpoint)
    raise fault("not a group of streams", fields)


def _keys_of(data: bytes) -> tuple[StreamKey, ...]:
    if not 0 < len(data) <= MAX_KEYS * KEY_BYTES or len(data) % KEY_BYTES:
        raise OriginMessageError(f"no keys of streams: {len(data)} bytes")
    starts = range(0, len(data), KEY_BYTES)
    return tuple(StreamKey(data[at : at + KEY_BYTES]) for at in starts)
