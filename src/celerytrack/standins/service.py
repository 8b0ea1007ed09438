"""A stand-in for a plain service: a status lookup and a claim filing.

``POST /call/{operation}`` runs an operation. Like the real services, filing is not
idempotent: running it twice files twice. ``GET /_stats`` counts runs by request id, so
that a test sees repeated runs.
"""

import asyncio
import hashlib
import time
from typing import Any

import attrs
from aiohttp import web

from celerytrack.standins._common import (
    Faults,
    apply_faults,
    echo_request_id,
    faults_routes,
    lose_reply,
)
from celerytrack.standins.crashes import MarkedCrash
from celerytrack.standins.notices import SaidNotices


@attrs.define
class ServiceState:
    """The service's counters.

    :ivar knobs: what it says of itself (:mod:`celerytrack.standins.notices`).
    :ivar notices: what it says of itself, and counts.
    :ivar runs: number of runs by operation and request id.
    :ivar marked: which request bodies crash the service.
    """

    replica_id: str
    latency_s: float = 0.005
    faults: Faults = attrs.field(factory=Faults)
    marked: MarkedCrash = attrs.field(factory=MarkedCrash)
    knobs: dict[str, Any] = attrs.field(factory=dict)
    runs: dict[str, int] = attrs.field(factory=dict)
    running: int = 0
    notices: SaidNotices = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.notices = SaidNotices(self.knobs)


def answer_for(request_id: str, operation: str) -> dict[str, Any]:
    """Return the stand-in's answer, a pure function of its inputs."""
    digest = hashlib.sha256(f"{operation}:{request_id}".encode()).hexdigest()[:12]
    return {"operation": operation, "request_id": request_id, "result": digest}


def make_app(state: ServiceState) -> web.Application:
    """The plain service stand-in as an aiohttp application."""
    notices = state.notices

    async def call(request: web.Request) -> web.Response:
        if (refused := await apply_faults(state.faults, request)) is not None:
            return refused
        if (rejected := notices.reject_or_record(request, state.running)) is not None:
            return rejected
        operation = request.match_info["operation"]
        request_id = request.headers.get("X-Request-Id", "")
        text = await request.text()
        key = f"{operation}:{request_id}"
        state.runs[key] = state.runs.get(key, 0) + 1
        state.running += 1
        try:
            await asyncio.sleep(state.latency_s)
            await state.marked.crash_if_marked(text)
        finally:
            state.running -= 1
        if lose_reply(state.faults, request):
            return web.Response(status=503)
        answer = answer_for(request_id, operation)
        return web.json_response(answer, headers=notices.headers(request))

    async def load(request: web.Request) -> web.Response:
        return web.json_response(
            {
                "running": state.running,
                "at_s": time.time(),
                "capacity": 64,
                "born_ms": notices.born_ms,
            }
        )

    async def stats(request: web.Request) -> web.Response:
        return web.json_response(
            {
                "replica_id": state.replica_id,
                "starts": state.marked.starts,
                "runs": state.runs,
                **notices.stats(),
            }
        )

    app = web.Application()
    app.on_response_prepare.append(echo_request_id)
    app.add_routes(
        [
            web.post("/call/{operation}", call),
            web.get("/_stats", stats),
            web.get("/load", load),
            *faults_routes(state.faults, state.knobs),
        ]
    )
    return app
