"""What the replica stand-ins say of themselves, and what arrives against it."""

import random
import time
from collections import defaultdict
from typing import Any

import attrs
from aiohttp import web

from celerytrack.platform.notices import notice_headers
from celerytrack.standins.brittle import Brittleness
from celerytrack.standins.limits import NamedLimit

LEAVING_SETTLE_S = 2.0
"""Time after an answer that says so from which its receiver sends nothing more."""
BACKOFF_SLACK_S = 0.5
"""Part of a backoff in which requests that were on their way may arrive."""
MAX_DURING_BACKOFF = 2
"""Most requests of one entry that may arrive in the rest of a backoff."""
_SENDER = "X-Client"
"""Header that names the entry that sends a request."""


@attrs.define
class _Sender:
    """What one entry was told, and sent.

    :ivar told_at_s: when it was first told that the replica leaves.
    :ivar backoff: begin and end of its last backoff.
    :ivar in_backoff: requests that arrived in the part of it that counts.
    """

    told_at_s: float | None = None
    backoff: tuple[float, float] = (0.0, 0.0)
    in_backoff: int = 0


@attrs.define
class SaidNotices:
    """Names limits, leaves and asks for backoffs, as the fault knobs say.

    The knobs are those of :class:`NamedLimit` and :class:`Brittleness`;
    ``says_leaving``; ``backoff_s``, which the requests that are turned away ask for,
    and ``rejects_share``, how many are.

    :ivar born_ms: start of the stand-in, in Unix milliseconds.
    :ivar late: requests of entries that had been told long enough that it leaves.
    :ivar worst_backoff: most requests of one entry in the rest of a backoff.
    """

    knobs: dict[str, Any]
    born_ms: int = attrs.field(factory=lambda: int(time.time() * 1_000))
    limit: NamedLimit = attrs.field(init=False)
    brittleness: Brittleness = attrs.field(init=False)
    late: int = 0
    worst_backoff: int = 0
    _senders: dict[str, _Sender] = attrs.field(factory=lambda: defaultdict(_Sender))
    _rng: random.Random = attrs.field(factory=lambda: random.Random(11))

    def __attrs_post_init__(self) -> None:
        self.limit = NamedLimit(self.knobs)
        self.brittleness = Brittleness(self.knobs)

    def reject_or_record(
        self, request: web.Request, running: int = 0
    ) -> web.Response | None:
        """Record a request that arrived.

        :param running: requests in progress.
        :returns: the answer that turns it away; ``None`` if it is to be run.
        """
        now_s = time.monotonic()
        sender = self._senders[request.headers.get(_SENDER, "")]
        self.limit.record_arrival()
        self._count(sender, now_s)
        if self.brittleness.rejects(running, now_s):
            headers = self._headers(sender, now_s, None)
            return web.json_response({"error": "full"}, status=503, headers=headers)
        backoff_s = self.knobs.get("backoff_s")
        if backoff_s is None or self._rng.random() >= self.knobs["rejects_share"]:
            return None
        sender.backoff = (now_s, now_s + float(backoff_s))
        sender.in_backoff = 0
        headers = self._headers(sender, now_s, f"{backoff_s:g}")
        return web.json_response({"error": "busy"}, status=503, headers=headers)

    def headers(self, request: web.Request) -> dict[str, str]:
        """The headers of an answer made now."""
        sender = self._senders[request.headers.get(_SENDER, "")]
        return self._headers(sender, time.monotonic(), None)

    def stats(self) -> dict[str, Any]:
        """What the load tool checks."""
        return {
            "limit": self.limit.stats(),
            "brittle": self.brittleness.stats(),
            "notices": {
                "says_leaving": bool(self.knobs.get("says_leaving")),
                "late": self.late,
                "backoff_s": self.knobs.get("backoff_s"),
                "worst_backoff": self.worst_backoff,
            },
        }

    def _headers(
        self, sender: _Sender, now_s: float, backoff: str | None
    ) -> dict[str, str]:
        leaving = bool(self.knobs.get("says_leaving"))
        if not leaving:
            sender.told_at_s = None
        elif sender.told_at_s is None:
            sender.told_at_s = now_s
        own = notice_headers(leaving=leaving, backoff=backoff)
        return self.limit.headers() | self.brittleness.headers() | own

    def _count(self, sender: _Sender, now_s: float) -> None:
        told_at_s = sender.told_at_s
        if told_at_s is not None and now_s - told_at_s > LEAVING_SETTLE_S:
            self.late += 1
        began_s, ends_s = sender.backoff
        if began_s + BACKOFF_SLACK_S < now_s < ends_s:
            sender.in_backoff += 1
            self.worst_backoff = max(self.worst_backoff, sender.in_backoff)
