"""Writes heads of answers whose values hold bytes that are no text."""

import re

from aiohttp.http_writer import StreamWriter
from multidict import CIMultiDict

from celerytrack.strict import is_encodable

_CONTROL = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")


class HeadWriter(StreamWriter):
    """Writes one answer to a caller, and the bytes of its head unchanged.

    The library leaves bytes out that it decoded with ``surrogateescape``, or raises an
    error.
    """

    async def write_headers(
        self, status_line: str, headers: "CIMultiDict[str]"
    ) -> None:
        """Write the head.

        :raises ValueError: if it holds control characters.
        """
        if all(map(is_encodable, headers.values())):
            await super().write_headers(status_line, headers)
            return
        lines = [status_line, *(f"{name}: {value}" for name, value in headers.items())]
        if any(map(_CONTROL.search, lines)):
            raise ValueError("a head holds a control character")
        text = "".join(f"{line}\r\n" for line in (*lines, ""))
        self._headers_written = False
        self._headers_buf = text.encode("utf-8", "surrogateescape")
