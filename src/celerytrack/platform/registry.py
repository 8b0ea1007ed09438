"""Decoding of endpoints' registrations from the platform's store.

Other writers share the topic. A record with any invalid field is rejected as a
whole; the error names the field and what is allowed there.
"""

import re
from typing import Any

import attrs
from attrs import validators as v

from celerytrack.addresses import is_address
from celerytrack.ids import EndpointId, ServiceName, Zone
from celerytrack.routing.endpoint import Registration
from celerytrack.strict import (
    UnreadableError,
    parse_json,
    strict_converter,
    structure,
)

_READY = "ready"
_DRAINING = "draining"
_ID = re.compile(r"[^\x00-\x1f\x7f\ufffd]+")
"""Ids that a header may carry; U+FFFD stands for bytes that can't be read."""
_MAX_SLOTS = 1_000_000
"""Most concurrent requests that an endpoint may register: far more than an engine runs,
and still safe to sum and divide."""
_MAX_COLD_MS = 3_600_000
"""Longest warm-up that an endpoint may register: one hour."""
_MAX_VERSION_CHARS = 100
"""Longest version in characters: enough for a digest and a name."""


class RegistrationError(ValueError):
    """A registration cannot be decoded."""


def _validate_address(
    instance: object, attribute: "attrs.Attribute[str]", value: str
) -> None:
    if not is_address(value):
        raise ValueError("address must be IP:PORT")


def _between(minimum: float, maximum: float) -> Any:
    return v.and_(v.ge(minimum), v.le(maximum))


@attrs.frozen
class _Record:
    """A registration in the store's format; undeclared fields are ignored."""

    service: str = attrs.field(validator=v.min_len(1))
    address: str = attrs.field(validator=_validate_address)
    zone: str = attrs.field(validator=v.min_len(1))
    state: str = attrs.field(validator=v.in_((_READY, _DRAINING)))
    slots: int = attrs.field(validator=_between(1, _MAX_SLOTS))
    coldLeftMs: float = attrs.field(  # noqa: N815
        default=0.0, validator=_between(0, _MAX_COLD_MS)
    )
    sequence: int = attrs.field(default=0, validator=_between(0, 2**63))
    born: int = attrs.field(default=0, validator=_between(0, 2**63))
    version: str = attrs.field(default="", validator=v.max_len(_MAX_VERSION_CHARS))


_converter = strict_converter(forbid_extra_keys=False)


def decode_registration(endpoint_id: str, raw: bytes) -> Registration:
    """Decode one registration.

    :raises RegistrationError: naming what is wrong.
    """
    if not _ID.fullmatch(endpoint_id):
        raise RegistrationError(f"{endpoint_id!r}: no id of an endpoint")
    try:
        record: _Record = structure(_converter, parse_json(raw), _Record)
    except UnreadableError as exc:
        raise RegistrationError(f"{endpoint_id}: {exc}") from None
    return Registration(
        endpoint_id=EndpointId(endpoint_id),
        service=ServiceName(record.service),
        address=record.address,
        zone=Zone(record.zone),
        slots=record.slots,
        draining=record.state == _DRAINING,
        cold_s=record.coldLeftMs / 1_000,
        born_ms=record.born,
        sequence=record.sequence,
        version=record.version,
    )
