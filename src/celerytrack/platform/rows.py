"""Byte format of the row that an entry keeps in the platform's store."""

import math
from collections.abc import Mapping
from typing import Any

import msgpack

from celerytrack.addresses import is_address
from celerytrack.eras import Era
from celerytrack.ids import AccountId, EntryId, Zone
from celerytrack.membership.members import Member, MemberState
from celerytrack.platform.config import MAX_PREPAID_TOKENS
from celerytrack.prepaid import AccountClaim
from celerytrack.strict import MAX_NUMBER

_DECODE_ERRORS = (
    ValueError,
    TypeError,
    AttributeError,
    RecursionError,
    msgpack.UnpackException,
)


class RowError(ValueError):
    """A row cannot be decoded."""


def encode_member(member: Member) -> bytes:
    """The bytes that :func:`decode_member` reads."""
    return bytes(
        msgpack.packb(
            (
                member.epoch,
                member.front_address,
                member.peer_address,
                member.zone,
                member.state.value,
                member.made_s,
                member.clock_offset_s,
                member.started_s,
                member.left_at_s,
                member.clock_lead_s,
                member.link_mbps,
                member.era,
                _share_fields(member.shares),
            )
        )
    )


def encode_shares(shares: Mapping[AccountId, AccountClaim]) -> bytes:
    """The bytes that :func:`decode_shares` reads."""
    return bytes(msgpack.packb(_share_fields(shares)))


def decode_shares(raw: bytes) -> dict[AccountId, AccountClaim]:
    """Decode an entry's claim on each client account.

    :raises RowError: naming what is wrong.
    """
    try:
        return _shares(msgpack.unpackb(raw))
    except _DECODE_ERRORS as exc:
        raise RowError(f"shares: {type(exc).__name__}: {exc}") from exc


def _share_fields(
    shares: Mapping[AccountId, AccountClaim],
) -> dict[str, tuple[int, ...]]:
    return {
        account: (
            claim.claimed_tokens,
            claim.immediate_tokens,
            claim.used_tokens,
            claim.wanted_tokens,
            claim.lost_tokens,
            claim.rate_tokens_per_s,
            claim.unlock_tokens_per_s,
        )
        for account, claim in shares.items()
    }


def _shares(fields: Any) -> dict[AccountId, AccountClaim]:
    return {
        AccountId(_text(account)): AccountClaim(*map(_tokens, tokens))
        for account, tokens in fields.items()
    }


def decode_member(entry_id: str, raw: bytes) -> Member:
    """Decode the row of ``entry_id``.

    :raises RowError: naming what is wrong.
    """
    try:
        epoch, front, peer, zone, state, *numbers, shares = msgpack.unpackb(raw)
        made_s, offset_s, started_s, left_at_s, lead_s, link_mbps, *more = numbers
        # Releases without eras omit the field.
        (era,) = more or (None,)
        return Member(
            entry_id=EntryId(entry_id),
            epoch=_whole(epoch),
            front_address=_address(front),
            peer_address=_address(peer),
            zone=Zone(_text(zone)),
            state=MemberState(state),
            made_s=_number(made_s),
            clock_offset_s=_number(offset_s),
            started_s=_number(started_s),
            left_at_s=None if left_at_s is None else _number(left_at_s),
            clock_lead_s=None if lead_s is None else _number(lead_s),
            link_mbps=_number(link_mbps),
            era=None if era is None else Era(_whole(era)),
            shares=_shares(shares),
        )
    except _DECODE_ERRORS as exc:
        raise RowError(f"row of {entry_id}: {type(exc).__name__}: {exc}") from exc


def _whole(value: Any) -> int:
    # The values are summed with other entries' claims: a fraction, or true, would
    # corrupt the sum.
    if type(value) is not int:
        raise TypeError(f"must be a whole number, found {type(value).__name__}")
    if not -MAX_NUMBER < value < MAX_NUMBER:
        raise ValueError(f"must be below {MAX_NUMBER}, found {value}")
    return value


def _tokens(value: Any) -> int:
    tokens = _whole(value)
    if abs(tokens) > MAX_PREPAID_TOKENS:
        raise ValueError(f"must be {MAX_PREPAID_TOKENS} tokens at most, found {value}")
    return tokens


def _number(value: Any) -> float:
    if type(value) not in (int, float) or not math.isfinite(value):
        raise TypeError(f"must be a finite number, found {type(value).__name__}")
    return float(value)


def _address(value: Any) -> str:
    """An address, empty if it is none: the row's claims count all the same."""
    text = _text(value)
    return text if is_address(text) else ""


def _text(value: Any) -> str:
    if type(value) is not str:
        raise TypeError(f"must be text, found {type(value).__name__}")
    return value
