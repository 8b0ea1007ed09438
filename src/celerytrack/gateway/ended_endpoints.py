"""Whether an endpoint ended under the requests that broke there.

A broken request alone tells little: a connection was reset, a link was cut, or the
process ended. Where a process has ended, its address refuses connections.
"""

import asyncio
import enum
from collections.abc import Callable

import attrs

from celerytrack.endpoint import Endpoint
from celerytrack.fingerprint import Fingerprint
from celerytrack.gateway.connections import CONNECT_TIMEOUT_S
from celerytrack.ids import EndpointId

CONNECT_PAUSES_S = (0.0, 0.25)
"""When the address is tried: a process that ends may take the connections of others
a moment longer."""
ENDING_KNOWN_S = sum(CONNECT_PAUSES_S) + CONNECT_TIMEOUT_S * len(CONNECT_PAUSES_S)
"""Within it an ended process is known as such."""
STARTED_AGAIN_S = 3.0
"""How long a process that starts again at once, under its id, may take to say so."""


class AddressState(enum.Enum):
    """What came of a connection to an address."""

    TAKEN = "taken"
    REFUSED = "refused"
    SILENT = "silent"


@attrs.frozen
class EndedEndpoint:
    """An endpoint ended while it had requests.

    :ivar broken: the requests of this entry that broke there.
    """

    endpoint: Endpoint
    broken: frozenset[Fingerprint]


async def try_address(address: str) -> AddressState:
    """Connect to ``address`` and close the connection again."""
    host, port = address.rsplit(":", 1)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return AddressState.REFUSED
    except (OSError, TimeoutError):
        return AddressState.SILENT
    writer.close()
    return AddressState.TAKEN


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
        if endpoint.registration.draining or endpoint.gone_at_s is not None:
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
            ended = await self._has_ended(endpoint)
        finally:
            broken = frozenset(self._broken.pop(endpoint.endpoint_id))
        if not ended:
            await asyncio.sleep(STARTED_AGAIN_S)
            ended = self._superseded(endpoint)
        if ended:
            self._take(EndedEndpoint(endpoint, broken))

    async def _has_ended(self, endpoint: Endpoint) -> bool:
        for pause_s in CONNECT_PAUSES_S:
            await asyncio.sleep(pause_s)
            if self._superseded(endpoint):
                return True
            state = await try_address(endpoint.registration.address)
            if state is AddressState.REFUSED:
                return True
        return False
