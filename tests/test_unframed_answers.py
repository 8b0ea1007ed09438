"""Streams to callers of HTTP/1.0, which end with their connection."""

import asyncio
import signal
import unittest

from nose2.tools import params

from tests.gateway_fleet import Fleet
from tests.raw_endpoints import RawEndpoint, RawRequest, answer_head, chunk, event
from tests.test_planned_stop import GRACE_S, HEADERS, Site, _long_stream

EVENTS = 6
CUT_AFTER = 3


async def _read_stream(address: str, path: str) -> tuple[int, bool]:
    """Events that a caller of HTTP/1.0 got, and whether the end looks complete."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"{name}: {value}" for name, value in HEADERS.items()]
    head = "\r\n".join([f"POST {path} HTTP/1.0", *lines, "Content-Length: 4"])
    writer.write(head.encode() + b"\r\n\r\nbody")
    data, is_whole = b"", True
    try:
        while piece := await asyncio.wait_for(reader.read(65_536), 10.0):
            data += piece
    except ConnectionResetError:
        is_whole = False
    finally:
        writer.close()
    return data.count(b"id: "), is_whole


async def _play(last: int, whole: bool) -> tuple[int, bool]:
    async def script(request: RawRequest, writer: asyncio.StreamWriter) -> None:
        head = answer_head(request, "200 OK", "Transfer-Encoding: chunked")
        events = b"".join(event(number) for number in range(1, last + 1))
        writer.write(head + chunk(events) + (b"0\r\n\r\n" if whole else b""))

    async with Fleet(RawEndpoint("i-0", script)) as fleet:
        address = fleet.gateways[0].settings.front_address
        return await _read_stream(address, "/stream/x")


async def _kill_entry() -> tuple[int, bool]:
    async with Site(_long_stream, GRACE_S) as site:
        reading = asyncio.create_task(
            _read_stream(site.gateway.front_address, "/stream/x")
        )
        await asyncio.sleep(1.0)
        site.gateway.signal(signal.SIGKILL)
        return await reading


class UnframedAnswerTest(unittest.TestCase):
    @params((CUT_AFTER, False), (EVENTS, True))
    def test_a_stream_that_breaks_off_does_not_look_complete(
        self, last: int, whole: bool
    ) -> None:
        """The caller's connection ended as at the end of a whole stream."""
        got = asyncio.run(_play(last, whole))
        self.assertEqual(got[1], whole)
        if whole:
            self.assertEqual(got[0], EVENTS)

    def test_a_stream_of_a_killed_entry_does_not_look_complete(self) -> None:
        """The kernel ends the connections of a killed process with FIN."""
        events, is_whole = asyncio.run(_kill_entry())
        self.assertGreater(events, 0)
        self.assertFalse(is_whole)
