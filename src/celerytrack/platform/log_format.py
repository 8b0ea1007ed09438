"""How the platform's store writes records and answers: bytes to values."""

import base64
import re
import struct

import attrs

from celerytrack.eras import Era
from celerytrack.strict import (
    UnreadableError,
    parse_json,
    strict_converter,
    structure,
)

_END_AND_FIRST = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
ERA_HEADER = "Store-Era"
"""Tells in each answer how often the store came back from an older copy."""
_ERA = re.compile("[0-9]{1,18}")


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic; ``value`` is ``None`` if the key is dropped."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen
class Batch:
    """Records in the order of the log.

    :ivar next_offset: the offset to go on from.
    :ivar end: the offset behind the last record when the answer began; beyond
        ``next_offset`` if there was more than the answer held.
    :ivar era: the era of the log that the offsets belong to; ``None`` if not told.
    """

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end: int
    era: Era | None = None


@attrs.frozen
class _Appended:
    offset: int


@attrs.frozen
class _NewestEntry:
    key: str
    value: str
    offset: int


@attrs.frozen
class _NewestPage:
    entries: list[_NewestEntry]
    end: int
    hasMore: bool = False  # noqa: N815


@attrs.frozen
class Page:
    """One page of the newest records.

    :ivar end: the offset behind the last record.
    :ivar more: whether another page follows.
    """

    records: list[KeyedRecord]
    end: int
    more: bool


_converter = strict_converter(forbid_extra_keys=False)


def decode_era(value: str | None) -> Era | None:
    """The era that an answer tells; ``None`` if it tells none.

    :param value: of the header :data:`ERA_HEADER`.
    :raises UnreadableError: if it is no number.
    """
    if value is None:
        return None
    if _ERA.fullmatch(value) is None:
        raise UnreadableError(f"an era must be a whole number, found {value[:40]!r}")
    return Era(int(value))


def decode_appended(data: bytes) -> int:
    """The offset of what was appended.

    :raises UnreadableError: if the answer is none of the store's.
    """
    appended: _Appended = structure(_converter, parse_json(data), _Appended)
    return appended.offset


def decode_page(data: bytes) -> Page:
    """One page of the newest record of each key.

    :raises UnreadableError: if the answer is none of the store's.
    """
    page: _NewestPage = structure(_converter, parse_json(data), _NewestPage)
    if page.hasMore and not page.entries:
        # Asking on from nothing would go round for ever.
        raise UnreadableError("a page without entries says that there are more")
    records = [
        KeyedRecord(entry.offset, entry.key, _from_base64(entry.value))
        for entry in page.entries
    ]
    return Page(records, page.end, page.hasMore)


def _from_base64(value: str) -> bytes | None:
    try:
        return base64.b64decode(value) or None
    except ValueError as exc:
        raise UnreadableError(f"a value is not base64: {exc}") from None


def encode_keyed(key: str, value: bytes) -> bytes:
    """One record of a keyed topic as it goes over the wire."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(content)) + content


def decode_batch(offset: int, data: bytes) -> Batch:
    """The records that were read from ``offset`` on.

    :raises UnreadableError: if the answer is none of the store's.
    """
    records = []
    at = _END_AND_FIRST.size
    if len(data) < at:
        raise UnreadableError(f"{len(data)} bytes are no batch")
    end, _ = _END_AND_FIRST.unpack_from(data)
    while at < len(data):
        if len(data) < at + _LENGTH.size:
            raise UnreadableError("a batch ends within a length")
        (size,) = _LENGTH.unpack_from(data, at)
        at += _LENGTH.size
        content = data[at : at + size]
        at += size
        if len(content) < size or not content or size <= content[0]:
            raise UnreadableError("a batch ends within a record")
        key_end = 1 + content[0]
        # A key that is no text names nobody; the records behind it hold.
        key = content[1:key_end].decode(errors="replace")
        records.append(KeyedRecord(offset, key, content[key_end:] or None))
        offset += 1
    return Batch(tuple(records), offset, end)
