"""A stand-in for the rate-limited weight store.

``GET /weights/{model}`` answers 429 above ``fetches_per_s``.
"""

import time
from typing import Any

import attrs
from aiohttp import web

from celerytrack.standins._common import (
    Faults,
    TokenBucket,
    apply_faults,
    faults_routes,
)


@attrs.define
class WeightsState:
    """The store's rate limit and counters."""

    faults: Faults = attrs.field(factory=Faults)
    knobs: dict[str, Any] = attrs.field(factory=lambda: {"fetches_per_s": 2.0})
    served: int = 0
    refused: int = 0
    bucket: TokenBucket = attrs.field(factory=TokenBucket)


def make_app(state: WeightsState) -> web.Application:
    """The weight store stand-in as an aiohttp application."""

    async def fetch(request: web.Request) -> web.Response:
        if (refused := await apply_faults(state.faults, request)) is not None:
            return refused
        if not state.bucket.try_acquire(
            float(state.knobs["fetches_per_s"]), time.time()
        ):
            state.refused += 1
            return web.json_response({"error": "rate_limited"}, status=429)
        state.served += 1
        model = request.match_info["model"]
        return web.json_response({"model": model, "version": "1", "bytes": 1 << 30})

    async def stats(request: web.Request) -> web.Response:
        return web.json_response({"served": state.served, "refused": state.refused})

    app = web.Application()
    app.add_routes(
        [
            web.get("/weights/{model}", fetch),
            web.get("/_stats", stats),
            *faults_routes(state.faults, state.knobs),
        ]
    )
    return app
