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

    :param take: told each such endpoint.
    """

    def __init__(self, take: Callable[[EndedEndpoint], None]) -> None:
        self._take = take
        self._broken: dict[EndpointId, set[Fingerprint]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def broke(self, endpoint: Endpoint, fingerprint: Fingerprint) -> None:
        """A request broke at ``endpoint``."""
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
        ended = False
        try:
            for pause_s in CONNECT_PAUSES_S:
                await asyncio.sleep(pause_s)
                state = await try_address(endpoint.registration.address)
                ended = state is AddressState.REFUSED
                if ended:
                    break
        finally:
            broken = self._broken.pop(endpoint.endpoint_id)
        if ended:
            self._take(EndedEndpoint(endpoint, frozenset(broken)))
