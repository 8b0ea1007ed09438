"""Streams that are right, whatever they hold, come out as they came."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from celerytrack.streams import EventSplitter


def pass_through(data: bytes, sizes: list[int]) -> tuple[bytes, EventSplitter]:
    """What comes out if ``data`` comes in pieces of these sizes, again and again."""
    events, out, at, turn = EventSplitter(), b"", 0, 0
    while at < len(data):
        size = sizes[turn % len(sizes)]
        batch = events.feed(data[at : at + size])
        if batch is not None:
            out += batch.data
            if batch.disorder is not None:
                return out, events
        at, turn = at + size, turn + 1
    batch = events.finish()
    return out + (b"" if batch is None else batch.data), events


class SoundStreamTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(st.sampled_from([b"\n", b"\r\n", b"data: a\n", b"data: b\r\n"])),
        st.lists(st.integers(1, 9), min_size=1, max_size=4),
    )
    def test_no_byte_of_further_blank_lines_is_lost(
        self, lines: list[bytes], sizes: list[int]
    ) -> None:
        """An empty line beyond the one that ends an event was dropped where a stream
        has lines that end with CR LF."""
        data = b"".join(lines) + b"data: end\n\n"
        self.assertEqual(pass_through(data, sizes)[0], data)
