"""Notes of long prompts: sent, taken, and what a prediction makes of them."""

import asyncio
import random
import socket
import unittest

from nose2.tools import params

from celerytrack.endpoint import Registration, RequestProfile
from celerytrack.endpoints import EndpointPool
from celerytrack.gateway.peer_notes import LeaveNote, PeerNotes, PromptNote
from celerytrack.ids import EndpointId, EntryId, ServiceName, Zone

SERVICE = ServiceName("llm")


def _free_address() -> str:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def _exchange(sent: list[PromptNote | LeaveNote], raw: list[bytes]) -> list:
    taken: list[PromptNote | LeaveNote] = []
    here, there = _free_address(), _free_address()
    teller = PeerNotes(lambda note: None)
    taker = PeerNotes(taken.append)
    await teller.open(here)
    await taker.open(there)
    for note in sent:
        if isinstance(note, PromptNote):
            teller.tell_prompt([there], note)
        else:
            teller.tell_leaving([there], note)
    for data in raw:
        taker.datagram_received(data, None)
    await asyncio.sleep(0.05)
    teller.close()
    taker.close()
    return taken


class NotesTest(unittest.TestCase):
    def test_a_note_arrives(self):
        sent = [
            PromptNote(EndpointId("i-1"), 0.3),
            LeaveNote(EntryId("e1@10.0.0.1"), 7.5),
            PromptNote(EndpointId("i-2"), 1.25),
        ]
        self.assertEqual(asyncio.run(_exchange(sent, [])), sent)

    @params(
        b"",
        b"\xc1",
        b"\x01",
        b"\x92\x01\xa1x",
        b"\x92\xa1x\xc3",
        b"\x93\xa7leaving\x01\xcb" + bytes(8),
        b"\x93\xa7leaving\xa1x\xa1y",
    )
    def test_what_cannot_be_read_is_logged_and_left(self, raw):
        with self.assertLogs("celerytrack.gateway.peer_notes", "WARNING"):
            self.assertEqual(asyncio.run(_exchange([], [raw])), [])

    @params("", "x", "somewhere.example:7340", "127.0.0.1:70000", "127.0.0.1:x")
    def test_an_address_that_is_none_does_not_keep_the_others_from_it(self, address):
        """Guards against a planned stop that ends with an error over one row."""
        asyncio.run(self._tell_beside(address))

    async def _tell_beside(self, address: str) -> None:
        taken: list[PromptNote | LeaveNote] = []
        here, there = _free_address(), _free_address()
        teller, taker = PeerNotes(lambda note: None), PeerNotes(taken.append)
        await teller.open(here)
        await taker.open(there)
        note = LeaveNote(EntryId("e1@10.0.0.1"), 7.5)
        teller.tell_leaving([address, there], note)
        await asyncio.sleep(0.05)
        teller.close()
        taker.close()
        self.assertEqual(taken, [note])


class PredictionTest(unittest.TestCase):
    @params(
        # seconds since the note, endpoint that a short prompt goes to
        (0.03, "i-far"),
        (0.2, "i-far"),
        (0.5, "i-home"),
    )
    def test_a_short_prompt_keeps_away_from_a_long_one(self, since_s, expected):
        """Symptom: one in twelve short prompts had its first token after 200 ms
        and more, predicted at 30.

        Sequence: another entry sends a long prompt to an engine; 30 to 110 ms
        later this entry sends a short one there, which waits behind it.
        Cause: an entry knew of its own prompts only.
        """
        book = EndpointPool(Zone("z"), random.Random(1))
        for name in ("i-home", "i-far"):
            zone = Zone("z" if name == "i-home" else "other")
            registration = Registration(
                EndpointId(name), SERVICE, "127.0.0.1:1", zone, 64, False
            )
            book.register(registration, 0.0)
        book.add_peer_prefill(EndpointId("i-home"), 0.4, 0.0)
        need = RequestProfile(SERVICE, (("m/a", 500),))
        chosen = book.choose(need, 2, 100, (), since_s)
        self.assertIsNotNone(chosen)
        self.assertEqual(chosen.endpoint.endpoint_id, expected)
