"""Messages between entries about limited endpoints, and their byte format."""

import math
from typing import Any

import attrs
import msgpack

from celerytrack.ids import EndpointId
from celerytrack.limits.leases import LeaseDecision, LeaseDenied, LeaseGranted
from celerytrack.limits.room import LeaseOutcome
from celerytrack.limits.tracker import LimitReport

ASK_KIND = "lease"
REPLY_KIND = "leased"
RETURN_KIND = "unlease"
END_KIND = "lease-end"
NEWS_KIND = "limits"
HANDOVER_KIND = "limit-owner"
REJECTION_KIND = "rejected"
CHECK_KIND = "check"
CHECK_REPLY_KIND = "checked"

MAX_LIMIT_PER_S = 1e9
MAX_PRIORITY = 1_000
MAX_WAIT_S = 60.0
MAX_COUNT = 1_000
"""Most requests that one lease may cover."""
MAX_TEXT_CHARS = 200
"""Longest id or address; longer ones would fill an entry's memory."""
MAX_REPORTS = 20
"""Most reports in one message, so that it fits into one datagram."""


@attrs.frozen
class LeaseAsk:
    """A request to the owner of a limited endpoint for a lease.

    :ivar sender: peer address of the entry that asks.
    :ivar nonce: identifies the request at the sender.
    :ivar report: what the sender knows of the limit.
    """

    sender: str
    nonce: int
    report: LimitReport
    priority: int
    max_wait_s: float
    count: int = 1


@attrs.frozen
class LeaseReply:
    """The owner's decision.

    :ivar report: what the owner knows of the limit.
    """

    nonce: int
    decision: LeaseDecision
    report: LimitReport | None = None


@attrs.frozen
class LeaseReturn:
    """Leases of an earlier request are not used, or no longer waited for."""

    sender: str
    nonce: int
    endpoint_id: EndpointId
    count: int = 1


@attrs.frozen
class LeaseEnd:
    """The request of a lease for a brittle endpoint has ended.

    :ivar oldest_nonce: none older is in progress or asked for by the sender, whose
        reports of their ends may be lost.
    """

    sender: str
    nonce: int
    endpoint_id: EndpointId
    outcome: LeaseOutcome
    oldest_nonce: int


@attrs.frozen
class LimitNews:
    """What the sender knows of some limits."""

    sender: str
    reports: tuple[LimitReport, ...]


@attrs.frozen
class OwnerHandover:
    """The sender no longer owns an endpoint; the receiver does.

    :ivar tokens: tokens left in the bucket; of a brittle endpoint, leases that may be
        granted at once.
    """

    report: LimitReport
    tokens: float


@attrs.frozen
class Rejection:
    """A brittle endpoint turned a request of the sender away."""

    sender: str
    endpoint_id: EndpointId


@attrs.frozen
class PeerCheck:
    """The sender asks whether the receiver hears it."""

    sender: str


@attrs.frozen
class PeerReply:
    """The sender heard a check of the receiver."""

    sender: str


LimitMessage = (
    LeaseAsk
    | LeaseReply
    | LeaseReturn
    | LeaseEnd
    | LimitNews
    | OwnerHandover
    | Rejection
    | PeerCheck
    | PeerReply
)


class LimitMessageError(ValueError):
    """A message cannot be decoded."""


def encode_limit_message(message: LimitMessage) -> bytes:
    """The bytes whose fields :func:`limit_message_of` reads."""
    return bytes(msgpack.packb(_fields(message)))


def _fields(message: LimitMessage) -> tuple[Any, ...]:
    fields: tuple[Any, ...]
    match message:
        case LeaseAsk(sender, nonce, report, priority, max_wait_s, count):
            fields = _report_fields(report)
            return (ASK_KIND, sender, nonce, fields, priority, max_wait_s, count)
        case LeaseReply(nonce, decision, known):
            granted, retry_after_s = 0, 0.0
            if isinstance(decision, LeaseGranted):
                granted = decision.count
            else:
                retry_after_s = decision.retry_after_s
            fields = _report_fields(known) if known else ()
            return (REPLY_KIND, nonce, granted, retry_after_s, fields)
        case LeaseReturn(sender, nonce, endpoint_id, count):
            return (RETURN_KIND, sender, nonce, endpoint_id, count)
        case LeaseEnd(sender, nonce, endpoint_id, outcome, oldest_nonce):
            return (END_KIND, sender, nonce, endpoint_id, outcome.value, oldest_nonce)
        case LimitNews(sender, reports):
            return (NEWS_KIND, sender, [_report_fields(r) for r in reports])
        case OwnerHandover(report, tokens):
            return (HANDOVER_KIND, _report_fields(report), tokens)
        case Rejection(sender, endpoint_id):
            return (REJECTION_KIND, sender, endpoint_id)
        case PeerCheck(sender):
            return (CHECK_KIND, sender)
        case PeerReply(sender):
            return (CHECK_REPLY_KIND, sender)


def _report_fields(report: LimitReport) -> tuple[Any, ...]:
    fields = (
        report.endpoint_id,
        report.born_ms,
        report.limit_per_s,
        report.named_age_s,
        report.absent_age_s,
    )
    # Earlier releases read five fields, and know no brittle endpoints.
    return fields if report.bears_per_s is None else (*fields, report.bears_per_s)


_KINDS = (
    ASK_KIND,
    REPLY_KIND,
    RETURN_KIND,
    END_KIND,
    NEWS_KIND,
    HANDOVER_KIND,
    REJECTION_KIND,
    CHECK_KIND,
    CHECK_REPLY_KIND,
)


def is_limit_message(fields: Any) -> bool:
    """Whether unpacked ``fields`` are meant as a message about limits."""
    return isinstance(fields, list) and bool(fields) and fields[0] in _KINDS


def limit_message_of(fields: Any) -> LimitMessage:
    """Decode a message from unpacked ``fields``.

    :raises LimitMessageError: naming what is wrong.
    """
    match fields:
        case ["lease", str(sender), int(nonce), report, int(priority), wait_s, count]:
            return LeaseAsk(
                decode_text(sender),
                nonce,
                _report(report),
                int(decode_number(priority, MAX_PRIORITY, "priority")),
                decode_number(wait_s, MAX_WAIT_S, "wait"),
                int(decode_number(count, MAX_COUNT, "count")),
            )
        case ["leased", int(nonce), granted, retry_after_s, list(report)]:
            count = int(decode_number(granted, MAX_COUNT, "count"))
            wait_s = decode_number(retry_after_s, MAX_LIMIT_PER_S, "wait")
            return LeaseReply(
                nonce,
                LeaseGranted(count) if count else LeaseDenied(wait_s),
                _report(report) if report else None,
            )
        case ["unlease", str(sender), int(nonce), str(endpoint_id), count]:
            return LeaseReturn(
                decode_text(sender),
                nonce,
                EndpointId(decode_text(endpoint_id)),
                int(decode_number(count, MAX_COUNT, "count")),
            )
        case [
            "lease-end",
            str(sender),
            int(nonce),
            str(endpoint_id),
            "ran" | "failed" | "abandoned" as outcome,
            int(oldest_nonce),
        ]:
            return LeaseEnd(
                decode_text(sender),
                nonce,
                EndpointId(decode_text(endpoint_id)),
                LeaseOutcome(outcome),
                oldest_nonce,
            )
        case ["limits", str(sender), list(reports)] if len(reports) <= MAX_REPORTS:
            return LimitNews(
                decode_text(sender), tuple(_report(item) for item in reports)
            )
        case ["limit-owner", report, tokens]:
            return OwnerHandover(
                _report(report), decode_number(tokens, MAX_LIMIT_PER_S, "tokens")
            )
        case ["rejected", str(sender), str(endpoint_id)]:
            name = EndpointId(decode_text(endpoint_id))
            return Rejection(decode_text(sender), name)
        case ["check", str(sender)]:
            return PeerCheck(decode_text(sender))
        case ["checked", str(sender)]:
            return PeerReply(decode_text(sender))
    raise LimitMessageError(f"not a message about limits: {str(fields)[:100]}")


def _report(fields: Any) -> LimitReport:
    match fields:
        case [str(endpoint_id), int(born_ms), limit_per_s, named_age_s, absent_age_s]:
            return LimitReport(
                EndpointId(decode_text(endpoint_id)),
                born_ms,
                decode_number(limit_per_s, MAX_LIMIT_PER_S, "limit"),
                decode_number(named_age_s, math.inf, "age"),
                decode_number(absent_age_s, math.inf, "age"),
            )
        case [*fields, bears_per_s] if len(fields) == 5:
            bears = decode_number(bears_per_s, MAX_LIMIT_PER_S, "rejections")
            return attrs.evolve(_report(fields), bears_per_s=bears)
    raise LimitMessageError(f"not a report of a limit: {str(fields)[:100]}")


def decode_number(value: Any, most: float, name: str) -> float:
    if type(value) not in (int, float) or not 0 <= value <= most:
        raise LimitMessageError(f"{name}: {str(value)[:100]} is not 0 to {most}")
    return float(value)


def decode_text(text: str) -> str:
    if len(text) > MAX_TEXT_CHARS:
        raise LimitMessageError(f"a text has at most {MAX_TEXT_CHARS} characters")
    return text
