"""Recovery of an entry's row, which the log has lost, from other entries."""

import time
import unittest

import aiohttp

from celerytrack.eras import Era
from celerytrack.gateway.peer_requests import PeerClient
from celerytrack.ids import AccountId, EntryId
from celerytrack.platform.rows import RowError, decode_shares, encode_shares
from celerytrack.prepaid import AccountClaim, PrepaidBudgets
from tests.gateway_fleet import Fleet

T = AccountId("t")
ME = EntryId("e0")


class RowRecoveryTest(unittest.IsolatedAsyncioTestCase):
    async def test_peer_returns_the_row_it_knows(self) -> None:
        """Guards against tokens that are spent twice: a new incarnation trusted the
        backup, and other entries claimed again what its predecessor had claimed."""
        async with Fleet(gateways=2) as fleet:
            first, second = fleet.gateways
            known = second.share_sync.budgets.restore_hold.known_row
            await fleet.wait_until(lambda: T in known(first.entry_id))
            client = PeerClient()
            self.addAsyncCleanup(client.close)
            address = second.settings.peer_address
            row = await client.fetch_row(address, first.entry_id)
            self.assertEqual(row.keys(), known(first.entry_id).keys())
            self.assertEqual(await client.fetch_row(address, EntryId("nobody")), {})
            async with (
                aiohttp.ClientSession() as http,
                http.post(f"http://{address}/row") as answer,
            ):
                self.assertEqual(answer.status, 404)

    async def test_unreachable_peer_returns_an_empty_row(self) -> None:
        client = PeerClient()
        self.addAsyncCleanup(client.close)
        started_s = time.monotonic()
        self.assertEqual(await client.fetch_row("127.0.0.1:1", ME), {})
        self.assertLess(time.monotonic() - started_s, 0.5)

    def test_recovered_claim_counts_as_spent(self) -> None:
        budgets = PrepaidBudgets(ME)
        budgets.set_totals({T: 1_000})
        budgets.fold(ME, {T: AccountClaim(claimed_tokens=100, used_tokens=50)}, Era(1))
        budgets.merge_own_row({T: AccountClaim(claimed_tokens=400, used_tokens=300)})
        budgets.merge_own_row({T: AccountClaim(claimed_tokens=200, used_tokens=350)})
        budgets.adopt(None)
        self.assertEqual(budgets.rows.own_row()[T].claimed_tokens, 400)
        self.assertLessEqual(budgets.available_tokens(T, 0.0), 0)

    def test_shares_survive_a_round_trip_and_bad_bytes_are_rejected(self) -> None:
        shares = {T: AccountClaim(claimed_tokens=5, used_tokens=2)}
        self.assertEqual(decode_shares(encode_shares(shares)), shares)
        for raw in (b"", b"\x01", b"\x81\xa1t\x01", b"\x81\xa1t\x91\xc3"):
            with self.assertRaises(RowError):
                decode_shares(raw)
