"""The message by which an entry tells the others to which services its links are
down."""

from typing import Any

import attrs
import msgpack

from celerytrack.ids import EntryId, ServiceName

LINKS_KIND = "links-down"
MAX_SERVICES = 256
"""Most services in one message, which must fit a datagram."""
_MAX_NAME_CHARS = 128


@attrs.frozen
class LinkNews:
    """The services to which the links of an entry are down; none if all are up again.

    :ivar started_s: start of the entry's incarnation, on its monotonic clock.
    :ivar number: grows with each message of an incarnation.
    """

    entry_id: EntryId
    started_s: float
    number: int
    services: frozenset[ServiceName]


class LinkNewsError(ValueError):
    """A message cannot be decoded."""


def encode_link_news(news: LinkNews) -> bytes:
    """The bytes whose fields :func:`link_news_of` reads."""
    services = sorted(news.services)[:MAX_SERVICES]
    fields = (LINKS_KIND, news.entry_id, news.started_s, news.number, services)
    return bytes(msgpack.packb(fields))


def is_link_news(fields: Any) -> bool:
    """Whether unpacked ``fields`` are meant as news of links."""
    return isinstance(fields, list) and bool(fields) and fields[0] == LINKS_KIND


def link_news_of(fields: Any) -> LinkNews:
    """Decode a message from unpacked ``fields``.

    :raises LinkNewsError: naming what is wrong.
    """
    match fields:
        case ["links-down", str(entry_id), float(started_s), int(number), list(names)]:
            if len(names) > MAX_SERVICES or number < 0 or type(number) is bool:
                raise LinkNewsError(f"not news of links: {str(fields)[:100]}")
            services = frozenset(ServiceName(_name(name)) for name in names)
            return LinkNews(EntryId(_name(entry_id)), started_s, number, services)
    raise LinkNewsError(f"not news of links: {str(fields)[:100]}")


def _name(text: Any) -> str:
    if not isinstance(text, str) or not 0 < len(text) <= _MAX_NAME_CHARS:
        raise LinkNewsError(f"not a name: {str(text)[:100]}")
    return text
