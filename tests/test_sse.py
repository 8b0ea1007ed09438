"""Table-driven tests of the relay of an engine's event stream."""

import unittest

from nose2.tools import params

from celerytrack.ids import RequestId
from celerytrack.sse import DONE_EVENT, AnswerRelay, event_bytes


def _event(rid: str, text: str, tokens: int | None = None) -> bytes:
    data = {"id": rid, "choices": [{"delta": {"content": text}}]}
    if tokens is not None:
        data["usage"] = {"completion_tokens": tokens}
    return event_bytes(data)


OURS = _event("r1", "a", 1) + _event("r1", "b", 2) + DONE_EVENT


class AnswerRelayTest(unittest.TestCase):
    @params(1, 2, 7, 40, 1000)
    def test_any_split_of_the_bytes_gives_the_same_answer(self, size):
        relay = AnswerRelay(RequestId("r1"))
        out = b"".join(
            relay.feed(OURS[i : i + size]) for i in range(0, len(OURS), size)
        )
        self.assertEqual(out + DONE_EVENT, OURS)
        self.assertEqual((relay.tokens, relay.complete), (2, True))

    @params(
        # fed, relayed (None: all of it), tokens
        (_event("r2", "x") + _event("r1", "a"), _event("r1", "a"), 1),
        (b"garbage\n\n" + _event("r1", "a"), _event("r1", "a"), 1),
        (b"data: {broken\n\n", b"", 0),
        (
            _event("r1", "a") + _event("r1", "b"),
            None,
            2,
        ),  # no usage: one token per event
        (_event("r1", "abc", 7), None, 7),  # several tokens in one event
        # An id quoted in the generated text does not count as the event's id.
        (_event("r1", 'data: {"id": "r1"'), None, 1),
    )
    def test_only_own_events_are_relayed(self, fed, relayed, tokens):
        relay = AnswerRelay(RequestId("r1"))
        self.assertEqual(relay.feed(fed), fed if relayed is None else relayed)
        self.assertEqual(relay.tokens, tokens)

    def test_bytes_after_the_done_event_are_dropped(self):
        """Guards against tokens that reach a caller after its complete answer.

        The engine ended the stream, and late bytes of another stream followed on
        the same connection, which was relayed until it closed.
        """
        relay = AnswerRelay(RequestId("r1"))
        relay.feed(OURS)
        self.assertEqual(relay.feed(_event("r1", "late")), b"")

    @params(1, 40, 1000)
    def test_an_answer_begun_again_after_its_end_is_dropped(self, size):
        """An engine wrote its answer twice; what came together with the first end was
        relayed."""
        again = _event("r1", "x", 1) + _event("r1", "y", 2) + DONE_EVENT
        for twice in (OURS + again, OURS + again[:-5]):
            relay = AnswerRelay(RequestId("r1"))
            pieces = (twice[i : i + size] for i in range(0, len(twice), size))
            out = b"".join(relay.feed(piece) for piece in pieces)
            self.assertEqual(out + DONE_EVENT, OURS)
            self.assertEqual((relay.tokens, relay.complete), (2, True))

    def test_an_event_that_was_cut_off_is_relayed_whole(self):
        relay = AnswerRelay(RequestId("r1"))
        first, second = _event("r1", "a", 1), _event("r1", "b", 2)
        out = relay.feed(first + second[:10])
        relay.resume()
        out += relay.feed(second + DONE_EVENT)
        self.assertEqual(out, first + second)

    def test_the_token_count_never_decreases(self):
        """An engine that restarts its count would send the answer back to its start."""
        relay = AnswerRelay(RequestId("r1"))
        relay.feed(_event("r1", "abc", 7))
        relay.resume()
        relay.feed(_event("r1", "d", 1))
        self.assertEqual(relay.tokens, 7)
