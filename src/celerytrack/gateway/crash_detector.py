"""Detection of endpoints that crashed while they ran requests.

An interrupted request alone is weak evidence: the connection may have been reset, the
link may have failed, or the process may have crashed. The address of a crashed process
refuses connections, from every entry.
"""

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import attrs

from celerytrack.fingerprint import MAX_PART_CHARS, Fingerprint, part_fingerprints
from celerytrack.ids import EndpointId, PartId
from celerytrack.process_end import has_ended
from celerytrack.routing.endpoint import Endpoint

RESTART_REPORT_S = 3.0
"""Time in which a process that restarts at once under the same id registers again."""

LOGGED_PARTS = 10
"""Most parts of prompts in the log line of a crash."""


@attrs.frozen
class Interrupted:
    """A request that was interrupted at an endpoint.

    :ivar parts: parts of its prompt that others may have too.
    """

    fingerprint: Fingerprint
    parts: tuple[PartId, ...] = ()


@attrs.frozen
class CrashedEndpoint:
    """An endpoint that crashed while it ran requests.

    :ivar interrupted: the requests of this entry that were interrupted.
    """

    endpoint: Endpoint
    interrupted: frozenset[Interrupted]

    def features(self) -> set[Fingerprint]:
        """The fingerprints of the interrupted requests and of their prompts' parts."""
        service = self.endpoint.registration.service
        found = {request.fingerprint for request in self.interrupted}
        for request in self.interrupted:
            found.update(part_fingerprints(service, request.parts))
        return found

    def most_shared_parts(self) -> dict[str, int]:
        """The parts of most of the interrupted requests, and how many had each.

        Callers choose their names, so that only the begin of each is shown.
        """
        counts = Counter(
            part[:MAX_PART_CHARS] for r in self.interrupted for part in set(r.parts)
        )
        return dict(counts.most_common(LOGGED_PARTS))


class CrashDetector:
    """Checks whether endpoints crashed after requests to them were interrupted.

    :param is_superseded: whether a later incarnation has registered under an endpoint's
        id.
    :param ends_by_itself: whether an endpoint is known to leave, or to fall over under
        load, whatever it runs.
    :param is_reached: whether another entry reaches an endpoint that refuses
        connections here: then the link of this entry failed, not the endpoint.
    :param on_crash: called with each endpoint that crashed.
    """

    def __init__(
        self,
        is_superseded: Callable[[Endpoint], bool],
        ends_by_itself: Callable[[Endpoint], bool],
        is_reached: Callable[[Endpoint], Awaitable[bool]],
        on_crash: Callable[[CrashedEndpoint], None],
    ) -> None:
        self._is_superseded = is_superseded
        self._ends_by_itself = ends_by_itself
        self._is_reached = is_reached
        self._on_crash = on_crash
        self._interrupted: dict[EndpointId, set[Interrupted]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def report_interrupted(self, endpoint: Endpoint, request: Interrupted) -> None:
        """Check ``endpoint`` for a crash after a request to it was interrupted.

        One that ends by itself is not checked.
        """
        if self._ends_by_itself(endpoint) or endpoint.deregistered_at_s is not None:
            return
        interrupted = self._interrupted.get(endpoint.endpoint_id)
        if interrupted is not None:
            interrupted.add(request)
            return
        self._interrupted[endpoint.endpoint_id] = {request}
        task = asyncio.get_running_loop().create_task(self._check_for_crash(endpoint))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel the checks in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _check_for_crash(self, endpoint: Endpoint) -> None:
        try:
            crashed = await has_ended(endpoint.registration.address)
            crashed = crashed and not await self._is_reached(endpoint)
        finally:
            interrupted = frozenset(self._interrupted.pop(endpoint.endpoint_id))
        if not crashed and not self._is_superseded(endpoint):
            await asyncio.sleep(RESTART_REPORT_S)
        if crashed or self._is_superseded(endpoint):
            self._on_crash(CrashedEndpoint(endpoint, interrupted))
