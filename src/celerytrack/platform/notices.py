"""Headers by which endpoints say something of themselves in their answers."""

import datetime
import email.utils
import re
from collections.abc import Iterable

from multidict import CIMultiDict, CIMultiDictProxy

from celerytrack.notices.answer import (
    NO_NOTICES,
    AnswerNotices,
    NoticeKind,
    UnreadableNotice,
)

_LIMIT = "Server-Limit"
_BRITTLE = "Server-Brittle"
_LEAVING = "Server-Leaving"
_SAID = (_LIMIT, _BRITTLE, _LEAVING)
_RETRY_AFTER = "Retry-After"
_DATE = "Date"
_BACKOFF_STATUS = 503
"""Status of the answers whose ``Retry-After`` is about the endpoint: that of a 429 is
about whoever sent the request, and others redirect it."""

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")
_DATE_START = re.compile(r"[A-Za-z]{3,9},? ")
_MAX_DATE_CHARS = 60
_SHOWN_CHARS = 40
"""Characters of an unreadable value that the log shows."""


class NoticeError(ValueError):
    """A header cannot be decoded."""


def decode_notices(
    status: int, headers: "CIMultiDictProxy[str] | CIMultiDict[str]", now_unix_s: float
) -> AnswerNotices:
    """Decode what the head of an answer says of its endpoint.

    :param now_unix_s: the time of day, for a time that the answer gives as a date.
    """
    asks_backoff = status == _BACKOFF_STATUS and _RETRY_AFTER in headers
    if not asks_backoff and not any(name in headers for name in _SAID):
        return NO_NOTICES
    unreadable: list[UnreadableNotice] = []
    limit_per_s = bears_per_s = backoff_s = None
    leaving = False
    try:
        limit_per_s = _rate_per_s(headers.getall(_LIMIT, ()))
    except NoticeError as exc:
        unreadable.append(UnreadableNotice(NoticeKind.LIMIT, str(exc)))
    try:
        bears_per_s = _rate_per_s(headers.getall(_BRITTLE, ()))
    except NoticeError as exc:
        unreadable.append(UnreadableNotice(NoticeKind.BRITTLE, str(exc)))
    try:
        leaving = _is_leaving(headers.getall(_LEAVING, ()))
    except NoticeError as exc:
        unreadable.append(UnreadableNotice(NoticeKind.LEAVING, str(exc)))
    if asks_backoff:
        made_unix_s = _unix_s(headers.get(_DATE, ""))
        from_unix_s = now_unix_s if made_unix_s is None else made_unix_s
        try:
            backoff_s = _backoff_s(headers.getall(_RETRY_AFTER), from_unix_s)
        except NoticeError as exc:
            unreadable.append(UnreadableNotice(NoticeKind.BACKOFF, str(exc)))
    return AnswerNotices(
        limit_per_s, leaving, backoff_s, tuple(unreadable), bears_per_s
    )


def notice_headers(
    limit: str | None = None,
    leaving: bool = False,
    backoff: str | None = None,
    brittle: str | None = None,
) -> dict[str, str]:
    """The headers by which an endpoint says something of itself."""
    headers = {}
    if limit is not None:
        headers[_LIMIT] = limit
    if brittle is not None:
        headers[_BRITTLE] = brittle
    if leaving:
        headers[_LEAVING] = "1"
    if backoff is not None:
        headers[_RETRY_AFTER] = backoff
    return headers


def decode_limit(text: str) -> float:
    """Decode a rate limit, in requests or rejections a second.

    :raises NoticeError: if it is not a decimal number.
    """
    if not _DECIMAL.fullmatch(text.strip(" \t")):
        shown = text[:_SHOWN_CHARS]
        raise NoticeError(f"not a decimal number of requests a second: {shown!r}")
    return float(text)


def _rate_per_s(values: Iterable[str]) -> float | None:
    different = list(dict.fromkeys(values))
    # Two different values are unreadable: together they match no number.
    return decode_limit(",".join(different)) if different else None


def _is_leaving(values: Iterable[str]) -> bool:
    words = {word.strip(" \t") for value in values for word in value.split(",")}
    if "1" in words:
        return True
    if words <= {"0"}:
        return False
    raise NoticeError(f"neither 0 nor 1: {','.join(sorted(words))[:_SHOWN_CHARS]!r}")


def _backoff_s(values: Iterable[str], from_unix_s: float) -> float:
    """The longest of the times that are named.

    :raises NoticeError: if none is seconds or a date.
    """
    texts = [value.strip(" \t") for value in values]
    waits_s = [_wait_s(text, from_unix_s) for text in texts]
    readable_s = [wait_s for wait_s in waits_s if wait_s is not None]
    if not readable_s:
        shown = ",".join(texts)[:_SHOWN_CHARS]
        raise NoticeError(f"neither seconds nor a date: {shown!r}")
    return max(readable_s)


def _wait_s(text: str, from_unix_s: float) -> float | None:
    if _DECIMAL.fullmatch(text):
        return float(text)
    until_unix_s = _unix_s(text)
    return None if until_unix_s is None else max(0.0, until_unix_s - from_unix_s)


def _unix_s(date: str) -> float | None:
    if len(date) > _MAX_DATE_CHARS or not _DATE_START.match(date):
        return None
    try:
        parsed = email.utils.parsedate_to_datetime(date)
        if parsed.tzinfo is None:
            parsed = parsed.replace(tzinfo=datetime.UTC)
        return parsed.timestamp()
    except (ValueError, TypeError, OverflowError):
        return None
