"""Messages between entries about the origins of streams."""

import math
from typing import Any

import attrs
import msgpack

from celerytrack.ids import AccountId, EndpointId, EntryId, RequestId, ServiceName
from celerytrack.origins.copy_messages import (
    COPY_KINDS,
    CopiesAck,
    CopiesEnd,
    CopyMessage,
    KeyedOriginNews,
    OriginCopies,
    copy_fields_of,
    copy_message_of,
)
from celerytrack.origins.memory import FoundOrigin, StreamId
from celerytrack.origins.message_fields import (
    fault,
    name_of,
    number_of,
    origin_of,
    version_of,
)
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
        *COPY_KINDS,
    }
)
MAX_ORIGINS = 12
"""Most origins or versions in one message, which must fit a datagram."""


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
    | CopyMessage
)


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
        case OriginCopies() | CopiesAck() | CopiesEnd() | KeyedOriginNews():
            fields = copy_fields_of(message)
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
        case [str(kind), *_] if kind in COPY_KINDS:
            return copy_message_of(fields)
        case ["stream-origins", list(rows)] if len(rows) <= MAX_ORIGINS:
            return OriginNews(tuple(map(_named_origin, rows)))
        case ["stream-origin?", asker, number, account, request_id]:
            stream = _stream(account, request_id)
            return OriginQuery(EntryId(name_of(asker)), number_of(number), stream)
        case ["stream-origin", entry_id, number, found]:
            known = None if found is None else _found(found)
            return OriginAnswer(EntryId(name_of(entry_id)), number_of(number), known)
        case ["versions?", asker]:
            return VersionQuery(EntryId(name_of(asker)))
        case ["versions", list(rows)] if len(rows) <= MAX_ORIGINS:
            return VersionNews(tuple(map(_seen, rows)))
        case ["sole-version?", asker, number, service, bool(passes_on)]:
            name = ServiceName(name_of(service))
            return SoleVersionQuery(
                EntryId(name_of(asker)), number_of(number), name, passes_on
            )
        case ["sole-version", entry_id, number, version, float(age_s)] if (
            0 <= age_s < math.inf
        ):
            text = None if version is None else version_of(version)
            return SoleVersionAnswer(
                EntryId(name_of(entry_id)), number_of(number), text, age_s
            )
        case ["version?", asker, service, version]:
            name = ServiceName(name_of(service))
            return VersionAnnouncement(
                EntryId(name_of(asker)), name, version_of(version)
            )
        case ["version-known", entry_id, service, version]:
            name = ServiceName(name_of(service))
            return VersionAck(EntryId(name_of(entry_id)), name, version_of(version))
        case ["endpoint-ended", endpoint_id, born_ms]:
            return EndpointEnded(EndpointId(name_of(endpoint_id)), number_of(born_ms))
    raise fault("not about origins", fields)


def _named_origin(fields: Any) -> tuple[StreamId, StreamOrigin]:
    match fields:
        case [account, request_id, service, version]:
            return _stream(account, request_id), origin_of(service, version)
    raise fault("not an origin", fields)


def _found(fields: Any) -> FoundOrigin:
    match fields:
        case [service, version, float(age_s)] if 0 <= age_s < math.inf:
            return FoundOrigin(origin_of(service, version), age_s)
    raise fault("not an origin", fields)


def _seen(fields: Any) -> SeenVersion:
    found = _found(fields)
    if found.origin.version is None:
        raise fault("not a version", fields)
    return SeenVersion(found.origin.service, found.origin.version, found.age_s)


def _stream(account: Any, request_id: Any) -> StreamId:
    owner = None if account == "" else AccountId(name_of(account))
    return StreamId(owner, RequestId(name_of(request_id)))
