"""Table-driven tests of the relay of an engine's event stream."""

import re
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


def _texts(out: bytes) -> str:
    return "".join(re.findall('"content": "(.)"', out.decode()))


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

    @params("role", "finish")
    def test_an_answer_goes_on_with_an_event_without_a_token(self, kind):
        """Its count is that of the last event before, and it was taken for another
        run: the answer could never end."""
        relay = AnswerRelay(RequestId("r1"))
        relay.feed(_event("r1", "a", 1) + _event("r1", "b", 2))
        relay.resume()
        choice = {"role": {"delta": {"role": "assistant"}}, "finish": {"delta": {}}}
        data = {"id": "r1", "choices": [choice[kind]]}
        last = event_bytes({**data, "usage": {"completion_tokens": 2}})
        self.assertEqual(relay.feed(last + DONE_EVENT), last)
        self.assertTrue(relay.complete)
        self.assertIsNone(relay.order.disorder)

    def test_the_token_count_never_decreases(self):
        """An engine that restarts its count would send the answer back to its start."""
        relay = AnswerRelay(RequestId("r1"))
        relay.feed(_event("r1", "abc", 7))
        relay.resume()
        relay.feed(_event("r1", "d", 1))
        self.assertEqual(relay.tokens, 7)

    @params(
        # events as text and count, relayed texts, tokens, the answer ends there
        (["a1", "b2", "b2", "c3"], "abc", 3, False),
        (["a1", "a1", "b2", "b2"], "ab", 2, False),
        (["a1", "b2", "c3", "a1", "b2", "c3", "d4"], "abcd", 4, False),
        (["a1", "b2", "x1", "y2", "z3"], "ab", 2, True),
        (["a1", "c3", "b2", "d4"], "ac", 3, True),
        # The end of a run may come in an event of its own, without a token.
        (["a0", "b1", "c2", "d2"], "abcd", 2, False),
        (["a", "b", "b"], "abb", 3, False),
    )
    def test_each_event_of_one_run_is_relayed_once(self, events, texts, tokens, ends):
        """An engine repeated events, or began its run again, in one answer; the caller
        got all of it as a whole answer."""
        written = [_event("r1", e[0], int(e[1:]) if e[1:] else None) for e in events]
        for pieces in (written, [b"".join(written)]):
            relay = AnswerRelay(RequestId("r1"))
            out = b"".join(relay.feed(piece) for piece in [*pieces, DONE_EVENT])
            self.assertEqual(_texts(out), texts)
            self.assertEqual(relay.is_disordered, ends)
            self.assertEqual(relay.complete, not ends)
            self.assertEqual(relay.tokens, tokens)

    @params((["a1", "b2"], ["b2", "c3"], True), (["a1", "b2"], ["c3"], False))
    def test_an_answer_that_goes_on_repeats_nothing(self, first, second, ends):
        """A replica that went on with an answer began again before its last token."""
        relay = AnswerRelay(RequestId("r1"))
        for text in first:
            relay.feed(_event("r1", text[0], int(text[1])))
        relay.resume()
        out = b"".join(relay.feed(_event("r1", t[0], int(t[1]))) for t in second)
        self.assertEqual(relay.is_disordered, ends)
        self.assertEqual(_texts(out), "" if ends else "c")

    @params(10, 30, 45)
    def test_an_event_that_is_two_ends_the_answer(self, cut):
        """An engine stopped inside an event and began its run again: the event was
        dropped, the others were relayed as a whole answer."""
        relay = AnswerRelay(RequestId("r1"))
        second = _event("r1", "b", 2)
        out = relay.feed(_event("r1", "a", 1) + second[:cut] + OURS)
        self.assertEqual(_texts(out), "a")
        self.assertEqual((relay.is_disordered, relay.complete), (True, False))

    def test_an_event_that_is_two_hides_no_other_answer(self):
        """The ids of a block were only counted: an event with two of them made up for
        one of another request."""
        relay = AnswerRelay(RequestId("r1"))
        cut = _event("r1", "b", 2)[:45]
        out = relay.feed(_event("r2", "x", 1) + cut + OURS)
        self.assertEqual(out, b"")
