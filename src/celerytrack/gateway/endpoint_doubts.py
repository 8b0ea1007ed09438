"""Endpoints whose process may have ended, so that another may have its address.

A run that breaks ends its connection too. If it was the last one open, a new connection
that lives on shows that the process is the same: one that starts takes longer.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Iterable

from cachetools import TTLCache

from celerytrack.events import Event, log_event
from celerytrack.gateway.end_probes import EndProbes
from celerytrack.ids import EndpointId
from celerytrack.origins.messages import EndpointEnded
from celerytrack.process_end import ConnectResult, probe_address
from celerytrack.routing.endpoint import Endpoint
from celerytrack.routing.endpoints import DOUBT_S, EndpointPool

_log = logging.getLogger(__name__)

HOLD_S = 0.1
"""How long a process that is about to end may keep a new connection open."""
MAX_CHECK_S = 0.3
"""Longest time for which a stream waits for a check."""
MAX_TELL_DELAY_S = 0.02
"""Longest time before an entry tells the others: of the many that see an endpoint end,
few tell."""
MAX_HEARD = 1_024


class EndpointDoubts:
    """Records signs that endpoints have ended, and checks them.

    :param endpoints: the endpoints, which keep the doubt.
    :param is_reached: whether another entry reaches an endpoint that refuses
        connections here.
    :param tell: tells the other entries that an incarnation has ended.
    :ivar end_probes: those for answers that end.
    """

    def __init__(
        self,
        endpoints: EndpointPool,
        is_reached: Callable[[Endpoint], Awaitable[bool]],
        tell: Callable[[EndpointEnded], None],
        rng: random.Random,
    ) -> None:
        self._endpoints = endpoints
        self._is_reached = is_reached
        self._tell = tell
        self._rng = rng
        self.end_probes = EndProbes()
        self._heard: TTLCache[EndpointEnded, None] = TTLCache(MAX_HEARD, DOUBT_S)
        self._checks: set[asyncio.Task[None]] = set()
        self._check_of: dict[EndpointId, asyncio.Task[None]] = {}

    def record_sign(
        self, endpoint: Endpoint, now_s: float, announced: bool = False
    ) -> None:
        """Record that an endpoint ended the last connection to it, or refused one.

        It matters for streams only; one that leaves gets no stream.

        :param announced: whether it had said so, or an answer without a length ended.
            Where a service has one version, that is no sign: a check would cost a
            connection for each such answer.
        """
        service = endpoint.registration.service
        if self._endpoints.is_leaving(endpoint):
            return
        if announced and not self._endpoints.has_versions(service, now_s):
            return
        if not self._endpoints.doubt(endpoint, now_s):
            return
        endpoint_id = endpoint.endpoint_id
        task = asyncio.get_running_loop().create_task(self._check(endpoint, now_s))
        self._checks.add(task)
        self._check_of[endpoint_id] = task
        task.add_done_callback(lambda done: self._forget(endpoint_id, done))

    def _forget(self, endpoint_id: EndpointId, done: asyncio.Task[None]) -> None:
        self._checks.discard(done)
        # Another incarnation may be in doubt by now.
        if self._check_of.get(endpoint_id) is done:
            del self._check_of[endpoint_id]

    async def settled(self, endpoint_ids: Iterable[EndpointId]) -> bool:
        """Wait until one of the checks of some endpoints is over.

        It is not waited for long: a process that lives shows it in :data:`HOLD_S`.

        :returns: whether one was in progress and is over.
        """
        known = [self._check_of[i] for i in endpoint_ids if i in self._check_of]
        checks = [check for check in known if not check.done()]
        if not checks:
            return False
        done, _ = await asyncio.wait(
            checks, timeout=MAX_CHECK_S, return_when=asyncio.FIRST_COMPLETED
        )
        return bool(done)

    def receive(self, ended: EndpointEnded, now_s: float) -> None:
        """Apply what another entry found."""
        self._heard[ended] = None
        self._endpoints.doubt_incarnation(ended.endpoint_id, ended.born_ms, now_s)

    async def close(self) -> None:
        """Cancel the checks in progress."""
        for check in self._checks:
            check.cancel()
        await asyncio.gather(*self._checks, return_exceptions=True)

    async def _check(self, endpoint: Endpoint, since_s: float) -> None:
        ended = _ended(endpoint)
        result = await probe_address(endpoint.registration.address, HOLD_S)
        if result is ConnectResult.ACCEPTED and ended not in self._heard:
            self._endpoints.settle_doubt(endpoint, since_s)
            return
        log_event(
            _log,
            Event.ENDPOINT_IN_DOUBT,
            endpoint=endpoint.endpoint_id,
            version=endpoint.registration.version,
            check=result.value,
        )
        if result is ConnectResult.REFUSED:
            await self._tell_others(endpoint, ended)

    async def _tell_others(self, endpoint: Endpoint, ended: EndpointEnded) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, MAX_TELL_DELAY_S))
        if ended in self._heard or await self._only_link_is_cut(endpoint):
            return
        self._heard[ended] = None
        self._tell(ended)

    async def _only_link_is_cut(self, endpoint: Endpoint) -> bool:
        """Whether an endpoint that refused a connection lives, and others reach it.

        If it takes one by now, they may have reached a process that has come up since.
        """
        if not await self._is_reached(endpoint):
            return False
        result = await probe_address(endpoint.registration.address)
        return result is not ConnectResult.ACCEPTED


def _ended(endpoint: Endpoint) -> EndpointEnded:
    """The news that the present incarnation of an endpoint has ended."""
    return EndpointEnded(endpoint.endpoint_id, endpoint.registration.born_ms)
