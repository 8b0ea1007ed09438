"""Decoding what endpoints register of themselves in the platform's store.

Other writers share the topic. A record that is not right in every field names
no endpoint: the error says which field, and what is allowed there.
"""

import re
from typing import Any

import attrs
from attrs import validators as v

from celerytrack.endpoint import Registration
from celerytrack.ids import EndpointId, ServiceName, Zone
from celerytrack.strict import (
    UnreadableError,
    parse_json,
    strict_converter,
    structure,
)

_READY = "ready"
_DRAINING = "draining"
_ADDRESS = re.compile(r"[A-Za-z0-9.-]{1,253}:[0-9]{1,5}")
_MOST_SLOTS = 1_000_000
"""Requests that one endpoint may say to run at once: far beyond any engine, and still a
number that sums and divides without harm."""
_MOST_COLD_MS = 3_600_000
"""Longest time that an endpoint may say to stay slow after its start: an hour."""

_MOST_VERSION = 100
"""Characters of a version: as many as a digest and a name take."""


class RegistrationError(ValueError):
    """A registration cannot be decoded."""


def _address(instance: object, attribute: "attrs.Attribute[str]", value: str) -> None:
    if not _ADDRESS.fullmatch(value) or not 0 < int(value.rpartition(":")[2]) < 65_536:
        raise ValueError("address must be host:port")


def _between(least: float, most: float) -> Any:
    return v.and_(v.ge(least), v.le(most))


@attrs.frozen
class _Record:
    """A registration as it lies in the store; fields not named are ignored."""

    service: str = attrs.field(validator=v.min_len(1))
    address: str = attrs.field(validator=_address)
    zone: str = attrs.field(validator=v.min_len(1))
    state: str = attrs.field(validator=v.in_((_READY, _DRAINING)))
    slots: int = attrs.field(validator=_between(1, _MOST_SLOTS))
    coldLeftMs: float = attrs.field(  # noqa: N815
        default=0.0, validator=_between(0, _MOST_COLD_MS)
    )
    sequence: int = attrs.field(default=0, validator=_between(0, 2**63))
    born: int = attrs.field(default=0, validator=_between(0, 2**63))
    version: str = attrs.field(default="", validator=v.max_len(_MOST_VERSION))


_converter = strict_converter(forbid_extra_keys=False)


def decode_registration(endpoint_id: str, raw: bytes) -> Registration:
    """Decode one registration.

    :raises RegistrationError: naming what is wrong.
    """
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
