"""Endpoints whose answers name the software version that wrote them."""

import asyncio

from tests.raw_endpoints import RawEndpoint, RawRequest, answer_head, chunk, event

OLD, NEW = "v1", "v2"
EVENTS = 5


class VersionNamingEndpoint(RawEndpoint):
    """An endpoint whose streams have five events, and a head with its version.

    :param first_event_after_s: time that a stream takes to begin.
    """

    def __init__(
        self, name: str, version: str, first_event_after_s: float = 0.0
    ) -> None:
        super().__init__(name, self._write_answer, keeps=True)
        self.version = version
        self._first_event_after_s = first_event_after_s

    def registration(self, **fields: object) -> bytes:
        return super().registration(**{"version": self.version, **fields})

    async def _write_answer(
        self, request: RawRequest, writer: asyncio.StreamWriter
    ) -> None:
        await asyncio.sleep(self._first_event_after_s)
        first = int(request.header("Last-Event-Id") or 0) + 1
        version = f"X-Wrote: {self.version}"
        head = answer_head(request, "200 OK", version, "Transfer-Encoding: chunked")
        body = b"".join(chunk(event(number)) for number in range(first, EVENTS + 1))
        writer.write(head + body + chunk(b""))
