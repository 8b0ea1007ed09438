"""Asks an endpoint's address which process is there now.

A process that is killed may be followed by another one at its address before anybody
looks, and its listener may take a last connection as it closes.
"""

import asyncio
import enum
import socket
from collections.abc import Callable

from celerytrack import http_session
from celerytrack.answer_heads import BrokenHeadError, HeadReader, WholeHead
from celerytrack.ids import EndpointId
from celerytrack.platform.http import encode_identity_check, names_process
from celerytrack.routing.endpoint import Endpoint

MAX_WAIT_S = 0.25
"""Longest time for which the end of an answer waits for one check."""
RETRY_DELAYS_S = (0.0, 0.02, 0.05)
"""Delays before the checks while connections are closed without an answer: a listener
that closes refuses soon after, an endpoint at its limit of connections goes on."""
_MAX_HEAD_BYTES = 16_384


class Identity(enum.Enum):
    """What a check says of the process at an address."""

    SAME = "same"
    """It is the endpoint, or says nothing in time."""
    OTHER = "other"
    UNNAMED = "unnamed"
    """It answers, and doesn't say who it is, as each endpoint does."""
    NONE = "none"
    CLOSED = "closed"
    """The connection was closed without an answer."""


_IDENTITY_OF = {
    True: Identity.SAME,
    False: Identity.OTHER,
    None: Identity.UNNAMED,
}


async def has_other_process(endpoint: Endpoint, health_path: str) -> bool:
    """Whether an endpoint's process isn't at its address any more."""
    for delay_s in RETRY_DELAYS_S:
        await asyncio.sleep(delay_s)
        identity = await check_identity(
            endpoint.registration.address, endpoint.endpoint_id, health_path
        )
        if identity is Identity.UNNAMED:
            return not endpoint.is_unnamed
        if identity is not Identity.CLOSED:
            return identity is not Identity.SAME
    return False


class NamingChecks:
    """Finds out which endpoints answer checks without saying who they are.

    A check that is over while an answer of the process still goes on was answered by
    that process. Without it, the answers of an endpoint whose health check names nobody
    would all look as if another process had followed.
    """

    def __init__(self) -> None:
        self._tasks: dict[EndpointId, asyncio.Task[None]] = {}

    def begin(
        self, endpoint: Endpoint, health_path: str, is_going_on: Callable[[], bool]
    ) -> None:
        """Check an endpoint as an answer of it begins, once at a time.

        :param is_going_on: whether the answer hasn't ended.
        """
        endpoint_id = endpoint.endpoint_id
        if endpoint.is_unnamed or endpoint_id in self._tasks:
            return
        task = asyncio.create_task(_find_unnamed(endpoint, health_path, is_going_on))
        self._tasks[endpoint_id] = task
        task.add_done_callback(lambda _: self._tasks.pop(endpoint_id, None))

    async def close(self) -> None:
        """End the checks in progress."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _find_unnamed(
    endpoint: Endpoint, health_path: str, is_going_on: Callable[[], bool]
) -> None:
    identity = await check_identity(
        endpoint.registration.address, endpoint.endpoint_id, health_path
    )
    endpoint.is_unnamed = identity is Identity.UNNAMED and is_going_on()


async def check_identity(
    address: str, endpoint_id: EndpointId, health_path: str
) -> Identity:
    """Ask the process at ``address`` whether it is ``endpoint_id``."""
    host, port = address.rsplit(":", 1)
    target = (host, int(port))
    sock = http_session.make_socket(
        (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", target)
    )
    loop = asyncio.get_running_loop()
    reader = HeadReader(_MAX_HEAD_BYTES)
    whole: WholeHead | None = None
    try:
        async with asyncio.timeout(MAX_WAIT_S):
            await loop.sock_connect(sock, target)
            request = encode_identity_check(address, health_path, endpoint_id)
            await loop.sock_sendall(sock, request)
            while whole is None:
                data = await loop.sock_recv(sock, _MAX_HEAD_BYTES)
                if not data:
                    return Identity.CLOSED
                whole = reader.feed(data)
    except BrokenHeadError:
        return Identity.UNNAMED
    except ConnectionRefusedError:
        return Identity.NONE
    except TimeoutError:
        return Identity.SAME
    except OSError:
        return Identity.CLOSED
    finally:
        sock.close()
    return _IDENTITY_OF[names_process(whole.head, endpoint_id)]
