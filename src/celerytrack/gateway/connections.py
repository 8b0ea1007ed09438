"""Connections to endpoints, kept separately for each incarnation of an endpoint.

An endpoint may restart under the same id and address. A call that is then sent on a
connection to the previous incarnation is reset at best, and its outcome is unknown
although nothing ran it. Connections are therefore closed with their incarnation.
"""

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import AsyncIterator, Callable

import aiohttp

from celerytrack.answer_limits import AnswerBytes, AnswerLimits
from celerytrack.gateway.end_witness import Witness
from celerytrack.http_session import ConnectionEnd, GatedConnector, make_http_session
from celerytrack.ids import EndpointId
from celerytrack.process_end import CONNECT_TIMEOUT_S
from celerytrack.routing.endpoint import Endpoint

ENDPOINT_IDLE_S = 4.0
"""Idle time after which a connection to an endpoint is not reused. It is below the idle
timeouts that endpoints announce: an endpoint that closes an idle connection while a
request is in transit leaves the outcome of that request unknown."""


SAME_END_S = 0.1
"""Time between which two entries see connections of one process end: each event loop
may be late."""


class EndpointGoneError(Exception):
    """The incarnation of the endpoint to which a request was sent is gone."""


class IncarnationConnections:
    """Connections to one incarnation of an endpoint, and the requests on them.

    :param may_send: whether the endpoint may be sent a request now.
    :param on_connected: called when a new connection was made.
    :param on_ended: called when the endpoint has ended the last open connection, with
        whether it had announced that. While one lives on, so does the process at its
        other end.
    :param limits: bounds of its answers.
    :ivar answer_bytes: those that are read to their end.
    """

    def __init__(
        self,
        may_send: Callable[[], bool],
        on_connected: Callable[[], None],
        on_ended: Callable[[bool], None],
        limits: AnswerLimits,
    ) -> None:
        self.answer_bytes = AnswerBytes(limits)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self.session = make_http_session(
            ENDPOINT_IDLE_S,
            timeout,
            auto_decompress=False,
            may_send=lambda address: may_send(),
            on_connected=lambda address: on_connected(),
            limits=limits,
        )
        # aiohttp repeats a GET on its own when a reused connection breaks, so a call
        # that must run at most once could run twice without notice.
        self.session._retry_connection = False
        self._opened_s: deque[float] = deque()
        self._ended_s = float("-inf")
        self._on_ended = on_ended
        connector = self.session.connector
        assert isinstance(connector, GatedConnector)
        connector.watch(self._record_open, self._record_closed)
        self._requests: set[asyncio.Timeout] = set()

    def _record_open(self) -> None:
        self._opened_s.append(time.monotonic())

    def _record_closed(self, end: ConnectionEnd) -> None:
        # Which one ended is not known. Taking it for the oldest, no connection is
        # counted as older than it is.
        self._opened_s.popleft()
        if end is ConnectionEnd.BY_PEER:
            self._ended_s = time.monotonic()
        if end is not ConnectionEnd.HERE and not self._opened_s:
            self._on_ended(end is ConnectionEnd.ANNOUNCED)

    def witness(self, at_s: float, earlier_s: float = 0.0) -> Witness:
        """What these connections say of an end of the process.

        :param at_s: latest time of the sign of an end.
        :param earlier_s: by how much earlier it may have been.
        """
        if self._opened_s and self._opened_s[0] < at_s - earlier_s:
            return Witness.KEPT
        if -earlier_s - SAME_END_S <= self._ended_s - at_s <= SAME_END_S:
            return Witness.ENDED
        return Witness.NONE

    @contextlib.asynccontextmanager
    async def abort_on_loss(self) -> AsyncIterator[asyncio.Timeout]:
        """Abort the enclosed request if the incarnation is lost.

        It yields the timeout that does so.

        The connection alone does not end the request: a connection to an instance that
        was unreachable stays open and silent until the caller's deadline.

        :raises EndpointGoneError: if the incarnation was lost.
        """
        timeout = asyncio.timeout(None)
        self._requests.add(timeout)
        try:
            async with timeout:
                yield timeout
        except TimeoutError:
            if timeout.expired():
                raise EndpointGoneError from None
            raise
        finally:
            self._requests.discard(timeout)

    async def abort(self) -> None:
        """Abort the requests and close the connections."""
        now_s = asyncio.get_running_loop().time()
        for timeout in self._requests:
            timeout.reschedule(now_s)
        while self._requests:
            await asyncio.sleep(0)
        await self.session.close()


class EndpointConnections:
    """Connections to the current incarnation of each endpoint.

    :param may_send: whether an endpoint may be sent a request now.
    :param on_connected: called with an endpoint when a new connection was made.
    :param on_ended: called with an endpoint that has ended the last open connection,
        and whether it had announced that.
    :param limits: bounds of the answers of each endpoint.
    """

    def __init__(
        self,
        may_send: Callable[[Endpoint], bool],
        on_connected: Callable[[Endpoint], None],
        on_ended: Callable[[Endpoint, bool], None],
        limits: AnswerLimits,
    ) -> None:
        self._limits = limits
        self._may_send = may_send
        self._on_connected = on_connected
        self._on_ended = on_ended
        self._current: dict[EndpointId, IncarnationConnections] = {}
        self._closing: set[asyncio.Task[None]] = set()

    def get(self, endpoint: Endpoint) -> IncarnationConnections:
        """Return the connections to an endpoint's current incarnation."""
        current = self._current.get(endpoint.endpoint_id)
        if current is None:
            current = IncarnationConnections(
                lambda: self._may_send(endpoint),
                lambda: self._on_connected(endpoint),
                lambda announced: self._on_ended(endpoint, announced),
                self._limits,
            )
            self._current[endpoint.endpoint_id] = current
        return current

    def witness(
        self, endpoint_id: EndpointId, at_s: float, earlier_s: float = 0.0
    ) -> Witness:
        """What the connections to an endpoint say of an end of its process at
        ``at_s``, or by ``earlier_s`` earlier."""
        current = self._current.get(endpoint_id)
        return Witness.NONE if current is None else current.witness(at_s, earlier_s)

    def drop(self, endpoint_id: EndpointId) -> None:
        """Close the connections to an incarnation that is gone; another may follow."""
        lost = self._current.pop(endpoint_id, None)
        if lost is None:
            return
        task = asyncio.get_running_loop().create_task(lost.abort())
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Close all connections."""
        current = list(self._current.values())
        self._current.clear()
        await asyncio.gather(*(group.abort() for group in current), *self._closing)
