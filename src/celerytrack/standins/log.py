"""A stand-in for the platform's append-only log service.

Protocol (HTTP, JSON bodies), which is also how the real service is reached:

- ``POST /streams/{name}`` with ``{"records": [...], "expected_offset": n}``:
  append; with ``expected_offset`` the append happens only if the stream's
  next offset is ``n`` (409 with ``next_offset`` otherwise).
- ``GET /streams/{name}?from=n&limit=m&wait_s=t``: records from offset ``n``,
  waiting up to ``t`` seconds for the first; 410 if ``n`` is below the oldest
  retained offset.
- ``GET /streams/{name}/last``: the last record.

Knobs: outages, slow answers, lost replies, partitioned clients, a limit of appends per
second over all streams, and retention by age.
"""

import asyncio
import time
from collections import deque
from typing import Any

import attrs
from aiohttp import web

from celerytrack.standins._common import (
    Faults,
    TokenBucket,
    apply_faults,
    faults_routes,
    lose_reply,
)


@attrs.define
class _Stream:
    start_offset: int = 0
    records: deque[tuple[float, Any]] = attrs.field(factory=deque)
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        return self.start_offset + len(self.records)


@attrs.define
class LogState:
    """All streams of the stand-in, with its knobs and counters."""

    faults: Faults = attrs.field(factory=Faults)
    knobs: dict[str, Any] = attrs.field(
        factory=lambda: {"appends_per_s": 0.0, "retention_s": 0.0}
    )
    streams: dict[str, _Stream] = attrs.field(factory=dict)
    appends: int = 0
    records_appended: int = 0
    bucket: TokenBucket = attrs.field(factory=TokenBucket)

    def stream(self, name: str) -> _Stream:
        return self.streams.setdefault(name, _Stream())

    def try_acquire_append(self, now_s: float) -> bool:
        """Return whether ``appends_per_s`` allows one more append now."""
        return self.bucket.try_acquire(float(self.knobs["appends_per_s"]), now_s)

    def expire(self, stream: _Stream, now_s: float) -> None:
        """Drop records older than ``retention_s``, keeping the last one."""
        keep_s = float(self.knobs["retention_s"])
        if keep_s <= 0:
            return
        while len(stream.records) > 1 and stream.records[0][0] < now_s - keep_s:
            stream.records.popleft()
            stream.start_offset += 1


def make_app() -> web.Application:
    """The log stand-in as an aiohttp application."""
    state = LogState()

    async def append(request: web.Request) -> web.StreamResponse:
        if (refused := await apply_faults(state.faults, request)) is not None:
            return refused
        now_s = time.time()
        if not state.try_acquire_append(now_s):
            return web.json_response({"error": "rate_limited"}, status=429)
        body = await request.json()
        stream = state.stream(request.match_info["name"])
        expected = body.get("expected_offset")
        if expected is not None and expected != stream.next_offset:
            return web.json_response({"next_offset": stream.next_offset}, status=409)
        first = stream.next_offset
        for record in body["records"]:
            stream.records.append((now_s, record))
        state.appends += 1
        state.records_appended += len(body["records"])
        state.expire(stream, now_s)
        stream.changed.set()
        stream.changed = asyncio.Event()
        if lose_reply(state.faults, request):
            return web.Response(status=503)
        return web.json_response(
            {"first_offset": first, "next_offset": stream.next_offset}
        )

    async def read(request: web.Request) -> web.StreamResponse:
        if (refused := await apply_faults(state.faults, request)) is not None:
            return refused
        stream = state.stream(request.match_info["name"])
        start = int(request.query.get("from", "0"))
        limit = int(request.query.get("limit", "1000"))
        wait_s = float(request.query.get("wait_s", "0"))
        if start < stream.start_offset:
            return web.json_response({"start_offset": stream.start_offset}, status=410)
        if start >= stream.next_offset and wait_s > 0:
            try:
                await asyncio.wait_for(stream.changed.wait(), wait_s)
            except TimeoutError:
                pass
        begin = start - stream.start_offset
        chosen = list(stream.records)[begin : begin + limit]
        return web.json_response(
            {
                "records": [[start + i, r] for i, (_, r) in enumerate(chosen)],
                "next_offset": stream.next_offset,
                "start_offset": stream.start_offset,
            }
        )

    async def last(request: web.Request) -> web.StreamResponse:
        if (refused := await apply_faults(state.faults, request)) is not None:
            return refused
        stream = state.stream(request.match_info["name"])
        if not stream.records:
            return web.json_response({"next_offset": stream.next_offset}, status=404)
        return web.json_response(
            {"offset": stream.next_offset - 1, "record": stream.records[-1][1]}
        )

    async def stats(request: web.Request) -> web.Response:
        return web.json_response(
            {
                "appends": state.appends,
                "records_appended": state.records_appended,
                "streams": {n: s.next_offset for n, s in state.streams.items()},
            }
        )

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.add_routes(
        [
            web.post("/streams/{name}", append),
            web.get("/streams/{name}", read),
            web.get("/streams/{name}/last", last),
            web.get("/_stats", stats),
            *faults_routes(state.faults, state.knobs),
        ]
    )
    return app
