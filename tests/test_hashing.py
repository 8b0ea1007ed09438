"""Tests of hashes of text that has no UTF-8 form: each of them ended the process."""

import unittest
from collections.abc import Callable

from nose2.tools import params

from celerytrack.hashing import hash64
from celerytrack.ids import AccountId, EntryId, RequestId
from celerytrack.origins.memory import StreamId
from celerytrack.origins.ring import Holder, HolderRing
from celerytrack.prompts import BLOCK_CHARS, prompt_blocks
from celerytrack.routing.rendezvous import rendezvous

HALF_PAIR = "\ud83d"
ODD_BYTE = b"\xff".decode(errors="surrogateescape")


def _ring(text: str) -> object:
    stream = StreamId(AccountId(text), RequestId(text))
    return HolderRing([Holder(EntryId("e0"), "", 0.0)]).holders_of(stream.key, 1)


class HashTest(unittest.TestCase):
    @params(
        hash64,
        _ring,
        lambda text: prompt_blocks(text * BLOCK_CHARS),
        lambda text: rendezvous(text, ["e0", text], 1),
    )
    def test_text_without_utf8_form_is_hashed(
        self, hash_of: Callable[[str], object]
    ) -> None:
        """A null pointer for a text ended the process by a segmentation fault."""
        for text in (HALF_PAIR, ODD_BYTE, "a" + HALF_PAIR + "b"):
            self.assertTrue(hash_of(text))
        self.assertNotEqual(hash64("a" + HALF_PAIR), hash64("a" + ODD_BYTE))
        self.assertNotEqual(hash64("a" + HALF_PAIR), hash64("a"))

    def test_other_text_keeps_its_hash(self) -> None:
        """Entries of two releases must place the same streams and accounts alike."""
        self.assertEqual(hash64("stream\x001"), 13824539667315014992)
