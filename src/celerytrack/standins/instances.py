"""A stand-in for the platform's instance list: live and leaving instances.

``GET /instances`` returns the list as it was ``lag_s`` ago, because the real list lags.
``POST /instances/{id}`` with ``{"state": "leaving"}`` (or ``live``, ``gone``) changes
one instance immediately.
"""

import time
from typing import Any

import attrs
from aiohttp import web

from celerytrack.settings import FleetSettings
from celerytrack.standins._common import Faults, apply_faults, faults_routes


@attrs.define
class InstancesState:
    """The instance list, and its history to answer with a lag."""

    current: dict[str, dict[str, Any]]
    faults: Faults = attrs.field(factory=Faults)
    knobs: dict[str, Any] = attrs.field(factory=lambda: {"lag_s": 1.0})
    history: list[tuple[float, dict[str, dict[str, Any]]]] = attrs.field(factory=list)

    def change(self, instance_id: str, status: str, now_s: float) -> None:
        self.history.append((now_s, {k: dict(v) for k, v in self.current.items()}))
        if instance_id in self.current:
            self.current[instance_id]["state"] = status

    def list_at(self, now_s: float) -> dict[str, dict[str, Any]]:
        """Return the list that a read at ``now_s`` gets, which lags by ``lag_s``."""
        cutoff = now_s - float(self.knobs["lag_s"])
        # Each history item is the list just before the change at its time.
        for changed_at, before in self.history:
            if changed_at > cutoff:
                return before
        return self.current


def seed(fleet: FleetSettings) -> dict[str, dict[str, Any]]:
    """Return the instance list of ``fleet`` with all instances live."""
    items: dict[str, dict[str, Any]] = {}
    for entry in fleet.entries:
        items[entry.entry_id] = {
            "id": entry.entry_id,
            "role": "entry",
            "address": entry.address,
            "peer_address": entry.peer_address,
            "relay_address": entry.relay_address,
            "zone": entry.zone,
            "state": "live",
        }
    for rep in fleet.replicas:
        items[rep.replica_id] = {
            "id": rep.replica_id,
            "role": rep.kind.value,
            "address": rep.address,
            "zone": rep.zone,
            "model": rep.model,
            "state": "live",
        }
    return items


def make_app(state: InstancesState) -> web.Application:
    """The instance list stand-in as an aiohttp application."""

    async def listing(request: web.Request) -> web.Response:
        if (refused := await apply_faults(state.faults, request)) is not None:
            return refused
        seen = state.list_at(time.time())
        return web.json_response({"instances": list(seen.values())})

    async def change(request: web.Request) -> web.Response:
        body = await request.json()
        state.change(request.match_info["id"], body["state"], time.time())
        return web.json_response({"ok": True})

    app = web.Application()
    app.add_routes(
        [
            web.get("/instances", listing),
            web.post("/instances/{id}", change),
            *faults_routes(state.faults, state.knobs),
        ]
    )
    return app
