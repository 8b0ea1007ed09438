"""What an entry asks of the others about the row that the log has lost."""

import time
import unittest

import aiohttp

from celerytrack.eras import Era
from celerytrack.gateway.gifts import GiftClient
from celerytrack.ids import AccountId, EntryId
from celerytrack.platform.rows import RowError, decode_shares, encode_shares
from celerytrack.prepaid import AccountClaim, PrepaidBudgets
from tests.gateway_fleet import Fleet

T = AccountId("t")
ME = EntryId("e0")


class RecallTest(unittest.IsolatedAsyncioTestCase):
    async def test_another_entry_tells_the_row_it_knows(self) -> None:
        """A start believed the copy, and its former claims were given out again."""
        async with Fleet(gateways=2) as fleet:
            first, second = fleet.gateways
            known = second.keeper.book.restore_hold.known_row
            await fleet.until(lambda: T in known(first.entry_id))
            client = GiftClient()
            self.addAsyncCleanup(client.close)
            address = second.settings.peer_address
            row = await client.ask_row(address, first.entry_id)
            self.assertEqual(row.keys(), known(first.entry_id).keys())
            self.assertEqual(await client.ask_row(address, EntryId("nobody")), {})
            async with (
                aiohttp.ClientSession() as http,
                http.post(f"http://{address}/row") as answer,
            ):
                self.assertEqual(answer.status, 404)

    async def test_one_that_does_not_answer_tells_nothing(self) -> None:
        client = GiftClient()
        self.addAsyncCleanup(client.close)
        began_s = time.monotonic()
        self.assertEqual(await client.ask_row("127.0.0.1:1", ME), {})
        self.assertLess(time.monotonic() - began_s, 0.5)

    def test_what_is_recalled_counts_as_spent(self) -> None:
        book = PrepaidBudgets(ME)
        book.set_totals({T: 1_000})
        book.fold(ME, {T: AccountClaim(claimed_tokens=100, used_tokens=50)}, Era(1))
        book.merge_own_row({T: AccountClaim(claimed_tokens=400, used_tokens=300)})
        book.merge_own_row({T: AccountClaim(claimed_tokens=200, used_tokens=350)})
        book.adopt(None)
        self.assertEqual(book.rows.own_row()[T].claimed_tokens, 400)
        self.assertLessEqual(book.available_tokens(T, 0.0), 0)

    def test_shares_are_read_as_written_and_nothing_else_is(self) -> None:
        shares = {T: AccountClaim(claimed_tokens=5, used_tokens=2)}
        self.assertEqual(decode_shares(encode_shares(shares)), shares)
        for raw in (b"", b"\x01", b"\x81\xa1t\x01", b"\x81\xa1t\x91\xc3"):
            with self.assertRaises(RowError):
                decode_shares(raw)
