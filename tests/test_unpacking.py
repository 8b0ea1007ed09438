"""Bounds on what a caller's body becomes."""

import gzip
import json
import tracemalloc
import unittest
import zlib

from nose2.tools import params

from celerytrack.callers.unpacking import (
    TooLargeError,
    UnpackError,
    parsed_json_bytes,
    unpack,
)

MAX_BYTES = 100_000
COUNT = 20_000


def _raw_deflate(data: bytes) -> bytes:
    packer = zlib.compressobj(wbits=-15)
    return packer.compress(data) + packer.flush()


class UnpackTest(unittest.TestCase):
    @params(
        ("", bytes),
        ("identity", bytes),
        ("gzip", gzip.compress),
        ("GZip", gzip.compress),
        ("deflate", zlib.compress),
        ("deflate", _raw_deflate),
    )
    def test_a_body_of_the_limit_is_unpacked(
        self, encoding: str, pack: "type[bytes]"
    ) -> None:
        """A bound meant for bombs refused a body inside the limit."""
        body = b"x" * MAX_BYTES
        self.assertEqual(unpack(pack(body), encoding, MAX_BYTES), body)

    @params("gzip", "deflate")
    def test_a_larger_body_is_not_unpacked_to_its_end(self, encoding: str) -> None:
        """A small body unpacked to all of the memory."""
        pack = gzip.compress if encoding == "gzip" else zlib.compress
        packed = pack(b" " * 1_000 * MAX_BYTES)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        with self.assertRaises(TooLargeError):
            unpack(packed, encoding, MAX_BYTES)
        self.assertLess(tracemalloc.get_traced_memory()[1], 4 * MAX_BYTES)

    @params(
        ("gzip", b"no gzip"),
        ("deflate", b""),
        ("gzip", gzip.compress(b"x" * 1_000)[:-4]),
        ("zz", b"x"),
    )
    def test_a_body_that_is_not_packed_as_it_says_is_refused(
        self, encoding: str, raw: bytes
    ) -> None:
        """It got a bare 500."""
        with self.assertRaises(UnpackError):
            unpack(raw, encoding, MAX_BYTES)


class ParsedBytesTest(unittest.TestCase):
    @params(
        [[] for _ in range(COUNT)],
        [{} for _ in range(COUNT)],
        [{"role": "user", "content": f"{i}"} for i in range(COUNT)],
        [{f"k{i}": i + 1_000} for i in range(COUNT)],
        list(range(1_000, COUNT)),
        [i / 7 for i in range(COUNT)],
        [f"{i}" for i in range(COUNT)],
        ["\U0001f600" * 10 for _ in range(COUNT)],
        {f"key-{i}": i for i in range(COUNT)},
        {"text": "x" * 500_000},
        {"text": "x" * 500_000 + "\U0001f600"},
        {"text": "x\u0416" * 250_000},
    )
    def test_a_parsed_body_takes_no_more_than_was_held_for_it(
        self, value: object
    ) -> None:
        """Eight bodies of 4 MB became 800 MB of lists."""
        raw = json.dumps(value, ensure_ascii=False, separators=(",", ":")).encode()
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        parsed = json.loads(raw.decode())
        peak_bytes = tracemalloc.get_traced_memory()[1]
        self.assertLessEqual(peak_bytes, parsed_json_bytes(raw))
        del parsed


if __name__ == "__main__":
    unittest.main()
