"""Connections to endpoints, apart for each start of each endpoint.

An endpoint may start again under its id and at its address. A connection of the
start before is then answered by a reset, at best: a call sent on one is in
doubt though nothing ran it. So the connections of a start end with it.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import aiohttp

from celerytrack.ids import EndpointId
from celerytrack.patient_http import patient_session
from celerytrack.process_end import CONNECT_TIMEOUT_S

ENDPOINT_IDLE_S = 4.0
"""Idle time after which a connection to an endpoint is not used again. An
endpoint that closes an idle connection while a request is on its way leaves
that request in doubt; this is below the idle timeouts endpoints announce."""


class EndpointLostError(Exception):
    """The start of the endpoint to which a request was sent is gone."""


class StartConnections:
    """Connections to one start of an endpoint, and the requests on them."""

    def __init__(self) -> None:
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self.session = patient_session(ENDPOINT_IDLE_S, timeout, auto_decompress=False)
        # The library sends a GET again by itself when a kept connection
        # breaks: a call that must not run twice would, unseen by us.
        self.session._retry_connection = False
        self._requests: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def until_lost(self) -> AsyncIterator[None]:
        """Run a request that ends early if the start is lost.

        Its connection alone would not end it: one to an instance that was dark
        stays silent, and the caller's time runs out.

        :raises EndpointLostError: if it was lost.
        """
        scope = asyncio.timeout(None)
        self._requests.add(scope)
        try:
            async with scope:
                yield
        except TimeoutError:
            if scope.expired():
                raise EndpointLostError from None
            raise
        finally:
            self._requests.discard(scope)

    async def lose(self) -> None:
        """End the requests and close the connections."""
        now_s = asyncio.get_running_loop().time()
        for scope in self._requests:
            scope.reschedule(now_s)
        while self._requests:
            await asyncio.sleep(0)
        await self.session.close()


class EndpointConnections:
    """Connections to the present start of each endpoint."""

    def __init__(self) -> None:
        self._starts: dict[EndpointId, StartConnections] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def of(self, endpoint_id: EndpointId) -> StartConnections:
        """The connections to the present start of an endpoint."""
        start = self._starts.get(endpoint_id)
        if start is None:
            start = self._starts[endpoint_id] = StartConnections()
        return start

    def lose(self, endpoint_id: EndpointId) -> None:
        """The present start of an endpoint is gone; another may come."""
        start = self._starts.pop(endpoint_id, None)
        if start is None:
            return
        task = asyncio.get_running_loop().create_task(start.lose())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all connections."""
        starts = list(self._starts.values())
        self._starts.clear()
        await asyncio.gather(*(start.lose() for start in starts), *self._closing)
