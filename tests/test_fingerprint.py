"""Which requests are the same, and which only look alike."""

import unittest

import attrs
from nose2.tools import params

from celerytrack.fingerprint import (
    BODY_DIGEST_BYTES,
    PREFIX_BYTES,
    RequestHead,
    fingerprint_of,
    prefix_in,
    prefix_of,
)
from celerytrack.ids import AccountId

LINE = RequestHead("POST", "h.example", "/plain/a?x=1", AccountId("t"), 4)


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
        self.assertNotEqual(prefix_of(LINE), prefix_of(other))

    def test_a_path_that_is_no_text_has_a_place(self) -> None:
        prefix = prefix_of(attrs.evolve(LINE, path="/plain/\udcff"))
        self.assertEqual(len(prefix), PREFIX_BYTES)

    @params((b"body", True), (b"ydob", False))
    def test_the_body_tells_requests_at_one_place_apart(
        self, body: bytes, same: bool
    ) -> None:
        prefix = prefix_of(LINE)
        one = fingerprint_of(prefix, b"body")
        self.assertEqual(one == fingerprint_of(prefix, body), same)
        self.assertEqual(len(one), PREFIX_BYTES + BODY_DIGEST_BYTES)
        self.assertEqual(prefix_in(one), prefix)
