"""The heads of answers: which bytes are one, without I/O.

All answers are judged here before the library parses them: of endpoints, of other
entries, of the log, and of checks. The library's parser is lenient to servers: it takes
a status below 100, control bytes in values, a blank before a colon, and codings of a
body that it doesn't know.
"""

import re

import attrs

SWITCHING_PROTOCOLS = 101
"""The only interim status after which no other head follows; no request asks for it."""
STATUSES_WITHOUT_BODY = frozenset({204, 304})
MAX_INTERIM_ANSWERS = 100
"""Most interim answers before the final one."""
MAX_LENGTH_DIGITS = 18
"""Most digits of a body's length: within 63 bits."""

_HEAD_END = re.compile(rb"\n\r?\n")
_EMPTY_LINES = re.compile(rb"[\r\n]+")
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_NAME = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_STATUS_LINE = re.compile(rb"HTTP/(1\.[01]) ([1-5][0-9][0-9])(?: " + _TEXT + rb")?\r?")
_FIELD_NAME = re.compile(_NAME)
_HEAD = re.compile(_STATUS_LINE.pattern + rb"(?:\n" + _NAME + rb":" + _TEXT + rb"\r?)*")
_CONTROL = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_LENGTH = re.compile(rb"[0-9]{1,%d}" % MAX_LENGTH_DIGITS)
_PROTOCOL = b"HTTP/1."
_SHOWN_BYTES = 40
"""Bytes of a broken head that an error shows."""


class BrokenHeadError(ValueError):
    """Bytes are no head of an answer."""


@attrs.frozen
class AnswerHead:
    """The head of one answer.

    :ivar status: from 100 to 599.
    :ivar lines: its fields, in order.
    :ivar is_chunked: whether the body comes in chunks.
    :ivar length_bytes: the length that it states.
    """

    status: int
    lines: list[bytes]
    is_chunked: bool
    length_bytes: int | None

    @property
    def is_interim(self) -> bool:
        """Whether another head follows for the same request."""
        return self.status < 200

    @property
    def body_bytes(self) -> int | None:
        """Length of the body; ``None`` if chunks or the connection's end tell it."""
        return 0 if self.status in STATUSES_WITHOUT_BODY else self.length_bytes

    def values(self, name: bytes) -> list[bytes]:
        """The values of the field with a lower-case name."""
        return _values(self.lines, name)


def _values(lines: list[bytes], name: bytes) -> list[bytes]:
    start = name + b":"
    count = len(start)
    return [
        line[count:].strip(b" \t\r") for line in lines if line[:count].lower() == start
    ]


def parse_head(head: bytes) -> AnswerHead:
    """Parse a head.

    :param head: its lines, which end by CRLF or LF, without the empty one.
    :raises BrokenHeadError: naming what is wrong.
    """
    match = _HEAD.fullmatch(head)
    if match is None:
        raise _error_of(head)
    status = int(match[2])
    if status == SWITCHING_PROTOCOLS:
        raise BrokenHeadError("a switch of protocols that no request asked for")
    lines = head.split(b"\n")[1:]
    codings = _values(lines, b"transfer-encoding")
    lengths = _values(lines, b"content-length")
    _check_framing(codings, lengths, match[1])
    length_bytes = int(lengths[0]) if lengths else None
    return AnswerHead(status, lines, bool(codings), length_bytes)


def _error_of(head: bytes) -> BrokenHeadError:
    """What is wrong with the lines of a head."""
    first, *lines = head.split(b"\n")
    if _STATUS_LINE.fullmatch(first) is None:
        return BrokenHeadError(f"no status line: {_shown(first)}")
    for line in lines:
        name, colon, value = line.removesuffix(b"\r").partition(b":")
        if not colon or _FIELD_NAME.fullmatch(name) is None:
            return BrokenHeadError(f"no name of a field: {_shown(line)}")
        if (control := _CONTROL.search(value)) is not None:
            byte = control[0].hex()
            return BrokenHeadError(f"byte {byte} in the value of {_shown(name)}")
    return BrokenHeadError(f"no head: {_shown(head)}")


def _check_framing(codings: list[bytes], lengths: list[bytes], version: bytes) -> None:
    """Check that it is clear where the body ends, and that it comes as it is."""
    if codings:
        if [coding.lower() for coding in codings] != [b"chunked"]:
            shown = _shown(b", ".join(codings))
            raise BrokenHeadError(f"a body in another coding: {shown}")
        if lengths or version == b"1.0":
            raise BrokenHeadError("chunks with a length, or of HTTP/1.0")
    if lengths and (len(lengths) > 1 or _LENGTH.fullmatch(lengths[0]) is None):
        raise BrokenHeadError(f"no length: {_shown(b', '.join(lengths))}")


def _shown(data: bytes) -> str:
    return repr(data[:_SHOWN_BYTES])


@attrs.frozen
class WholeHead:
    """The head of a final answer, and what came with it.

    :ivar raw: its bytes, the empty line included.
    :ivar body: the bytes behind it.
    """

    head: AnswerHead
    raw: bytes
    body: bytes


class HeadReader:
    """Reads up to the end of the head of one final answer.

    :param max_bytes: most bytes of it and of the interim answers before it.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._searched = 0
        self._dropped_bytes = 0
        self._interim_answers = 0

    @property
    def has_begun(self) -> bool:
        """Whether a head has begun that isn't whole."""
        return bool(self._data)

    def feed(self, data: bytes) -> WholeHead | None:
        """Take bytes.

        :returns: the final head, once it is whole; interim answers are left out.
        :raises BrokenHeadError: if it is none, or too long.
        """
        self._data += data
        while True:
            self._drop(_EMPTY_LINES.match(self._data))
            end = _HEAD_END.search(self._data, self._searched)
            if end is None or self._dropped_bytes + end.end() > self._max_bytes:
                self._check_beginning()
                return None
            head = parse_head(bytes(self._data[: end.start()]))
            if not head.is_interim:
                raw, body = self._data[: end.end()], self._data[end.end() :]
                self._data.clear()
                return WholeHead(head, bytes(raw), bytes(body))
            self._drop(end)
            self._count_interim()

    def _drop(self, match: re.Match[bytes] | None) -> None:
        """Drop the bytes up to the end of ``match``."""
        if match is not None and match.end():
            self._dropped_bytes += match.end()
            del self._data[: match.end()]
            self._searched = 0

    def _count_interim(self) -> None:
        self._interim_answers += 1
        if self._interim_answers > MAX_INTERIM_ANSWERS:
            raise BrokenHeadError("too many interim answers")

    def _check_beginning(self) -> None:
        """Check what may become a head."""
        if self._dropped_bytes + len(self._data) > self._max_bytes:
            raise BrokenHeadError("a head is too long")
        if not self._data.startswith(_PROTOCOL[: len(self._data)]):
            raise BrokenHeadError(f"no status line: {_shown(bytes(self._data))}")
        # The end of the head may begin with the last bytes.
        self._searched = max(0, len(self._data) - 2)
