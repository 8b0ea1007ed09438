"""Tests of decoding external records: valid as a whole, or rejected with the reason."""

import json
import unittest

import msgpack
from hypothesis import given, settings
from hypothesis import strategies as st
from multidict import CIMultiDict
from nose2.tools import params

from celerytrack.gateway.peer_messages import (
    LeavingMessage,
    LongPromptMessage,
    PeerMessageError,
    decode_peer_message,
)
from celerytrack.gateway.peer_requests import (
    TransferReply,
    decode_transfer_reply,
    decode_transfer_request,
)
from celerytrack.ids import EndpointId, ServiceName, Zone
from celerytrack.membership.members import Member
from celerytrack.origins.recorded import ServiceVersion
from celerytrack.platform import log_format
from celerytrack.platform.config import ConfigError, decode_config
from celerytrack.platform.http import (
    RequestError,
    decode_answer,
    decode_request,
)
from celerytrack.platform.registry import RegistrationError, decode_registration
from celerytrack.platform.rows import RowError, decode_member
from celerytrack.platform.version_records import VersionRecordError, decode_version
from celerytrack.routing.endpoint import Registration
from celerytrack.routing.routes import RoutingTable
from celerytrack.strict import UnreadableError
from tests.gateway_fleet import config

_VALID = {
    "service": "s",
    "address": "10.0.0.1:8080",
    "zone": "z",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "sequence": 7,
    "coldLeftMs": 0,
    "born": 1_788_282_202_008,
}


def _record(**fields: object) -> bytes:
    return json.dumps({**_VALID, **fields}).encode()


def _record_without(field: str) -> bytes:
    return json.dumps({k: v for k, v in _VALID.items() if k != field}).encode()


class RegistrationTest(unittest.TestCase):
    def test_a_valid_registration_is_decoded(self):
        self.assertEqual(
            decode_registration("i-1", _record()),
            Registration(
                endpoint_id=EndpointId("i-1"),
                service=ServiceName("s"),
                address="10.0.0.1:8080",
                zone=Zone("z"),
                slots=64,
                draining=False,
                born_ms=1_788_282_202_008,
                sequence=7,
                version="v1",
            ),
        )

    @params(
        (_record(state="sleeping"), "state"),
        (_record_without("state"), "state"),
        (_record(address=8080), "address"),
        (_record(address="10.0.0.1"), "address"),
        (_record(address="10.0.0.1:99999"), "address"),
        (_record(address="..:80"), "address"),
        (_record(address="x" * 300 + ":80"), "address"),
        (_record(address="localhost:80"), "address"),
        (_record(address="0.0.0.0:80"), "address"),
        (_record(service=["s"]), "service"),
        (_record(version=1), "version"),
        (_record(version="v" * 101), "version"),
        (_record_without("service"), "service"),
        (_record(slots="64"), "slots"),
        (_record(slots=-1), "slots"),
        (_record(slots=True), "slots"),
        (_record(slots=10**400), "slots"),
        (_record(zone=None), "zone"),
        (_record(coldLeftMs="0"), "coldLeftMs"),
        (b'{"coldLeftMs":NaN}', "NaN"),
        (_record(born="1788282202008"), "born"),
        (_record(born=1.5), "born"),
        (_record(sequence={}), "sequence"),
        (_record(sequence=2**63), "sequence"),
        (b'{"state":"ready","state":"draining"}', "twice"),
        (b"[" * 100_000, "deep"),
        (b"\xff\xfe\x00", "not JSON"),
        (_record(version="2026.2-x").replace(b"-x", b"-\xed\xa0\xbd"), "not JSON"),
        (_record(version="2026.2-\ud83d"), "version"),
        (_record(service="s\udcff"), "service"),
        (_record(zone="\ud83d"), "zone"),
        (b"[]", "$"),
    )
    def test_error_names_the_invalid_field(self, raw, named):
        """Guards against requests that fail because their address is no endpoint's, and
        against an entry that sees no endpoint leave or arrive any more.

        Another writer's record held a number as address, a list as service or 100,000
        nested brackets. It was taken for an endpoint, or its error ended the task that
        follows the topic: values were coerced or not validated, and not every error of
        the parser was caught.
        """
        with self.assertRaises(RegistrationError) as caught:
            decode_registration("i-1", raw)
        self.assertIn(named, str(caught.exception))
        self.assertLess(len(str(caught.exception)), 500)


class NumberTest(unittest.TestCase):
    @params(
        (("i-1", float("inf")),),
        (("i-1", float("nan")),),
        (("i-1", 1e9),),
        ((["i-1"], 0.1),),
        (("i-1", "0.1"),),
    )
    def test_a_peer_message_with_an_invalid_time_is_rejected(self, message):
        """Guards against an engine that never gets work from any entry again.

        A peer message said that a prompt takes infinitely long to prefill. The work
        pending at the engine then became infinite and never decreased, because any
        number was accepted.
        """
        with self.assertRaises(PeerMessageError):
            decode_peer_message(msgpack.packb(message))

    @params(b'{"tokens": 1e999}', b'{"tokens": -5}', b'{"tokens": "5"}', b"[]")
    def test_a_transfer_reply_holds_a_count(self, raw):
        with self.assertRaises(UnreadableError):
            decode_transfer_reply(raw)
        self.assertEqual(decode_transfer_reply(b'{"tokens": 5}'), TransferReply(5))

    @params(
        {"X-Token-Count": "-5,10"},
        {"X-Token-Count": "5"},
        {"X-Token-Count": "9" * 400 + ",1"},
        {"X-Prompt-Prefix": "a:-100"},
        {"X-Deadline-Ms": "nan"},
        {"X-Deadline-Ms": "-1"},
    )
    def test_a_request_with_an_invalid_number_is_refused(self, headers):
        """Guards against an account that has more tokens than were paid for.

        A request named -5 prompt tokens. Reserving them freed five, because counts
        were not validated.
        """
        with self.assertRaises(RequestError):
            decode_request(CIMultiDict({"X-Attempt-Id": "r", "Host": "h", **headers}))


_json = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from([*_VALID, "x"]), inner, max_size=9)
    ),
    max_leaves=12,
)
_config = json.loads(config())
_nested = st.integers(0, 200_000).map(lambda n: b"[" * n)


def _corrupted(valid: dict, values: st.SearchStrategy) -> st.SearchStrategy[bytes]:
    """A valid document with some fields replaced by ``values`` or left out."""
    wrong = st.dictionaries(st.sampled_from(sorted(valid)), values, max_size=3)
    missing = st.sets(st.sampled_from(sorted(valid)), max_size=2)
    return st.builds(
        lambda w, m: json.dumps(
            {k: v for k, v in {**valid, **w}.items() if k not in m}
        ).encode(),
        wrong,
        missing,
    )


def _row(values: st.SearchStrategy) -> st.SearchStrategy[bytes]:
    good = [1, "f", "p", "z", "serving", 0.0, 0.0, 0.0, None, None, {"a": [1] * 7}]
    change = st.tuples(st.integers(0, len(good) - 1), values)
    return change.map(lambda c: msgpack.packb([*good[: c[0]], c[1], *good[c[0] + 1 :]]))


_anything = st.binary(max_size=200) | _nested
_packable = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=8) | st.dictionaries(st.text(max_size=3), inner)
    ),
    max_leaves=12,
)


class FuzzTest(unittest.TestCase):
    """No input may raise anything but the decoder's own error: any other exception
    would end the task that follows a topic."""

    def _assert_only_raises(self, decode, error, raw, value):
        try:
            decoded = decode(raw)
        except error:
            return
        self.assertIsInstance(decoded, value)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        _anything | _json.map(json.dumps).map(str.encode) | _corrupted(_VALID, _json)
    )
    def test_registrations(self, raw):
        self._assert_only_raises(
            lambda r: decode_registration("i", r), RegistrationError, raw, Registration
        )

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(_anything | _corrupted(_config, _json))
    def test_configurations(self, raw):
        self._assert_only_raises(decode_config, ConfigError, raw, RoutingTable)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(_anything | _row(_packable) | _packable.map(msgpack.packb))
    def test_rows(self, raw):
        self._assert_only_raises(lambda r: decode_member("e", r), RowError, raw, Member)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_anything | _packable.map(msgpack.packb))
    def test_versions(self, raw):
        self._assert_only_raises(
            decode_version, VersionRecordError, raw, ServiceVersion
        )

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_anything | _packable.map(msgpack.packb))
    def test_peer_messages(self, raw):
        self._assert_only_raises(
            decode_peer_message,
            PeerMessageError,
            raw,
            LongPromptMessage | LeavingMessage,
        )

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_anything | _json.map(json.dumps).map(str.encode))
    def test_transfers(self, raw):
        for decode in (decode_transfer_reply, decode_transfer_request):
            self._assert_only_raises(decode, UnreadableError, raw, object)

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(_anything)
    def test_batches_of_the_store(self, raw):
        self._assert_only_raises(
            lambda r: log_format.decode_batch(0, r),
            UnreadableError,
            raw,
            log_format.Batch,
        )

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(_anything | _json.map(json.dumps).map(str.encode))
    def test_pages_and_answers_of_the_store(self, raw):
        self._assert_only_raises(
            log_format.decode_page, UnreadableError, raw, log_format.Page
        )
        self._assert_only_raises(log_format.decode_appended, UnreadableError, raw, int)


class TextTest(unittest.TestCase):
    @params("X-Attempt-Id", "Resumes", "Last-Event-Id", "X-Model", "X-Prompt-Prefix")
    def test_a_header_that_is_not_utf8_is_refused_by_name(self, name):
        """The bytes that can't be encoded were left out, and a request ran under an id
        that no caller had sent."""
        odd = b"a\xff".decode(errors="surrogateescape")
        headers = CIMultiDict({"X-Attempt-Id": "r", "Host": "h"})
        headers[name] = odd
        with self.assertRaises(RequestError) as caught:
            decode_request(headers)
        self.assertIn(name, str(caught.exception))

    @params("", "a\r\nb", "a\x00", "\ufffd-1")
    def test_an_id_that_no_header_carries_names_no_endpoint(self, endpoint_id):
        """Each request to it ended with 500, since its id could not be sent."""
        self.assertRaises(
            RegistrationError, decode_registration, endpoint_id, _record()
        )

    def test_a_seal_that_is_not_utf8_is_none(self):
        """A success went to the caller with another seal than its endpoint's."""
        odd = b"a\xff".decode(errors="surrogateescape")
        facts = decode_answer(200, CIMultiDict({"X-Response-Seal": odd}))
        self.assertFalse(facts.sealed)


class RowNumberTest(unittest.TestCase):
    @params((6, 2**53, True), (6, 2**53 + 1, False), (0, 2**63 - 1, True))
    def test_the_numbers_of_a_row_are_bounded(self, field, number, valid):
        """Sums with a claim of another writer fitted no row, and the entry ended."""
        claim = [1] * 7
        row = [1, "f", "p", "z", "serving", 0.0, 0.0, 0.0, None, None, 0.0]
        if field:
            claim[field] = number
        else:
            row[0] = number
        raw = msgpack.packb([*row, {"a": claim}])
        if valid:
            self.assertIsInstance(decode_member("e", raw), Member)
        else:
            self.assertRaises(RowError, decode_member, "e", raw)

    @params((2**53, True), (2**53 + 2, False), (1e300, False), (10**400, False))
    def test_a_prepaid_total_is_bounded(self, tokens, valid):
        """No row could hold a total of 1e300 tokens, and each entry ended."""
        document = json.loads(config())
        document["tenants"][0]["prepaid"] = tokens
        raw = json.dumps(document).encode()
        if valid:
            self.assertEqual(decode_config(raw).accounts[0].prepaid_tokens, tokens)
        else:
            self.assertRaises(ConfigError, decode_config, raw)


class KeyTest(unittest.TestCase):
    @params(b'"\\ud83d-1"', b'"\xed\xa0\xbd-1"', b'"\xff-1"')
    def test_a_page_with_an_unreadable_key_is_read(self, key):
        """The key of one record hid all others, and a process never got ready."""
        entry = b'{"key": %s, "value": "e30=", "offset": 4}'
        entries = b", ".join((entry % b'"i-1"', entry % key))
        page = log_format.decode_page(
            b'{"entries": [' + entries + b'], "end": 5, "hasMore": true}'
        )
        self.assertEqual(page.records[0].key, "i-1")
        self.assertIn("\ufffd", page.records[1].key)
        self.assertEqual(page.next_after, "i-1")

    def test_a_key_that_is_not_utf8_does_not_hide_later_records(self):
        """Guards against an entry that sees no further change of the registrations.

        The key of a record was not UTF-8. Decoding the batch raised, because keys were
        assumed to be text, and the task that follows the topic ended.
        """
        good = log_format.encode_keyed("i-1", b"{}")
        bad = good.replace(b"i-1", b"\xff-1")
        batch = log_format.decode_batch(5, bytes(16) + bad + good)
        self.assertEqual([r.key for r in batch.records], ["\ufffd-1", "i-1"])
        self.assertEqual(batch.next_offset, 7)
