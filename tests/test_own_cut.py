"""Entries of the own interface that reach no replica."""

import asyncio
import random
import unittest

from nose2.tools import params

from celerytrack.entry.relay_format import (
    RELAY_PATH,
    RelayedCall,
    RelayOrder,
    encode_call,
)
from celerytrack.entry.relay_server import MAX_BODY_BYTES
from celerytrack.load.caller import Outcome, Result
from celerytrack.load.entries import check_entries
from tests.link_cuts import LinkState
from tests.own_cut_fleet import OwnCutFleet

RATE_PER_S = 40.0
KNOWN_AFTER_S = 3.0


async def _serve_while_cut(state: LinkState) -> tuple[list[int], list[int], int]:
    async with OwnCutFleet(3) as fleet:
        rng = random.Random(5)
        await fleet.play(RATE_PER_S, 1.0, rng, 0)
        fleet.links.set_state([0, 1], state)
        results = await fleet.play(RATE_PER_S, KNOWN_AFTER_S + 3.0, rng, 10_000)
        counted = [(e, status) for e, at_s, status in results if at_s > KNOWN_AFTER_S]
        cut = [status for entry, status in counted if entry < 2]
        others = [status for entry, status in counted if entry == 2]
        most_runs = max(fleet.runs_of_once_only().values())
        return cut, others, most_runs


class OwnCutTest(unittest.TestCase):
    @params(LinkState.HANG, LinkState.RESET, LinkState.REFUSE_NEW)
    def test_callers_of_cut_entries_are_served_like_the_others(
        self, state: LinkState
    ) -> None:
        """An entry without links to replicas refused what its neighbours had room
        for."""
        cut, others, most_runs = asyncio.run(_serve_while_cut(state))
        self.assertGreater(len(cut), 20)
        self.assertEqual(set(others), {200})
        self.assertGreaterEqual(cut.count(200), 0.95 * len(cut), cut)
        self.assertEqual(most_runs, 1)


class StatusTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_status_names_what_an_entry_does_not_reach(self) -> None:
        """Operators saw a refusal, and not whose fault it was."""
        async with OwnCutFleet(2) as fleet:
            fleet.services[0].knobs["bears_per_s"] = 3
            fleet.links.set_state([0], LinkState.RESET)
            rng = random.Random(9)
            await fleet.play(RATE_PER_S, 2.0, rng, 0)
            address = fleet.settings.entries[0].address
            async with fleet.http.get(f"http://{address}/status") as answer:
                status = await answer.json()
        self.assertEqual(status["links_down"], ["m", "s"])
        self.assertEqual(status["brittle"], {"service-0": 3.0})
        self.assertEqual(status["limits"], {})


class WayInTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_entries_may_send_requests_through_another(self) -> None:
        """Whoever reached the port for entries had its body read, and was served."""
        async with OwnCutFleet(2) as fleet:
            entry, address = fleet.entries[0], fleet.settings.entries[0].relay_address
            order = RelayOrder("entry-1", "account-1", "lookup", "r1")
            body = encode_call(RelayedCall(order, {}, {}))
            stranger = encode_call(
                RelayedCall(RelayOrder("entry-9", "account-1", "lookup", "r2"), {}, {})
            )
            statuses = []
            for data in (body, stranger, b"{", b"x" * (MAX_BODY_BYTES + 1)):
                url = f"http://{address}{RELAY_PATH}"
                async with fleet.http.post(url, data=data) as answer:
                    statuses.append(answer.status)
            for info in entry.view.entries.values():
                info.peer_address = "192.0.2.1:1"
            async with fleet.http.post(url, data=body) as answer:
                statuses.append(answer.status)
            self.assertEqual(entry.relays_in_progress, 0)
        self.assertEqual(statuses, [200, 503, 503, 413, 503])
        self.assertEqual(sum(sum(s.runs.values()) for s in fleet.services), 1)


class LoadToolTest(unittest.TestCase):
    @params(
        ((40, 40), (40, 40), 0),
        ((40, 0), (40, 40), 1),
        ((40, 29), (40, 40), 0),
        ((40, 20), (40, 24), 0),
        ((10, 0), (40, 40), 0),
    )
    def test_it_tells_when_an_entry_serves_far_worse(
        self, one: tuple[int, int], other: tuple[int, int], behind: int
    ) -> None:
        """Callers who tried again elsewhere hid what their first try met."""
        results = [
            Result("c", "a", Outcome.DONE, first_entry=name, first_served=n < served)
            for name, (tries, served) in (("one", one), ("other", other))
            for n in range(tries)
        ]
        checks = check_entries(results)
        self.assertEqual(sum(check.is_behind for check in checks), behind)
