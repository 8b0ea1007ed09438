"""Wire format of the records and answers of the platform's store."""

import base64
import re
import struct
from typing import Any

import attrs
from attrs import validators as v

from celerytrack.eras import Era
from celerytrack.strict import (
    UnreadableError,
    is_encodable,
    parse_json,
    strict_converter,
    structure,
)

_BATCH_HEADER = struct.Struct(">QQ")
_LENGTH = struct.Struct(">I")
ERA_HEADER = "Store-Era"
"""Header of each answer: how often the log was restored from an older backup."""
_ERA_DIGITS = re.compile("[0-9]{1,18}")


@attrs.frozen
class KeyedRecord:
    """One record of a keyed topic; ``value`` is ``None`` if the key was deleted."""

    offset: int
    key: str
    value: bytes | None


@attrs.frozen
class Batch:
    """Records in the order of the log.

    :ivar next_offset: the offset to continue from.
    :ivar end: the offset after the last record of the log when the answer began;
        beyond ``next_offset`` if the answer did not hold all records.
    :ivar era: the era of the log that the offsets belong to; ``None`` if unknown.
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
    key: Any = attrs.field(validator=v.instance_of(str))
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

    :ivar end: the offset after the last record.
    :ivar next_after: the key after which another page follows; ``None`` if none does.
    """

    records: list[KeyedRecord]
    end: int
    next_after: str | None


_converter = strict_converter(forbid_extra_keys=False)


def decode_era(value: str | None) -> Era | None:
    """Decode the era of an answer; ``None`` if the header is missing.

    :param value: value of the header :data:`ERA_HEADER`.
    :raises UnreadableError: if it is not a whole number.
    """
    if value is None:
        return None
    if _ERA_DIGITS.fullmatch(value) is None:
        raise UnreadableError(f"an era must be a whole number, found {value[:40]!r}")
    return Era(int(value))


def decode_appended(data: bytes) -> int:
    """Decode the offset of an appended record.

    :raises UnreadableError: if the answer is not in the store's format.
    """
    appended: _Appended = structure(_converter, parse_json(data), _Appended)
    return appended.offset


def check_confirmed(data: bytes) -> None:
    """Check the answer to a call that appends nothing: it is empty, or an object.

    :raises UnreadableError: if it stops in its middle.
    """
    if data and not isinstance(parse_json(data), dict):
        raise UnreadableError("an answer must be an object")


def decode_page(data: bytes) -> Page:
    """Decode one page of the newest record of each key.

    :raises UnreadableError: if the answer is not in the store's format.
    """
    # The key of one record must not hide the others: it is read whatever it holds.
    document = parse_json(data.decode(errors="surrogateescape"))
    page: _NewestPage = structure(_converter, document, _NewestPage)
    records = [
        KeyedRecord(entry.offset, _readable_key(entry.key), _from_base64(entry.value))
        for entry in page.entries
    ]
    return Page(records, page.end, _next_after(page))


def _next_after(page: _NewestPage) -> str | None:
    """The last key of a page that can be asked for; the keys after it come again."""
    if not page.hasMore:
        return None
    for entry in reversed(page.entries):
        if is_encodable(entry.key):
            return str(entry.key)
    # Without a key to ask for the next page after, paging would never end.
    raise UnreadableError("a page without a readable key has hasMore set")


def _readable_key(key: str) -> str:
    """A key as :func:`decode_batch` reads it."""
    if is_encodable(key):
        return key
    return key.encode(errors="surrogatepass").decode(errors="replace")


def _from_base64(value: str) -> bytes | None:
    try:
        return base64.b64decode(value) or None
    except ValueError as exc:
        raise UnreadableError(f"a value is not base64: {exc}") from None


def encode_keyed(key: str, value: bytes) -> bytes:
    """Encode one record of a keyed topic."""
    name = key.encode()
    content = bytes([len(name)]) + name + value
    return _LENGTH.pack(len(content)) + content


def decode_batch(offset: int, data: bytes) -> Batch:
    """Decode the records read from ``offset`` on.

    :raises UnreadableError: if the answer is not in the store's format.
    """
    records = []
    at = _BATCH_HEADER.size
    if len(data) < at:
        raise UnreadableError(
            f"a batch must have {at} bytes or more, found {len(data)}"
        )
    end, _ = _BATCH_HEADER.unpack_from(data)
    while at < len(data):
        if len(data) < at + _LENGTH.size:
            raise UnreadableError("a batch ends inside a length field")
        (size,) = _LENGTH.unpack_from(data, at)
        at += _LENGTH.size
        content = data[at : at + size]
        at += size
        if len(content) < size or not content or size <= content[0]:
            raise UnreadableError("a batch ends inside a record")
        key_end = 1 + content[0]
        # A key that is not UTF-8 matches no known key; the records after it are valid.
        key = content[1:key_end].decode(errors="replace")
        records.append(KeyedRecord(offset, key, content[key_end:] or None))
        offset += 1
    return Batch(tuple(records), offset, end)
