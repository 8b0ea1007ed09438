"""Decoding what endpoints register of themselves in the platform's store."""

import json

from celerytrack.endpoint import Registration
from celerytrack.ids import EndpointId, ServiceName, Zone


class RegistrationError(ValueError):
    """A registration cannot be decoded."""


def decode_registration(endpoint_id: str, raw: bytes) -> Registration:
    """Decode one registration.

    :raises RegistrationError: naming what is wrong.
    """
    try:
        data = json.loads(raw)
        return Registration(
            endpoint_id=EndpointId(endpoint_id),
            service=ServiceName(data["service"]),
            address=data["address"],
            zone=Zone(data["zone"]),
            slots=int(data.get("slots", 1)),
            draining=data.get("state") == "draining",
            cold_s=float(data.get("coldLeftMs") or 0) / 1_000,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        detail = f"{type(exc).__name__}: {exc}"
        raise RegistrationError(f"{endpoint_id}: {detail}") from exc
