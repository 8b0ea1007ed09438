"""Fingerprints that recognise a repeated request, without I/O.

A repeated request has a new request id. Two requests are the same if method, host,
path, query, caller and body are equal. Headers are left out: they carry the attempt id,
the deadline and the position at which a broken stream resumes.

A fingerprint has two parts. The first covers everything but the bytes of the body, so
that most requests are told apart without hashing the body.
"""

import hashlib
from typing import NewType

import attrs

from celerytrack.ids import AccountId

PLACE_BYTES = 6
BODY_BYTES = 10
"""Requests of one caller to one path differ only in the body. 80 bits make a collision
among all bodies ever sent unlikely."""

Place = NewType("Place", bytes)
"""Digest of everything but the body's bytes: destination, caller and body length."""
Fingerprint = NewType("Fingerprint", bytes)
"""A :data:`Place`, followed by the digest of the body."""


@attrs.frozen
class RequestLine:
    """A request without the bytes of its body.

    :ivar path: path and query, as sent by the caller.
    :ivar account: account of the caller; ``None`` on routes that require no key.
    """

    method: str
    host: str
    path: str
    account: AccountId | None
    body_bytes: int


def place_of(line: RequestLine) -> Place:
    """The first part of the fingerprint of a request."""
    # Length prefixes keep different fields from joining to the same text.
    texts = (line.method, line.host, line.path, line.account or "")
    joined = "".join(f"{len(text)}:{text}" for text in texts)
    data = f"{joined}{line.body_bytes}".encode(errors="surrogateescape")
    return Place(hashlib.blake2b(data, digest_size=PLACE_BYTES).digest())


def fingerprint_of(place: Place, body: bytes) -> Fingerprint:
    """The fingerprint that begins with ``place`` and covers ``body``."""
    digest = hashlib.blake2b(body, digest_size=BODY_BYTES).digest()
    return Fingerprint(place + digest)


def place_in(fingerprint: Fingerprint) -> Place:
    """The first part of ``fingerprint``."""
    return Place(fingerprint[:PLACE_BYTES])
