"""Streams that are right, whatever they hold, come out as they came."""

import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from celerytrack.streams import EventSplitter

_ODD_IDS = st.sampled_from(
    ["", "x", "-1", "1.5", str(10**45), "uid: 5", "id: 5", "5 id: 4", " 3 "]
)
_TEXTS = st.one_of(
    st.text(st.characters(exclude_characters="\r\n", codec="utf-8"), max_size=12),
    st.sampled_from(["see id: 1", "id: 1", "id: 99", "data: id: 2", "", ": x"]),
)
_FIELDS = st.sampled_from(
    ["data: ", "data:", "event: ", ": ", "grid: 1", "uuid: 3", "eid: 2", "retry: 1"]
)
_LINES = st.lists(st.tuples(_FIELDS, _TEXTS).map("".join), max_size=4)


@st.composite
def sound_streams(draw: st.DrawFn) -> tuple[bytes, int]:
    """The bytes of a stream whose numbers increase, and its events."""
    number, events = 0, []
    for _ in range(draw(st.integers(1, 12))):
        lines = draw(_LINES)
        kind = draw(st.sampled_from(["number", "number", "none", "odd"]))
        if kind == "number":
            number += draw(st.one_of(st.just(1), st.integers(1, 2**63)))
            lines.insert(draw(st.sampled_from([0, 0, len(lines)])), f"id: {number}")
        elif kind == "odd":
            lines.insert(0, f"id: {draw(_ODD_IDS)}")
        events.append("".join(f"{line}\n" for line in lines or [": idle"]) + "\n")
    text = "".join(events).replace("\n", draw(st.sampled_from(["\n", "\r\n"])))
    return text.encode(), len(events)


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
    @settings(max_examples=400, deadline=None)
    @given(sound_streams(), st.lists(st.integers(1, 60), min_size=1, max_size=4))
    @example((b"id: 1\ngrid: 5\ndata: a\n\nid: 2\ndata: b\n\n", 2), [100])
    @example((b"id: uid: 5\ndata: a\n\nid: uid: 6\ndata: b\n\n", 2), [100])
    def test_it_comes_out_unchanged(
        self, stream: tuple[bytes, int], sizes: list[int]
    ) -> None:
        """Fields and ids that contain text like an id were taken for another event."""
        data, count = stream
        out, events = pass_through(data, sizes)
        self.assertEqual((out, events.event_count), (data, count))
        self.assertFalse(events.has_partial or events.lacks_event)

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
