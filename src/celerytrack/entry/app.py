"""The HTTP interface of an entry instance.

For callers:

- ``GET /v1/route``: the entry addresses that the account should use, and how long
  the answer is valid (``ttl_s``).
- ``POST /v1/chat/completions``: OpenAI-compatible; ``model`` names the class
  of work; the answer is a stream of server-sent events.
- ``POST /v1/services/{class}``: a call to a plain service, JSON in and out.
- ``GET /metrics``, ``GET /healthz``, ``GET /status``; ``POST /admin/drain``.

A refusal is a JSON body ``{"error": {"reason", "verdict", "retry_after_s"}}``
with a ``Retry-After`` header if the caller may retry.
"""

import asyncio
import functools
import time
from collections.abc import Awaitable, Callable

from aiohttp import web
from prometheus_client import generate_latest

from celerytrack.entry.admission import authenticate, current_config
from celerytrack.entry.chat import chat
from celerytrack.entry.refusals import RefusedError, refusal_response
from celerytrack.entry.service_calls import service_call
from celerytrack.entry.state import EntryState
from celerytrack.entry.unforeseen import answer_unforeseen
from celerytrack.ids import EntryId
from celerytrack.routing.rendezvous import rendezvous

ENTRIES_PER_ACCOUNT = 2
"""Entries in the answer of ``/v1/route``: the preferred one and one for failover."""

Handler = Callable[[EntryState, web.Request], Awaitable[web.StreamResponse]]


async def route(state: EntryState, request: web.Request) -> web.StreamResponse:
    """``GET /v1/route``: the entries that an account should use."""
    try:
        account = authenticate(request, current_config(state))
    except RefusedError as exc:
        return refusal_response(exc.refusal)
    live = state.usable_entries(time.monotonic())
    chosen = rendezvous(account.account_id, list(live), ENTRIES_PER_ACCOUNT)
    return web.json_response(
        {
            "entries": [live[EntryId(e)].address for e in chosen],
            "ttl_s": state.tuning.route_ttl_s,
        }
    )


async def health(state: EntryState, request: web.Request) -> web.StreamResponse:
    """``GET /healthz``: answers while the process runs; tells whether it drains."""
    return web.json_response({"ok": True, "draining": state.draining})


async def status(state: EntryState, request: web.Request) -> web.StreamResponse:
    """``GET /status``: this entry's state, for operators."""
    now_s = time.monotonic()
    held = sum(g.available(now_s) for g in state.grant_manager.escrow.grants.values())
    state.metrics.held_tokens.set(held)
    backoffs = state.notices.sync.state.backoffs.in_force()
    return web.json_response(
        {
            "entry": state.entry_id,
            "zone": state.spec.zone,
            "config_version": state.config.version,
            "draining": state.draining,
            "in_flight": state.in_flight,
            "ledger_offset": state.grant_manager.ledger.next_offset,
            "ledger_reachable": state.grant_manager.reachable,
            "held_tokens": held,
            "grants": len(state.grant_manager.escrow.grants),
            "ledger_backlog": state.grant_manager.writer.backlog,
            "limits": state.notices.sync.limits.tracker.named(),
            "brittle": state.notices.sync.limits.tracker.brittle(),
            "versions": state.view.versions(),
            "links_down": sorted(state.reach.tracker.down()),
            "leaving_replicas": sorted(
                r
                for r, v in state.view.replicas.items()
                if v.leaving or state.notices.is_leaving(v)
            ),
            "backoffs_s": {
                endpoint_id: round(until_s - now_s, 3)
                for endpoint_id, until_s in backoffs.items()
                if until_s > now_s
            },
        }
    )


async def metrics_page(state: EntryState, request: web.Request) -> web.StreamResponse:
    """``GET /metrics``, in the Prometheus text format."""
    return web.Response(
        body=generate_latest(state.metrics.registry), content_type="text/plain"
    )


async def admin_drain(state: EntryState, request: web.Request) -> web.StreamResponse:
    """``POST /admin/drain``: start a drain; the process keeps running."""
    request.app[_DRAIN] = asyncio.create_task(state.drain())
    return web.json_response({"ok": True, "draining": True})


_DRAIN = web.AppKey("drain", asyncio.Task)


def make_app(state: EntryState) -> web.Application:
    """Create the entry's aiohttp application."""

    def bind(
        handler: Handler,
    ) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
        return functools.partial(handler, state)

    async def close_connection(
        request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        # Without this, a request sent on a kept-alive connection just as the listener
        # closes would be lost, and its caller would not know whether it ran.
        if state.draining:
            response.headers["Connection"] = "close"
            response.force_close()

    app = web.Application()
    answer_unforeseen(app, state.metrics, refusal_response)
    app.on_response_prepare.append(close_connection)
    app.add_routes(
        [
            web.get("/v1/route", bind(route)),
            web.post("/v1/chat/completions", bind(chat)),
            web.post("/v1/services/{work_class}", bind(service_call)),
            web.get("/healthz", bind(health)),
            web.get("/status", bind(status)),
            web.get("/metrics", bind(metrics_page)),
            web.post("/admin/drain", bind(admin_drain)),
        ]
    )
    return app
