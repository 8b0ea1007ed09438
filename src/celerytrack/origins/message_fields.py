"""Fields of messages about origins, read from what another entry sent."""

import math
from typing import Any

from celerytrack.ids import ServiceName
from celerytrack.origins.origin import StreamOrigin

MAX_NAME_CHARS = 256
MAX_SHOWN_CHARS = 100
"""Most characters of a faulty message that an error shows."""
_MAX_NUMBER = 2**63


class OriginMessageError(ValueError):
    """A message cannot be decoded."""


def fault(what: str, fields: Any) -> OriginMessageError:
    """The error that ``fields`` are not what they should be."""
    return OriginMessageError(f"{what}: {str(fields)[:MAX_SHOWN_CHARS]}")


def name_of(text: Any) -> str:
    """Read a name.

    :raises OriginMessageError: if it is none.
    """
    if not isinstance(text, str) or not 0 < len(text) <= MAX_NAME_CHARS:
        raise fault("not a name", text)
    return text


def number_of(number: Any) -> int:
    """Read a number that counts something.

    :raises OriginMessageError: if it is none.
    """
    if type(number) is not int or not 0 <= number < _MAX_NUMBER:
        raise fault("not a number", number)
    return number


def time_of(time_s: Any) -> float:
    """Read a time in seconds.

    :raises OriginMessageError: if it is none.
    """
    if not isinstance(time_s, float) or not math.isfinite(time_s):
        raise fault("not a time", time_s)
    return time_s


def version_of(version: Any) -> str:
    """Read a software version, which may be empty.

    :raises OriginMessageError: if it is none.
    """
    return "" if version == "" else name_of(version)


def origin_of(service: Any, version: Any) -> StreamOrigin:
    """Read an origin, whose version may not be known.

    :raises OriginMessageError: if it is none.
    """
    text = None if version is None else version_of(version)
    return StreamOrigin(ServiceName(name_of(service)), text)
