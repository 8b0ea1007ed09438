"""Messages between entries about what endpoints say of themselves."""

import math
from typing import Any

import attrs
import msgpack

from celerytrack.ids import EndpointId
from celerytrack.limits.messages import (
    MAX_REPORTS,
    LimitMessage,
    LimitMessageError,
    decode_number,
    decode_text,
    encode_limit_message,
    is_limit_message,
    limit_message_of,
)
from celerytrack.notices.leaving import LeavingReport

LEAVING_KIND = "endpoints-leaving"


@attrs.frozen
class LeavingNews:
    """Endpoints that leave, as the sender knows.

    :ivar sender: peer address of the entry that tells it.
    """

    sender: str
    reports: tuple[LeavingReport, ...]


NoticeMessage = LimitMessage | LeavingNews


class NoticeMessageError(ValueError):
    """A message cannot be decoded."""


def encode_notice_message(message: NoticeMessage) -> bytes:
    """The bytes whose fields :func:`notice_message_of` reads."""
    if not isinstance(message, LeavingNews):
        return encode_limit_message(message)
    reports = [(r.endpoint_id, r.born_ms, r.age_s) for r in message.reports]
    return bytes(msgpack.packb((LEAVING_KIND, message.sender, reports)))


def is_notice_message(fields: Any) -> bool:
    """Whether unpacked ``fields`` are meant as a message about endpoints."""
    if is_limit_message(fields):
        return True
    return isinstance(fields, list) and bool(fields) and fields[0] == LEAVING_KIND


def notice_message_of(fields: Any) -> NoticeMessage:
    """Decode a message from unpacked ``fields``.

    :raises NoticeMessageError: naming what is wrong.
    """
    try:
        match fields:
            case ["endpoints-leaving", str(sender), list(reports)] if (
                len(reports) <= MAX_REPORTS
            ):
                decoded = tuple(_leaving_report(item) for item in reports)
                return LeavingNews(decode_text(sender), decoded)
        return limit_message_of(fields)
    except LimitMessageError as exc:
        raise NoticeMessageError(str(exc)) from None


def _leaving_report(fields: Any) -> LeavingReport:
    match fields:
        case [str(endpoint_id), int(born_ms), age_s] if born_ms >= 0:
            name = EndpointId(decode_text(endpoint_id))
            return LeavingReport(name, born_ms, decode_number(age_s, math.inf, "age"))
    raise NoticeMessageError(f"not a report of a leaving: {str(fields)[:100]}")
