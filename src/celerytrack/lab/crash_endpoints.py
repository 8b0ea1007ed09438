"""Modelled endpoints that crash on some requests."""

import asyncio
import itertools
import random

import attrs

from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EndpointId

RESTART_S = 2.0
"""Downtime of a crashed endpoint."""
REGISTRATION_TTL_S = 3.0
"""How long the registration of a crashed endpoint remains."""
DISCOVERY_S = 0.6
"""Longest delay until an entry has read a registration."""


class ConnectionBrokenError(Exception):
    """The endpoint crashed while it ran the request."""


class EndpointDownError(Exception):
    """The endpoint accepts no connections."""


@attrs.frozen
class ModelRequest:
    """A request, the same at each repetition.

    :ivar parts: parts of its prompt, which other requests may have.
    :ivar lasts_s: how long it runs, or until it crashes its endpoint.
    """

    fingerprint: Fingerprint
    crashes: bool
    lasts_s: float
    parts: tuple[Fingerprint, ...] = ()

    @property
    def features(self) -> tuple[Fingerprint, ...]:
        """What may crash endpoints: the whole request or one of its parts."""
        return (*self.parts, self.fingerprint)


@attrs.define(eq=False)
class ModelEndpoint:
    """One incarnation of an endpoint."""

    endpoint_id: EndpointId
    born_s: float
    crashed_at_s: float | None = None
    running: set[asyncio.Future[None]] = attrs.field(factory=set)

    async def run(self, request: ModelRequest) -> None:
        """Run ``request`` to its end.

        :raises ConnectionBrokenError: if the endpoint crashes first.
        :raises EndpointDownError: if it has crashed before.
        """
        if self.crashed_at_s is not None:
            raise EndpointDownError
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.running.add(done)
        try:
            async with asyncio.timeout(request.lasts_s):
                await done
        except TimeoutError:
            if request.crashes:
                self.crash()
                raise ConnectionBrokenError from None
        finally:
            self.running.discard(done)

    def crash(self) -> None:
        """Crash the process and break its requests."""
        self.crashed_at_s = asyncio.get_running_loop().time()
        for done in list(self.running):
            if not done.done():
                done.set_exception(ConnectionBrokenError())


class ModelService:
    """All incarnations of the endpoints of one service."""

    def __init__(self, count: int, rng: random.Random) -> None:
        self.incarnations: list[ModelEndpoint] = []
        self._numbers = itertools.count()
        self._rng = rng
        for _ in range(count):
            self._start(-DISCOVERY_S)

    def _start(self, now_s: float) -> None:
        name = EndpointId(f"i-{next(self._numbers)}")
        self.incarnations.append(ModelEndpoint(name, now_s))

    async def replace_crashed(self) -> None:
        """Restart each crashed endpoint under a new id, for ever."""
        replaced: set[EndpointId] = set()
        while True:
            await asyncio.sleep(0.05)
            now_s = asyncio.get_running_loop().time()
            for endpoint in list(self.incarnations):
                crashed_at_s = endpoint.crashed_at_s
                due = crashed_at_s is not None and now_s - crashed_at_s >= RESTART_S
                if due and endpoint.endpoint_id not in replaced:
                    replaced.add(endpoint.endpoint_id)
                    self._start(now_s)

    def registered(self, now_s: float, read_s: float) -> list[ModelEndpoint]:
        """The endpoints that an entry knows.

        :param read_s: the delay of its reads of registrations.
        """
        at_s = now_s - read_s
        return [
            e
            for e in self.incarnations
            if e.born_s <= at_s
            and (e.crashed_at_s is None or at_s < e.crashed_at_s + REGISTRATION_TTL_S)
        ]

    @property
    def crashes(self) -> int:
        """Number of crashes."""
        return sum(e.crashed_at_s is not None for e in self.incarnations)
