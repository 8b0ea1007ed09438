"""Bounds on what a caller's body becomes, without I/O."""

import zlib

_WINDOW_BITS = {"gzip": 31, "x-gzip": 31, "deflate": 15}
_RAW_DEFLATE_BITS = -15
_PARSE_BYTES = 2_048
"""Memory of the parsing itself."""
_VALUE_BYTES = 64
"""Memory of an empty list, a short text or a key, with its place."""
_OBJECT_BYTES = 232
"""Memory of an object with a few keys."""
_WIDE_BYTES = 4
"""Bytes of a character in a text that has one beyond the 16-bit ones."""


class TooLargeError(ValueError):
    """A body unpacks to more than it may have."""


class UnpackError(ValueError):
    """A body isn't packed as it says."""


def unpack(raw: bytes, encoding: str, max_bytes: int) -> bytes:
    """Undo the content coding of a body, at most up to ``max_bytes``.

    :raises TooLargeError: if there is more.
    :raises UnpackError: if the coding is unknown, or the body is none of it.
    """
    coding = encoding.strip().lower()
    if coding in ("", "identity"):
        return raw
    bits = _WINDOW_BITS.get(coding)
    if bits is None:
        raise UnpackError(f"the body's encoding can't be read: {coding[:40]!r}")
    if coding == "deflate" and (not raw or raw[0] & 0x0F != zlib.DEFLATED):
        # Some clients leave out the header.
        bits = _RAW_DEFLATE_BITS
    unpacker = zlib.decompressobj(bits)
    try:
        body = unpacker.decompress(raw, max_bytes + 1)
    except zlib.error:
        raise UnpackError("the body's encoding can't be read") from None
    if len(body) > max_bytes:
        raise TooLargeError
    if not unpacker.eof:
        raise UnpackError("the body's encoding can't be read: it breaks off")
    return body


def parsed_json_bytes(raw: bytes) -> int:
    """Most memory that a JSON text takes while it is parsed and afterwards."""
    values = raw.count(b",") + raw.count(b"[") + raw.count(b":")
    objects = raw.count(b"{")
    text = len(raw) * (1 if raw.isascii() else _WIDE_BYTES)
    return _PARSE_BYTES + 2 * text + values * _VALUE_BYTES + objects * _OBJECT_BYTES
