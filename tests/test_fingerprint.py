"""Which requests are the same, and which only look alike."""

import unittest

import attrs
from nose2.tools import params

from celerytrack.fingerprint import (
    BODY_BYTES,
    PLACE_BYTES,
    RequestLine,
    fingerprint_of,
    place_in,
    place_of,
)
from celerytrack.ids import AccountId

LINE = RequestLine("POST", "h.example", "/plain/a?x=1", AccountId("t"), 4)


class FingerprintTest(unittest.TestCase):
    @params(
        ("another method", {"method": "PUT"}),
        ("another host", {"host": "i.example"}),
        ("another path", {"path": "/plain/b?x=1"}),
        ("another query", {"path": "/plain/a?x=2"}),
        ("another caller", {"account": AccountId("u")}),
        ("nobody asked for a key", {"account": None}),
        ("another length of its body", {"body_bytes": 5}),
        ("parts that read the same when joined", {"host": "h.example/", "path": ""}),
    )
    def test_other_requests_are_at_other_places(
        self, _: str, fields: dict[str, object]
    ) -> None:
        other = attrs.evolve(LINE, **fields)  # type: ignore[arg-type]
        self.assertNotEqual(place_of(LINE), place_of(other))

    def test_a_path_that_is_no_text_has_a_place(self) -> None:
        place = place_of(attrs.evolve(LINE, path="/plain/\udcff"))
        self.assertEqual(len(place), PLACE_BYTES)

    @params((b"body", True), (b"ydob", False))
    def test_the_body_tells_requests_at_one_place_apart(
        self, body: bytes, same: bool
    ) -> None:
        place = place_of(LINE)
        one = fingerprint_of(place, b"body")
        self.assertEqual(one == fingerprint_of(place, body), same)
        self.assertEqual(len(one), PLACE_BYTES + BODY_BYTES)
        self.assertEqual(place_in(one), place)
