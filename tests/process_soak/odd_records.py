"""Registrations of another writer that are odd."""

import json
import random

_LARGE_BYTES = 200_000


def _record(**fields: object) -> bytes:
    data = {
        "service": "s",
        "address": "127.0.0.1:9",
        "zone": "z",
        "slots": 8,
        "state": "ready",
        "version": "v1",
    }
    return json.dumps({**data, **fields}).encode()


def _with_text(field: str, text: str) -> bytes:
    """A record with a number, or anything else, that JSON's writer would not write."""
    return _record(**{field: "?"}).replace(b'"?"', text.encode())


_DEEP = "[" * 50_000 + "]" * 50_000
_DIGITS = "9" * 5_000

ODD_RECORDS: tuple[bytes, ...] = (
    b"[" * 100_000,
    _DEEP.encode(),
    b'{"a":' * 40_000 + b"1" + b"}" * 40_000,
    _with_text("more", _DEEP),
    _record(more="x" * _LARGE_BYTES),
    _record(service="x" * _LARGE_BYTES),
    *(_with_text("slots", text) for text in (_DIGITS, "1e999", "NaN", "-Infinity")),
    *(_with_text("sequence", text) for text in (_DIGITS, "1e400", "0.5")),
    *(_with_text("born", text) for text in (_DIGITS, "-1")),
    *(
        _record(address=f"127.0.0.1:{port}")
        for port in ("0", "-1", "65536", "99999", _DIGITS)
    ),
    *(
        _record(address=f"{host}:80")
        for host in ("..", ".", "a..b", "x" * 64, "x" * 253, "-", "-a.b", "a-.b")
    ),
    b"",
    b"null",
    b"\xff\xfe",
    b'"text',
)


def choose_odd_records(rng: random.Random, count: int) -> list[bytes]:
    """Some odd registrations."""
    return [rng.choice(ODD_RECORDS) for _ in range(count)]
