"""Gateways that are killed while they write an answer."""

import asyncio
import re
import signal
import unittest

from nose2.tools import params

from tests.gateway_fleet import Script
from tests.raw_endpoints import parse_answer
from tests.test_planned_stop import HEADERS, Site, _large_answer, _long_stream

READ_BEFORE_BYTES = 1_000
BEGUN_S = 0.5


async def _read_killed(script: Script, path: str, version: str) -> tuple[bytes, bool]:
    """What a caller reads of an answer whose entry is killed meanwhile, and whether its
    connection ended by FIN."""
    async with Site(script) as site:
        host, port = site.gateway.front_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=1_000)
        head = "".join(f"{name}: {value}\r\n" for name, value in HEADERS.items())
        request = f"POST {path} HTTP/{version}\r\n{head}Content-Length: 0\r\n\r\n"
        writer.write(request.encode())
        data = await reader.read(READ_BEFORE_BYTES)
        await asyncio.sleep(BEGUN_S)
        site.gateway.signal(signal.SIGKILL)
        try:
            async with asyncio.timeout(5.0):
                while piece := await reader.read(2**20):
                    data += piece
            return data, True
        except ConnectionResetError:
            return data, False
        finally:
            writer.close()


class KilledWhileWritingTest(unittest.TestCase):
    @params(
        # script of the endpoint, path, version of HTTP
        (_large_answer, "/once/x", "1.1"),
        (_large_answer, "/once/x", "1.0"),
        (_long_stream, "/stream/x", "1.1"),
        (_long_stream, "/resume/x", "1.1"),
        (_long_stream, "/resume/x", "1.0"),
    )
    def test_an_answer_does_not_look_complete(
        self, script: Script, path: str, version: str
    ) -> None:
        """The kernel ends the connections of a killed process as at the end of an
        answer."""
        data, by_fin = asyncio.run(_read_killed(script, path, version))
        self.assertRegex(data, re.compile(rb"\AHTTP/1\.\d 200 "))
        self.assertFalse(by_fin and parse_answer(data).whole)


if __name__ == "__main__":
    unittest.main()
