"""Modelled endpoints that some requests end."""

import asyncio
import itertools
import random

import attrs

from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EndpointId

BACK_S = 2.0
"""How long an ended endpoint is away."""
LAPSES_S = 3.0
"""How long the registration of an ended one stands."""
KNOWN_S = 0.6
"""Longest time until an entry has read a registration."""


class BrokeOffError(Exception):
    """The endpoint ended while it ran the request."""


class NotThereError(Exception):
    """The endpoint takes no connection."""


@attrs.frozen
class ModelRequest:
    """A request, each time it comes.

    :ivar lasts_s: how long it runs, or until it ends its endpoint.
    """

    fingerprint: Fingerprint
    crashes: bool
    lasts_s: float


@attrs.define(eq=False)
class ModelEndpoint:
    """One start of an endpoint."""

    endpoint_id: EndpointId
    born_s: float
    ended_s: float | None = None
    running: set[asyncio.Future[None]] = attrs.field(factory=set)

    async def run(self, request: ModelRequest) -> None:
        """Run ``request`` to its end.

        :raises BrokeOffError: if the endpoint ends first.
        :raises NotThereError: if it has ended.
        """
        if self.ended_s is not None:
            raise NotThereError
        over: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.running.add(over)
        try:
            async with asyncio.timeout(request.lasts_s):
                await over
        except TimeoutError:
            if request.crashes:
                self.end()
                raise BrokeOffError from None
        finally:
            self.running.discard(over)

    def end(self) -> None:
        """End the process: what it runs breaks off."""
        self.ended_s = asyncio.get_running_loop().time()
        for over in list(self.running):
            if not over.done():
                over.set_exception(BrokeOffError())


class ModelService:
    """All starts of the endpoints of one service."""

    def __init__(self, count: int, rng: random.Random) -> None:
        self.starts: list[ModelEndpoint] = []
        self._numbers = itertools.count()
        self._rng = rng
        for _ in range(count):
            self._start(-KNOWN_S)

    def _start(self, now_s: float) -> None:
        name = EndpointId(f"i-{next(self._numbers)}")
        self.starts.append(ModelEndpoint(name, now_s))

    async def replace_ended(self) -> None:
        """Have each ended endpoint back under a new id, for ever."""
        replaced: set[EndpointId] = set()
        while True:
            await asyncio.sleep(0.05)
            now_s = asyncio.get_running_loop().time()
            for endpoint in list(self.starts):
                ended_s = endpoint.ended_s
                due = ended_s is not None and now_s - ended_s >= BACK_S
                if due and endpoint.endpoint_id not in replaced:
                    replaced.add(endpoint.endpoint_id)
                    self._start(now_s)

    def registered(self, now_s: float, read_s: float) -> list[ModelEndpoint]:
        """The endpoints that an entry knows of.

        :param read_s: how long ago it read the registrations, at most.
        """
        at_s = now_s - read_s
        return [
            e
            for e in self.starts
            if e.born_s <= at_s and (e.ended_s is None or at_s < e.ended_s + LAPSES_S)
        ]

    @property
    def endings(self) -> int:
        """How many ended."""
        return sum(e.ended_s is not None for e in self.starts)
