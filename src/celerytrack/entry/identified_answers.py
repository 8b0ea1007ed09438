"""Whether an answer of a replica belongs to the request that it was read for."""

import aiohttp
from aiohttp.connector import Connection

from celerytrack.bounded_connection import AnsweredResponse

REQUEST_ID_HEADER = "X-Request-Id"
"""Names a request to a replica, and, if the replica repeats it, its answer."""


class IdentifiedResponse(AnsweredResponse):
    """An answer whose connection is kept only if it names its own request.

    A replica may answer twice, the second time late. What arrives on a connection that
    has carried an answer belongs to the next request only if it says so.
    """

    async def start(self, connection: Connection) -> "IdentifiedResponse":
        """Read the head of the answer."""
        protocol = connection.protocol
        await super().start(connection)
        if protocol is not None and not self.names_its_request:
            protocol.force_close()
            if self.connection is None:
                # A short answer has given its connection back already.
                protocol.close()
        return self

    @property
    def names_its_request(self) -> bool:
        """Whether it repeats the id of the request that it was read for."""
        asked = self.request_info.headers.get(REQUEST_ID_HEADER)
        return asked is not None and self.headers.get(REQUEST_ID_HEADER) == asked


def is_own_answer(response: aiohttp.ClientResponse) -> bool:
    """Whether an answer belongs to the request that it was read for.

    The first one of a connection does, whatever it says: replicas may use ids of their
    own, or none.
    """
    if not isinstance(response, IdentifiedResponse):
        return True
    return response.names_its_request or response.is_first
