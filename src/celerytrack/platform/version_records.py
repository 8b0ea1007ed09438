"""Byte format of the records of services' software versions in the platform's store."""

import msgpack

from celerytrack.ids import ServiceName
from celerytrack.origins.recorded import ServiceVersion

MAX_TEXT_CHARS = 1_000


class VersionRecordError(ValueError):
    """A record of a version cannot be decoded."""


def encode_version(subject: ServiceVersion) -> bytes:
    """The bytes that :func:`decode_version` reads."""
    return bytes(msgpack.packb((subject.service, subject.version)))


def decode_version(raw: bytes) -> ServiceVersion:
    """Decode one record.

    :raises VersionRecordError: naming what is wrong.
    """
    try:
        fields = msgpack.unpackb(raw)
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as exc:
        raise VersionRecordError(f"{type(exc).__name__}: {exc}") from None
    match fields:
        case [str(service), str(version)] if 0 < len(service) <= MAX_TEXT_CHARS:
            if len(version) <= MAX_TEXT_CHARS:
                return ServiceVersion(ServiceName(service), version)
    raise VersionRecordError(f"not a version: {str(fields)[:100]}")
