"""The account of what callers hold: who yields, who doesn't, and who is refused."""

import asyncio
import unittest

from nose2.tools import params

from celerytrack.callers.account import (
    LARGE_SHARE,
    PROGRESS_BYTES,
    SMALL_BYTES,
    STALL_S,
    Hold,
    HoldKind,
    MemoryAccount,
)

BUDGET_BYTES = 1_000_000
LARGE_BYTES = int(LARGE_SHARE * BUDGET_BYTES)


class _Holder:
    """A caller's hold that counts how often it yields."""

    def __init__(
        self, account: MemoryAccount, at_s: float, kind: HoldKind = HoldKind.BODY
    ) -> None:
        self.evicted = 0
        self.unsent_bytes = 0
        self.hold: Hold = account.open(kind, self._evict, at_s)

    def _evict(self) -> None:
        self.evicted += 1

    def unsent(self) -> int:
        return self.unsent_bytes


class AccountTest(unittest.TestCase):
    def setUp(self) -> None:
        self.account = MemoryAccount(BUDGET_BYTES)

    def _holder(
        self, count: int, at_s: float, kind: HoldKind = HoldKind.BODY
    ) -> _Holder:
        holder = _Holder(self.account, at_s, kind)
        self.account.grow(holder.hold, count, at_s)
        return holder

    @params(
        # time since the first sent, its last bytes, whether it yields
        (STALL_S - 0.1, 0, False),
        (STALL_S, 0, True),
        (STALL_S, PROGRESS_BYTES - 1, True),
        (STALL_S, PROGRESS_BYTES, False),
    )
    def test_only_a_caller_that_stalls_yields(
        self, age_s: float, sent: int, yields: bool
    ) -> None:
        """One that sent a byte now and then kept its place, or a sound one lost it."""
        first = self._holder(LARGE_BYTES, 0.0)
        self.account.record_progress(first.hold, sent, age_s - 0.1)
        second = _Holder(self.account, age_s)
        self.assertEqual(self.account.try_grow(second.hold, 100_000, age_s), yields)
        self.assertEqual(first.evicted, int(yields))

    def test_the_longest_stalled_yields_first(self) -> None:
        """A caller that had just paused yielded to those that had left for good."""
        holders = [self._holder(LARGE_BYTES // 3, float(i)) for i in range(3)]
        needy = _Holder(self.account, 9.0)
        self.assertTrue(self.account.try_grow(needy.hold, LARGE_BYTES // 2, 9.0))
        self.assertEqual([h.evicted for h in holders], [1, 1, 0])

    @params((SMALL_BYTES, True), (SMALL_BYTES + 1, False))
    def test_large_requests_leave_room_for_small_ones(
        self, count: int, fits: bool
    ) -> None:
        """Large bodies that were all in progress kept ordinary requests out."""
        running = self._holder(LARGE_BYTES, 0.0)
        self.account.stop_waiting(running.hold)
        small = _Holder(self.account, 9.0)
        self.assertEqual(self.account.try_grow(small.hold, count, 9.0), fits)
        self.assertEqual(running.evicted, 0)

    def test_a_request_alone_may_exceed_the_budget(self) -> None:
        """A single request inside its own limits was refused in calm."""
        alone = _Holder(self.account, 0.0)
        self.assertTrue(self.account.try_grow(alone.hold, 2 * BUDGET_BYTES, 0.0))

    def test_one_beyond_the_budget_keeps_no_small_request_out(self) -> None:
        """One large request that ran alone had all others refused until its end."""
        alone = self._holder(2 * BUDGET_BYTES, 0.0)
        self.account.stop_waiting(alone.hold)
        small, large = (_Holder(self.account, 9.0) for _ in range(2))
        self.assertTrue(self.account.try_grow(small.hold, SMALL_BYTES, 9.0))
        self.assertFalse(self.account.try_grow(large.hold, SMALL_BYTES + 1, 9.0))

    def test_small_requests_have_no_more_than_their_share_beside_it(self) -> None:
        """What they held beside it wasn't bounded."""
        alone = self._holder(2 * BUDGET_BYTES, 0.0)
        self.account.stop_waiting(alone.hold)
        counts = [0, 0]
        for _ in range(BUDGET_BYTES // SMALL_BYTES):
            hold = _Holder(self.account, 9.0).hold
            self.account.stop_waiting(hold)
            counts[self.account.try_grow(hold, SMALL_BYTES, 9.0)] += 1
        room = BUDGET_BYTES - LARGE_BYTES
        self.assertEqual(counts[True], room // SMALL_BYTES)

    def test_what_is_given_back_is_had_by_others(self) -> None:
        """Memory of requests that were over was lost to the account."""
        for at_s in range(100):
            holder = self._holder(LARGE_BYTES, float(at_s))
            self.account.close(holder.hold)
            self.account.close(holder.hold)
        self.assertEqual(self.account.total_bytes, 0)
        self.assertEqual(sum(self.account.held_bytes), 0)

    @params((10, 1), (0, 0))
    def test_a_caller_that_takes_its_answer_slowly_goes_on(
        self, taken: int, expected: int
    ) -> None:
        """A sound but slow reader was taken for one that reads nothing."""
        slow = self._holder(LARGE_BYTES, 0.0, HoldKind.ANSWER)
        other = self._holder(LARGE_BYTES, 0.1, HoldKind.ANSWER)
        for holder in (slow, other):
            holder.unsent_bytes = 10_000
            self.account.begin_waiting(holder.hold, holder.unsent, 0.1)
        slow.unsent_bytes -= taken
        other.unsent_bytes -= 10
        self.account.sweep(STALL_S, idle_s=15.0)
        needy = _Holder(self.account, STALL_S + 0.1)
        self.account.try_grow(needy.hold, SMALL_BYTES + 1, STALL_S + 0.2)
        self.assertEqual(slow.evicted, 1 - expected)
        self.assertEqual(other.evicted, 0)

    def test_a_caller_that_takes_nothing_is_idle_in_the_end(self) -> None:
        """It was never disconnected."""
        left = self._holder(10, 0.0, HoldKind.ANSWER)
        self.account.begin_waiting(left.hold, left.unsent, 0.0)
        self.account.sweep(15.0, idle_s=15.0)
        self.assertEqual(left.evicted, 0)
        self.account.sweep(15.1, idle_s=15.0)
        self.assertEqual(left.evicted, 1)

    @params(("s", 1), ("other", 0))
    def test_only_a_stalled_stream_of_the_service_gives_its_place(
        self, place: str, expected: int
    ) -> None:
        """A request that found no room ended streams from which it had nothing."""
        stream = self._holder(10, 0.0, HoldKind.STREAM)
        stream.hold.place = "s"
        self.assertFalse(self.account.free_place(place, STALL_S - 0.1))
        self.assertEqual(self.account.free_place(place, STALL_S), bool(expected))
        self.assertEqual(stream.evicted, expected)

    def test_answers_that_are_read_do_not_wait_for_each_other(self) -> None:
        """Each held a part of the budget, and none got on."""
        asyncio.run(self._read_answers())

    async def _read_answers(self) -> None:
        async def read(holder: _Holder) -> None:
            self.account.begin_reading(holder.hold)
            for _ in range(10):
                await self.account.grow_answer(holder.hold, 100_000, lambda: 0.0)
                await asyncio.sleep(0)
            self.account.close(holder.hold)

        holders = [_Holder(self.account, 0.0, HoldKind.ANSWER) for _ in range(5)]
        async with asyncio.timeout(5.0):
            await asyncio.gather(*map(read, holders))
        self.assertEqual(self.account.total_bytes, 0)


if __name__ == "__main__":
    unittest.main()
