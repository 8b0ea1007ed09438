"""Whether an endpoint ended under the requests that broke there.

A broken request alone tells little: a connection was reset, a link was cut, or the
process ended. Where a process has ended, its address refuses connections.
"""

import asyncio
from collections.abc import Callable

import attrs

from celerytrack.endpoint import Endpoint
from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EndpointId
from celerytrack.process_end import has_ended

STARTED_AGAIN_S = 3.0
"""How long a process that starts again at once, under its id, may take to say so."""


@attrs.frozen
class EndedEndpoint:
    """An endpoint ended while it had requests.

    :ivar broken: the requests of this entry that broke there.
    """

    endpoint: Endpoint
    broken: frozenset[Fingerprint]


class EndedEndpoints:
    """Finds out which endpoints ended under their requests.

    :param superseded: whether another start has the id of an endpoint.
    :param take: told each such endpoint.
    """

    def __init__(
        self,
        superseded: Callable[[Endpoint], bool],
        take: Callable[[EndedEndpoint], None],
    ) -> None:
        self._superseded = superseded
        self._take = take
        self._broken: dict[EndpointId, set[Fingerprint]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def broke(self, endpoint: Endpoint, fingerprint: Fingerprint) -> None:
        """A request broke at ``endpoint``.

        One that leaves ends by itself, and not by what it runs.
        """
        if endpoint.registration.draining or endpoint.deregistered_at_s is not None:
            return
        known = self._broken.get(endpoint.endpoint_id)
        if known is not None:
            known.add(fingerprint)
            return
        self._broken[endpoint.endpoint_id] = {fingerprint}
        task = asyncio.get_running_loop().create_task(self._find_out(endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """End the tries in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _find_out(self, endpoint: Endpoint) -> None:
        try:
            ended = await has_ended(endpoint.registration.address)
        finally:
            broken = frozenset(self._broken.pop(endpoint.endpoint_id))
        if not ended and not self._superseded(endpoint):
            await asyncio.sleep(STARTED_AGAIN_S)
        if ended or self._superseded(endpoint):
            self._take(EndedEndpoint(endpoint, broken))
