"""Equality of requests by fingerprint."""

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

HEAD = RequestHead("POST", "h.example", "/plain/a?x=1", AccountId("t"), 4)


class FingerprintTest(unittest.TestCase):
    @params(
        ("another method", {"method": "PUT"}),
        ("another host", {"host": "i.example"}),
        ("another path", {"path": "/plain/b?x=1"}),
        ("another query", {"path": "/plain/a?x=2"}),
        ("another caller", {"account": AccountId("u")}),
        ("no account", {"account": None}),
        ("another length of its body", {"body_bytes": 5}),
        ("fields that are equal when joined", {"host": "h.example/", "path": ""}),
    )
    def test_different_requests_have_different_prefixes(
        self, _: str, fields: dict[str, object]
    ) -> None:
        other = attrs.evolve(HEAD, **fields)  # type: ignore[arg-type]
        self.assertNotEqual(prefix_of(HEAD), prefix_of(other))

    def test_a_path_that_is_not_valid_text_has_a_prefix(self) -> None:
        prefix = prefix_of(attrs.evolve(HEAD, path="/plain/\udcff"))
        self.assertEqual(len(prefix), PREFIX_BYTES)

    @params((b"body", True), (b"ydob", False))
    def test_requests_with_one_prefix_differ_by_their_body(
        self, body: bytes, same: bool
    ) -> None:
        prefix = prefix_of(HEAD)
        fingerprint = fingerprint_of(prefix, b"body")
        self.assertEqual(fingerprint == fingerprint_of(prefix, body), same)
        self.assertEqual(len(fingerprint), PREFIX_BYTES + BODY_DIGEST_BYTES)
        self.assertEqual(prefix_in(fingerprint), prefix)
