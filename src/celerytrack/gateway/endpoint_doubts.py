"""Endpoints whose process may have ended, so that another may have its address.

A run that breaks ends its connection too. If it was the last one open here, connections
of other entries that outlive it show that the process is the same. A new connection
doesn't: another process may have the address within a millisecond.
"""

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable, Iterable

from cachetools import TTLCache

from celerytrack.events import Event, log_event
from celerytrack.gateway.end_probes import EndProbes
from celerytrack.gateway.end_witness import Witness
from celerytrack.ids import EndpointId
from celerytrack.origins.messages import EndpointEnded
from celerytrack.process_end import ConnectResult, probe_address
from celerytrack.routing.endpoint import Endpoint
from celerytrack.routing.endpoints import DOUBT_S, EndpointPool

_log = logging.getLogger(__name__)

HOLD_S = 0.1
"""How long a process that is about to end may keep a new connection open."""
SEEN_AFTER_S = 0.02
"""Time after which the other entries have seen the end of a process as well."""
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
    :param ask: what the connections of all entries say of an end at a time.
    :param on_settled: called when a process has shown that it lives.
    :ivar end_probes: those for answers that end.
    """

    def __init__(
        self,
        endpoints: EndpointPool,
        is_reached: Callable[[Endpoint], Awaitable[bool]],
        tell: Callable[[EndpointEnded], None],
        rng: random.Random,
        ask: Callable[[Endpoint, float], Awaitable[Witness]],
        on_settled: Callable[[], None] = lambda: None,
    ) -> None:
        self._ask = ask
        self._on_settled = on_settled
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
        address = endpoint.registration.address
        probing = asyncio.create_task(probe_address(address, HOLD_S))
        try:
            witness = await self._find_witness(endpoint, since_s, probing)
            if witness in (Witness.NONE, Witness.ALONE):
                result = await probing
                is_alone = witness is Witness.ALONE
                if self._is_alive_unwitnessed(endpoint, since_s, result, is_alone):
                    return
                # Others may have been late, to see the end or to answer.
                witness = await self._find_witness(endpoint, since_s, probing)
        finally:
            probing.cancel()
        if witness is Witness.KEPT:
            return
        seen = witness if witness is Witness.ENDED else result
        log_event(
            _log,
            Event.ENDPOINT_IN_DOUBT,
            endpoint=endpoint.endpoint_id,
            version=endpoint.registration.version,
            check=seen.value,
        )
        if seen is Witness.ENDED:
            await asyncio.sleep(self._rng.uniform(0.0, MAX_TELL_DELAY_S))
            self._tell_once(_ended(endpoint))
        elif seen is ConnectResult.REFUSED:
            await self._tell_others(endpoint, _ended(endpoint))

    async def _find_witness(
        self, endpoint: Endpoint, since_s: float, probing: asyncio.Task[ConnectResult]
    ) -> Witness:
        """Ask for connections that outlive the sign, and those that follow meanwhile.

        Where new ones are refused, another process may be the next to accept them.

        :returns: ``KEPT`` if the doubt is settled.
        """
        while True:
            await asyncio.sleep(SEEN_AFTER_S)
            if probing.done() and probing.result() is ConnectResult.REFUSED:
                return Witness.NONE
            asked_s = time.monotonic()
            witness = await self._ask(endpoint, since_s)
            if witness is not Witness.KEPT:
                return witness
            if _ended(endpoint) in self._heard:
                return Witness.NONE
            if self._endpoints.settle_doubt(endpoint, since_s, asked_s):
                self._on_settled()
                return witness
            since_s = endpoint.doubted_at_s or since_s

    def _is_alive_unwitnessed(
        self,
        endpoint: Endpoint,
        since_s: float,
        result: ConnectResult,
        is_alone: bool,
    ) -> bool:
        """Whether a new connection settles the doubt.

        Where there is one version, what follows at the address is most likely of that
        one too. An entry without others has nobody to ask: most runs that break leave
        their process alive.
        """
        now_s = time.monotonic()
        if result is not ConnectResult.ACCEPTED or _ended(endpoint) in self._heard:
            return False
        service = endpoint.registration.service
        if not is_alone and self._endpoints.has_versions(service, now_s):
            return False
        return self._endpoints.settle_doubt(endpoint, since_s, now_s)

    def _tell_once(self, ended: EndpointEnded) -> None:
        if ended not in self._heard:
            self._heard[ended] = None
            self._tell(ended)

    async def _tell_others(self, endpoint: Endpoint, ended: EndpointEnded) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, MAX_TELL_DELAY_S))
        if ended in self._heard or await self._only_link_is_cut(endpoint):
            return
        self._tell_once(ended)

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
