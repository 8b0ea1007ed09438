"""Chat prompts with a message that crashes each replica, in the own interface."""

import types
import unittest

import attrs
from nose2.tools import params

from celerytrack.entry.suspects import EntrySuspects, part_fingerprints_of
from celerytrack.findings import Crash
from celerytrack.fingerprint import Fingerprint, FingerprintPrefix, fingerprint_of
from celerytrack.ids import EndpointId, EntryId
from celerytrack.suspects import SuspectState

WORK = types.SimpleNamespace(name="hint", model="m")
PREFIX = FingerprintPrefix(b"place!")


def _message(text: str) -> dict[str, str]:
    return {"role": "user", "content": text}


@attrs.frozen
class _Chat:
    """A request of these messages."""

    messages: tuple[str, ...]

    @property
    def fingerprint(self) -> Fingerprint:
        return fingerprint_of(PREFIX, "/".join(self.messages).encode())

    @property
    def part_fingerprints(self) -> tuple[Fingerprint, ...]:
        body = {"messages": [_message(text) for text in self.messages]}
        return part_fingerprints_of(WORK, body)


class ChatPartsTest(unittest.TestCase):
    def test_the_parts_are_the_messages_but_the_last(self) -> None:
        """What is a request's own was taken for a part of others, or the reverse."""
        first, second = _Chat(("s", "a", "x")), _Chat(("s", "b", "x"))
        shared = set(first.part_fingerprints) & set(second.part_fingerprints)
        self.assertEqual(len(first.part_fingerprints), 2)
        self.assertEqual(len(shared), 1)

    def test_bodies_that_are_no_chat_have_no_parts(self) -> None:
        """A body of another shape ended the request."""
        for body in (None, [], {}, {"messages": None}, {"messages": []}, "x"):
            self.assertEqual(part_fingerprints_of(WORK, body), ())

    def test_the_order_of_fields_makes_no_other_part(self) -> None:
        """A guilty message of another client got through."""
        message = _message("s")
        turned = dict(reversed(message.items()))
        bodies = [{"messages": [m, _message("x")]} for m in (message, turned)]
        parts = {part_fingerprints_of(WORK, body) for body in bodies}
        self.assertEqual(len(parts), 1)

    @params("\ud800", 10**40, None, [[{"y": 0.5}]], "s")
    def test_any_value_may_stand_in_a_message(self, value: object) -> None:
        """A lone surrogate or a long number ended the request."""
        for message in (value, {"content": value}):
            body = {"messages": [message, _message("x")]}
            self.assertEqual(len(part_fingerprints_of(WORK, body)), 1)

    def test_a_message_that_crashes_replicas_is_held_back(self) -> None:
        """No two requests were alike, and each replica that got one crashed."""
        suspects = EntrySuspects(EntryId("e"))
        suspects.record_success(_Chat(("s", "b", "x")), WORK.model, 0.0)
        for number in range(3):
            chat = _Chat(("s", "guilty", f"last {number}"))
            crash = Crash(EndpointId("r"), number, WORK.model)
            features = (*chat.part_fingerprints, chat.fingerprint)
            suspects.tracker.record_crash(crash, features, 0.0)
        states = [
            suspects.state_of(_Chat(messages), WORK, 1.0)
            for messages in (("s", "guilty", "y"), ("s", "b", "y"), ("s", "c", "y"))
        ]
        self.assertEqual(states[0], SuspectState.QUARANTINED)
        self.assertEqual(states[1:], [SuspectState.CLEAR] * 2)
        refusal = suspects.quarantine_refusal(_Chat(("s", "guilty", "y")), 1.0)
        self.assertIn("under part", refusal.detail)
