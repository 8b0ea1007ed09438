"""Unplanned exits of a process while requests are in progress."""

import asyncio
import unittest

from nose2.tools import params

from celerytrack.platform.topics import ENTRIES_TOPIC
from tests.gateway_fleet import Script
from tests.test_planned_stop import Site, _long_stream, _slow_answer


class FencedTest(unittest.TestCase):
    @params(
        # script of the endpoint, path, status of the answer, whether it is complete
        (_long_stream, "/stream/x", 200, False),
        (_slow_answer, "/once/x", 504, True),
    )
    def test_requests_in_progress_are_answered(self, script, path, status, whole):
        """Guards against a fenced process that closes connections without an answer."""
        asyncio.run(self._answered(script, path, status, whole))

    async def _answered(
        self, script: Script, path: str, status: int, whole: bool
    ) -> None:
        async with Site(script) as site:
            asking = [asyncio.create_task(site.ask(path)) for _ in range(4)]
            await site.gateway.until(lambda: len(site.endpoint.seen) == 4, 3.0)
            producers = site.log.topic(ENTRIES_TOPIC).producers
            for name, (epoch, number) in list(producers.items()):
                producers[name] = (epoch + 1, number)
            self.assertEqual(await site.gateway.wait_for_exit(3.0), 1)
            outcomes = await asyncio.gather(*asking)
            got = [(outcome.status, outcome.complete) for outcome in outcomes]
            self.assertEqual(got, [(status, whole)] * 4)


if __name__ == "__main__":
    unittest.main()
