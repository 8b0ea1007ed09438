"""Messages between entries about the origins of streams."""

import math
from typing import Any

import attrs
import msgpack

from celerytrack.ids import AccountId, EndpointId, EntryId, RequestId, ServiceName
from celerytrack.origins.memory import FoundOrigin, StreamId
from celerytrack.origins.origin import StreamOrigin

NEWS_KIND = "stream-origins"
QUERY_KIND = "stream-origin?"
ANSWER_KIND = "stream-origin"
VERSION_QUERY_KIND = "versions?"
VERSION_NEWS_KIND = "versions"
SOLE_QUERY_KIND = "sole-version?"
SOLE_ANSWER_KIND = "sole-version"
ANNOUNCEMENT_KIND = "version?"
ACK_KIND = "version-known"
ENDED_KIND = "endpoint-ended"
_KINDS = frozenset(
    {
        NEWS_KIND,
        QUERY_KIND,
        ANSWER_KIND,
        VERSION_QUERY_KIND,
        VERSION_NEWS_KIND,
        SOLE_QUERY_KIND,
        SOLE_ANSWER_KIND,
        ANNOUNCEMENT_KIND,
        ACK_KIND,
        ENDED_KIND,
    }
)
MAX_ORIGINS = 12
"""Most origins or versions in one message, which must fit a datagram."""
MAX_NAME_CHARS = 256
_MAX_NUMBER = 2**63


@attrs.frozen
class OriginNews:
    """What began some streams."""

    origins: tuple[tuple[StreamId, StreamOrigin], ...]


@attrs.frozen
class OriginQuery:
    """A question what began a stream.

    :ivar number: the answer repeats it.
    """

    asker: EntryId
    number: int
    stream: StreamId


@attrs.frozen
class OriginAnswer:
    """The answer to a query.

    :ivar found: ``None`` if the entry that answers doesn't know.
    """

    entry_id: EntryId
    number: int
    found: FoundOrigin | None


@attrs.frozen
class VersionQuery:
    """The question of an entry that has just started which versions there were."""

    asker: EntryId


@attrs.frozen
class SeenVersion:
    """A version that endpoints of a service have, or had some time ago."""

    service: ServiceName
    version: str
    age_s: float


@attrs.frozen
class VersionNews:
    """Versions that another entry may not know of."""

    seen: tuple[SeenVersion, ...]


@attrs.frozen
class SoleVersionQuery:
    """A question whether a service has had one version only.

    :ivar number: the answer repeats it.
    :ivar passes_on: whether to ask all others before the answer, if need be.
    """

    asker: EntryId
    number: int
    service: ServiceName
    passes_on: bool


@attrs.frozen
class SoleVersionAnswer:
    """The answer to such a question.

    :ivar version: the only one; ``None`` if there were several, or it is not known.
    :ivar age_s: age of what supports that, at the answer.
    """

    entry_id: EntryId
    number: int
    version: str | None
    age_s: float


@attrs.frozen
class VersionAnnouncement:
    """A version that has just been read, which the other entry is to acknowledge."""

    asker: EntryId
    service: ServiceName
    version: str


@attrs.frozen
class VersionAck:
    """The word of an entry that it knows a version."""

    entry_id: EntryId
    service: ServiceName
    version: str


@attrs.frozen
class EndpointEnded:
    """An incarnation of an endpoint refuses connections: another may follow it.

    :ivar born_ms: start of the incarnation; 0 if unknown.
    """

    endpoint_id: EndpointId
    born_ms: int


OriginMessage = (
    OriginNews
    | OriginQuery
    | OriginAnswer
    | VersionQuery
    | VersionNews
    | SoleVersionQuery
    | SoleVersionAnswer
    | VersionAnnouncement
    | VersionAck
    | EndpointEnded
)


class OriginMessageError(ValueError):
    """A message cannot be decoded."""


def encode_origin_message(message: OriginMessage) -> bytes:
    """The bytes whose fields :func:`origin_message_of` reads."""
    match message:
        case OriginNews(origins):
            rows = [
                (s.account or "", s.request_id, o.service, o.version)
                for s, o in origins
            ]
            fields: tuple[Any, ...] = (NEWS_KIND, rows)
        case OriginQuery(asker, number, stream):
            account = stream.account or ""
            fields = (QUERY_KIND, asker, number, account, stream.request_id)
        case OriginAnswer(entry_id, number, found):
            row = None
            if found is not None:
                origin = found.origin
                row = (origin.service, origin.version, found.age_s)
            fields = (ANSWER_KIND, entry_id, number, row)
        case VersionQuery(asker):
            fields = (VERSION_QUERY_KIND, asker)
        case VersionNews(seen):
            names = [(s.service, s.version, s.age_s) for s in seen]
            fields = (VERSION_NEWS_KIND, names)
        case SoleVersionQuery(asker, number, service, passes_on):
            fields = (SOLE_QUERY_KIND, asker, number, service, passes_on)
        case SoleVersionAnswer(entry_id, number, version, age_s):
            fields = (SOLE_ANSWER_KIND, entry_id, number, version, age_s)
        case VersionAnnouncement(asker, service, version):
            fields = (ANNOUNCEMENT_KIND, asker, service, version)
        case VersionAck(entry_id, service, version):
            fields = (ACK_KIND, entry_id, service, version)
        case EndpointEnded(endpoint_id, born_ms):
            fields = (ENDED_KIND, endpoint_id, born_ms)
    return bytes(msgpack.packb(fields))


def is_origin_message(fields: Any) -> bool:
    """Whether unpacked ``fields`` are meant as a message about origins."""
    if not isinstance(fields, list) or not fields or not isinstance(fields[0], str):
        return False
    return fields[0] in _KINDS


def origin_message_of(fields: Any) -> OriginMessage:
    """Decode a message from unpacked ``fields``.

    :raises OriginMessageError: naming what is wrong.
    """
    match fields:
        case ["stream-origins", list(rows)] if len(rows) <= MAX_ORIGINS:
            return OriginNews(tuple(map(_named_origin, rows)))
        case ["stream-origin?", asker, number, account, request_id]:
            stream = _stream(account, request_id)
            return OriginQuery(EntryId(_name(asker)), _number(number), stream)
        case ["stream-origin", entry_id, number, found]:
            known = None if found is None else _found(found)
            return OriginAnswer(EntryId(_name(entry_id)), _number(number), known)
        case ["versions?", asker]:
            return VersionQuery(EntryId(_name(asker)))
        case ["versions", list(rows)] if len(rows) <= MAX_ORIGINS:
            return VersionNews(tuple(map(_seen, rows)))
        case ["sole-version?", asker, number, service, bool(passes_on)]:
            name = ServiceName(_name(service))
            return SoleVersionQuery(
                EntryId(_name(asker)), _number(number), name, passes_on
            )
        case ["sole-version", entry_id, number, version, float(age_s)] if (
            0 <= age_s < math.inf
        ):
            text = None if version is None else _version(version)
            return SoleVersionAnswer(
                EntryId(_name(entry_id)), _number(number), text, age_s
            )
        case ["version?", asker, service, version]:
            name = ServiceName(_name(service))
            return VersionAnnouncement(EntryId(_name(asker)), name, _version(version))
        case ["version-known", entry_id, service, version]:
            name = ServiceName(_name(service))
            return VersionAck(EntryId(_name(entry_id)), name, _version(version))
        case ["endpoint-ended", endpoint_id, born_ms]:
            return EndpointEnded(EndpointId(_name(endpoint_id)), _number(born_ms))
    raise OriginMessageError(f"not about origins: {str(fields)[:100]}")


def _named_origin(fields: Any) -> tuple[StreamId, StreamOrigin]:
    match fields:
        case [account, request_id, service, version]:
            return _stream(account, request_id), _origin(service, version)
    raise OriginMessageError(f"not an origin: {str(fields)[:100]}")


def _found(fields: Any) -> FoundOrigin:
    match fields:
        case [service, version, float(age_s)] if 0 <= age_s < math.inf:
            return FoundOrigin(_origin(service, version), age_s)
    raise OriginMessageError(f"not an origin: {str(fields)[:100]}")


def _seen(fields: Any) -> SeenVersion:
    found = _found(fields)
    if found.origin.version is None:
        raise OriginMessageError(f"not a version: {str(fields)[:100]}")
    return SeenVersion(found.origin.service, found.origin.version, found.age_s)


def _stream(account: Any, request_id: Any) -> StreamId:
    owner = None if account == "" else AccountId(_name(account))
    return StreamId(owner, RequestId(_name(request_id)))


def _origin(service: Any, version: Any) -> StreamOrigin:
    text = None if version is None else _version(version)
    return StreamOrigin(ServiceName(_name(service)), text)


def _version(version: Any) -> str:
    return "" if version == "" else _name(version)


def _number(number: Any) -> int:
    if type(number) is not int or not 0 <= number < _MAX_NUMBER:
        raise OriginMessageError(f"not a number: {str(number)[:100]}")
    return number


def _name(text: Any) -> str:
    if not isinstance(text, str) or not 0 < len(text) <= MAX_NAME_CHARS:
        raise OriginMessageError(f"not a name: {str(text)[:100]}")
    return text
