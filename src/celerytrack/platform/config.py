"""Decoding the operators' configuration as the platform's store holds it."""

import json
from typing import Any

from celerytrack.ids import AccountId, ServiceName
from celerytrack.routes import (
    DEFAULT_BODY_BYTES,
    ClientAccount,
    Repeat,
    Route,
    RoutingTable,
    Service,
)


class ConfigError(ValueError):
    """A configuration record cannot be decoded."""


def decode_config(raw: bytes) -> RoutingTable:
    """Decode one version of the configuration.

    :raises ConfigError: naming what is wrong.
    """
    try:
        data = json.loads(raw)
        return RoutingTable(
            version=int(data["version"]),
            routes=tuple(_route(r) for r in data.get("routes", ())),
            services={
                ServiceName(s["name"]): _service(s) for s in data.get("services", ())
            },
            accounts=tuple(_account(t) for t in data.get("tenants", ())),
            needs_key="tenants" in data,
            body_bytes=int(data.get("limits", {}).get("bodyBytes", DEFAULT_BODY_BYTES)),
        )
    except (ValueError, KeyError, TypeError, AttributeError) as exc:
        raise ConfigError(f"configuration: {type(exc).__name__}: {exc}") from exc


def _route(data: dict[str, Any]) -> Route:
    # A route names one service, or several that share its requests.
    split = data.get("trafficSplit") or [{"service": data["service"], "weight": 1}]
    stream = data["kind"] == "stream"
    return Route(
        name=data["name"],
        host=data["host"].lower(),
        prefix=data["pathPrefix"],
        services=tuple((ServiceName(s["service"]), float(s["weight"])) for s in split),
        repeat=(
            Repeat.IDEMPOTENT if data["kind"] == "idempotent" else Repeat.AT_MOST_ONCE
        ),
        stream=stream,
        resumable=stream and bool(data.get("streamResume", False)),
        timeout_s=float(data.get("timeoutMs", 10_000)) / 1_000,
        target_s=float(data.get("goalMs", 1_000)) / 1_000,
        max_attempts=int(data.get("maxAttempts", 1)),
        priority=int(data.get("priority", 1)),
        public=bool(data.get("public", False)),
        # The wire says that the route has an affinity; what it means is that
        # its requests name the parts of their prompts.
        has_prompt=bool(data.get("affinity", False)),
    )


def _service(data: dict[str, Any]) -> Service:
    return Service(
        name=ServiceName(data["name"]),
        max_connections=int(data.get("connLimit", 100)),
        # Called so for the step between two events' counts of tokens.
        event_tokens=int((data.get("engine") or {}).get("stride", 1)),
    )


def _account(data: dict[str, Any]) -> ClientAccount:
    prepaid = data.get("prepaid")
    priority = data.get("priority")
    return ClientAccount(
        account_id=AccountId(data["name"]),
        keys=frozenset(data.get("apiKeys", ())),
        prepaid_tokens=None if prepaid is None else int(prepaid),
        priority=None if priority is None else int(priority),
    )
