"""What proves that a service has had one version only, over messages that are lost."""

import asyncio
import random
import time
import unittest
from collections import Counter

from nose2.tools import params

from celerytrack.ids import EntryId, ServiceName
from celerytrack.lab.virtual_time import run_virtual
from celerytrack.origins.messages import (
    OriginMessage,
    SoleVersionAnswer,
    SoleVersionQuery,
    encode_origin_message,
)
from celerytrack.origins.ring import Holder
from celerytrack.origins.sole_versions import SoleVersions, SoleView
from celerytrack.routing.versions import ESTABLISHED_AFTER_S, VIEW_LEASE_S

S = ServiceName("s")
OLD, NEW = "v1", "v2"
OVERHEAD_BYTES = 28
CONTROL_BYTES_PER_S = 22_000
REFUSED_WITHIN_S = 0.35


class _Entries:
    """Entries that exchange messages.

    :ivar views: what each has read; ``None`` if it knows several versions.
    :ivar silent: entries that nothing reaches and that reach nobody.
    :ivar reads: reads of the registrations that were asked for.
    """

    def __init__(self, count: int, lost_share: float = 0.0) -> None:
        self.rng = random.Random(1)
        self.lost_share = lost_share
        self.holders = [Holder(EntryId(f"e{n}"), str(n), 0.0) for n in range(count)]
        self.views: list[SoleView | None] = [SoleView(OLD, -60.0)] * count
        self.silent: set[int] = set()
        self.reads = 0
        self.sent_bytes: Counter[int] = Counter()
        self.entries = [self._make(n) for n in range(count)]

    def _make(self, number: int) -> SoleVersions:
        others = [h for h in self.holders if h.address != str(number)]

        def read_now() -> None:
            self.reads += 1

        return SoleVersions(
            EntryId(f"e{number}"),
            lambda address, message: self._send(number, int(address), message),
            lambda now_s: others,
            lambda service, now_s: self.views[number],
            read_now,
            lambda entry_id: entry_id.removeprefix("e"),
        )

    def _send(self, sender: int, target: int, message: OriginMessage) -> None:
        self.sent_bytes[sender] += len(encode_origin_message(message)) + OVERHEAD_BYTES
        if (sender in self.silent) is not (target in self.silent):
            return
        if self.rng.random() >= self.lost_share:
            assert isinstance(message, SoleVersionQuery | SoleVersionAnswer)
            asyncio.get_running_loop().call_later(
                self.rng.uniform(0.0005, 0.003), self._receive, target, message
            )

    def _receive(
        self, target: int, message: SoleVersionQuery | SoleVersionAnswer
    ) -> None:
        self.entries[target].receive(message, time.monotonic())

    async def ask(self, number: int) -> tuple[str | None, float]:
        """The version that began a stream taken up now, and how long that took."""
        now_s = time.monotonic()
        version = await self.entries[number].find(S, now_s)
        return version, time.monotonic() - now_s


async def _ask_all(entries: _Entries, lasts_s: float) -> list[tuple[str | None, float]]:
    """Take streams up at all entries, twenty a second at each."""
    tasks = []
    for _ in range(round(lasts_s * 20)):
        for number in range(len(entries.entries)):
            tasks.append(asyncio.create_task(entries.ask(number)))
        await asyncio.sleep(0.05)
    return await asyncio.gather(*tasks)


class SoleVersionsTest(unittest.TestCase):
    @params(1, 2, 9, 76, 195)
    def test_all_entries_together_prove_it_within_the_bytes_for_control(
        self, count: int
    ) -> None:
        """While the log was away, each entry asked each other one again and again."""
        entries = _Entries(count, lost_share=0.01)
        lasts_s = 6.0
        answers = run_virtual(_ask_all(entries, lasts_s))
        refused = [answer for answer in answers if answer[0] != OLD]
        self.assertLessEqual(len(refused), 0.05 * len(answers))
        busiest = max(entries.sent_bytes.values(), default=0)
        self.assertLess(busiest / lasts_s, CONTROL_BYTES_PER_S)

    @params(2, 9, 195)
    def test_one_entry_that_does_not_answer_leaves_it_unproved(
        self, count: int
    ) -> None:
        """An entry that was cut off from the others may have read another version."""
        entries = _Entries(count)
        entries.silent = {count - 1}
        answers = run_virtual(_ask_all(entries, 3.0))
        self.assertEqual({version for version, _ in answers}, {None})
        self.assertLess(max(took_s for _, took_s in answers), REFUSED_WITHIN_S)

    @params((76, 1), (195, 1), (195, 65))
    def test_what_can_not_be_proved_is_not_asked_all_the_time(
        self, count: int, cut: int
    ) -> None:
        """While some were cut off, the others asked everyone twice a second."""
        entries = _Entries(count, lost_share=0.01)
        entries.silent = set(range(cut))
        lasts_s = 6.0
        run_virtual(_ask_all(entries, lasts_s))
        busiest = max(entries.sent_bytes.values())
        self.assertLess(busiest / lasts_s, CONTROL_BYTES_PER_S)

    def test_one_entry_that_knows_another_version_leaves_it_unproved(self) -> None:
        """The answers of the others outvoted it."""
        entries = _Entries(9)
        entries.views[4] = None
        answers = run_virtual(_ask_all(entries, 2.0))
        self.assertEqual({version for version, _ in answers}, {None})

    def test_one_fresh_view_is_enough(self) -> None:
        """Entries whose links to the log were silent refused what another proved."""

        async def ask() -> list[tuple[str | None, float]]:
            entries = _Entries(9)
            entries.silent = {7}
            entries.views[4] = SoleView(OLD, time.monotonic())
            return [await entries.ask(n) for n in range(7)]

        self.assertEqual([version for version, _ in run_virtual(ask())], [OLD] * 7)

    def test_no_proof_outlasts_the_time_in_which_no_stream_begins(self) -> None:
        """An entry read another version right after it had answered, and let streams
        begin there while others still trusted its answer."""

        async def ask() -> float:
            entries = _Entries(9)
            assert (await entries.ask(0))[0] == OLD
            answered_s = time.monotonic()
            entries.views[1:] = [None] * 8
            while (await entries.ask(0))[0] == OLD:
                await asyncio.sleep(0.01)
            return time.monotonic() - answered_s

        self.assertLess(run_virtual(ask()), ESTABLISHED_AFTER_S + REFUSED_WITHIN_S)

    def test_a_fresh_view_asks_nobody(self) -> None:
        """A service at rest cost messages and reads of the log."""

        async def ask() -> _Entries:
            entries = _Entries(9)
            entries.views[0] = SoleView(OLD, time.monotonic() - VIEW_LEASE_S + 0.01)
            assert (await entries.ask(0))[0] == OLD
            return entries

        entries = run_virtual(ask())
        self.assertEqual((entries.reads, entries.sent_bytes), (0, Counter()))
