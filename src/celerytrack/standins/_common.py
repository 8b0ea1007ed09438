"""Pieces shared by the stand-ins: fault knobs and a server runner."""

import asyncio
import logging
from typing import Any

import attrs
from aiohttp import web

from celerytrack.events import Event, log_event

_log = logging.getLogger(__name__)


@attrs.define
class Faults:
    """Fault knobs a test can turn on a stand-in.

    :ivar outage: answer every request with 503.
    :ivar slow_s: delay every answer by this long.
    :ivar lose_replies: the next this many changes take effect, then the
        connection is dropped before the reply is sent.
    :ivar cut_clients: clients (by ``X-Client`` header) whose requests are
        dropped, as in a network partition.
    """

    outage: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    cut_clients: list[str] = attrs.field(factory=list)


def faults_routes(faults: Faults, extra: dict[str, Any] | None = None) -> list[Any]:
    """Routes to read and set ``faults`` (and any ``extra`` knobs)."""
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


async def apply_faults(faults: Faults, request: web.Request) -> web.Response | None:
    """Delay, cut or refuse ``request`` as the knobs say; ``None`` to go on."""
    if request.headers.get("X-Client", "") in faults.cut_clients:
        _drop(request)
        return web.Response(status=503)
    if faults.slow_s:
        await asyncio.sleep(faults.slow_s)
    if faults.outage:
        return web.json_response({"error": "outage"}, status=503)
    return None


def lose_reply(faults: Faults, request: web.Request) -> bool:
    """After a change took effect: drop the reply if the knob says so."""
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

    _level: float = 1.0
    _at_s: float = 0.0

    def try_acquire(self, rate_per_s: float, now_s: float) -> bool:
        """Take one token at ``now_s``; ``False`` means refuse."""
        if rate_per_s <= 0:
            return True
        elapsed_s = max(now_s - self._at_s, 0.0)
        self._level = min(rate_per_s, self._level + elapsed_s * rate_per_s)
        self._at_s = now_s
        if self._level < 1:
            return False
        self._level -= 1
        return True
