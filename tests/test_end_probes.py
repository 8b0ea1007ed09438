"""Probes of the addresses of endpoints whose answers end."""

import asyncio
import time
import unittest
from contextlib import AbstractContextManager
from unittest import mock

from nose2.tools import params

from celerytrack.gateway import end_probes
from celerytrack.gateway.end_probes import MAX_WAIT_S, EndProbes
from celerytrack.process_end import ConnectResult

ADDRESS = "127.0.0.1:1"
MANY = 50
TAKES_S = 0.02
WAIT_TOLERANCE_S = 0.2


class Address:
    """An address that gives one result after another.

    :ivar probes: how often it was connected to.
    """

    def __init__(self, *results: ConnectResult, takes_s: float = TAKES_S) -> None:
        self.probes = 0
        self._results = list(results)
        self._takes_s = takes_s

    async def probe(self, address: str) -> ConnectResult:
        self.probes += 1
        result = self._results.pop(0)
        await asyncio.sleep(self._takes_s)
        return result


async def _ask_at_once(result: ConnectResult) -> tuple[list[bool], int]:
    """What each of many answers learns, and how often the address was connected to."""
    address = Address(result)
    with _probed(address):
        probes, now_s = EndProbes(), time.monotonic()
        asked = [probes.refuses(ADDRESS, now_s) for _ in range(MANY)]
        return await asyncio.gather(*asked), address.probes


async def _ask_twice() -> list[bool]:
    address = Address(ConnectResult.ACCEPTED, ConnectResult.REFUSED)
    with _probed(address):
        probes = EndProbes()
        first = asyncio.create_task(probes.refuses(ADDRESS, time.monotonic()))
        await asyncio.sleep(TAKES_S / 2)
        second = asyncio.create_task(probes.refuses(ADDRESS, time.monotonic()))
        return [await first, await second]


async def _ask_slow() -> tuple[bool, float]:
    with _probed(Address(ConnectResult.UNREACHABLE, takes_s=3 * MAX_WAIT_S)):
        began_s = time.monotonic()
        refuses = await EndProbes().refuses(ADDRESS, began_s)
        return refuses, time.monotonic() - began_s


def _probed(address: Address) -> AbstractContextManager[object]:
    return mock.patch.object(end_probes, "probe_address", address.probe)


class EndProbeTest(unittest.TestCase):
    @params(
        (ConnectResult.REFUSED, True),
        (ConnectResult.ACCEPTED, False),
        (ConnectResult.UNREACHABLE, False),
    )
    def test_answers_that_end_at_once_share_a_probe(
        self, result: ConnectResult, refuses: bool
    ) -> None:
        """Each of the answers that ended with a process connected to its address."""
        asked = asyncio.run(_ask_at_once(result))
        self.assertEqual(asked, ([refuses] * MANY, 1))

    def test_a_probe_before_an_answer_ended_does_not_tell_that_it_lives(self) -> None:
        """A process that accepted a connection and ended then counted as alive."""
        self.assertEqual(asyncio.run(_ask_twice()), [False, True])

    def test_an_answer_does_not_wait_long(self) -> None:
        """A plain answer came half a second later."""
        refuses, took_s = asyncio.run(_ask_slow())
        self.assertFalse(refuses)
        self.assertLess(took_s, MAX_WAIT_S + WAIT_TOLERANCE_S)
