"""Code shared by the stand-ins: fault injection and a rate limit."""

import asyncio
import logging
from typing import Any

import attrs
from aiohttp import web

from celerytrack.events import Event, log_event

_log = logging.getLogger(__name__)


@attrs.define
class Faults:
    """Faults that a test can inject into a stand-in.

    :ivar outage: answer every request with 503.
    :ivar slow_s: delay of every answer.
    :ivar lose_replies: number of coming changes that take effect but whose
        connection is closed before the reply is sent.
    :ivar cut_clients: clients (by ``X-Client`` header) whose connections are closed,
        as in a network partition.
    """

    outage: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    cut_clients: list[str] = attrs.field(factory=list)


def faults_routes(faults: Faults, extra: dict[str, Any] | None = None) -> list[Any]:
    """Return the routes that read and set ``faults`` and any ``extra`` knobs."""
    knobs = extra if extra is not None else {}

    async def set_faults(request: web.Request) -> web.Response:
        body = await request.json()
        for key, value in body.items():
            if hasattr(faults, key):
                setattr(faults, key, value)
            else:
                knobs[key] = value
        log_event(_log, Event.STANDIN_FAULT_SET, faults=body)
        return web.json_response({"ok": True})

    async def get_faults(request: web.Request) -> web.Response:
        return web.json_response({**attrs.asdict(faults), **knobs})

    return [web.post("/_faults", set_faults), web.get("/_faults", get_faults)]


async def echo_request_id(request: web.Request, answer: web.StreamResponse) -> None:
    """Say in an answer, as it is prepared, to which request it belongs."""
    request_id = request.headers.get("X-Request-Id")
    if request_id is not None:
        answer.headers["X-Request-Id"] = request_id


async def apply_faults(faults: Faults, request: web.Request) -> web.Response | None:
    """Delay, drop or refuse ``request`` as the faults say.

    :returns: the answer to send; ``None`` if the request is to be handled.
    """
    if request.headers.get("X-Client", "") in faults.cut_clients:
        _drop(request)
        return web.Response(status=503)
    if faults.slow_s:
        await asyncio.sleep(faults.slow_s)
    if faults.outage:
        return web.json_response({"error": "outage"}, status=503)
    return None


def lose_reply(faults: Faults, request: web.Request) -> bool:
    """Close the connection instead of replying if ``lose_replies`` is not used up.

    Called after a change took effect. Returns whether the connection was closed.
    """
    if faults.lose_replies <= 0:
        return False
    faults.lose_replies -= 1
    _drop(request)
    return True


def _drop(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.close()


@attrs.define
class TokenBucket:
    """A rate limit of ``rate_per_s`` with a burst of one second's worth.

    A rate of zero or less means no limit.
    """

    _tokens: float = 1.0
    _refilled_at_s: float = 0.0

    def try_acquire(self, rate_per_s: float, now_s: float) -> bool:
        """Take one token at ``now_s``; return ``False`` if none is left."""
        if rate_per_s <= 0:
            return True
        elapsed_s = max(now_s - self._refilled_at_s, 0.0)
        self._tokens = min(rate_per_s, self._tokens + elapsed_s * rate_per_s)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
