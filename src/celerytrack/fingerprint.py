"""What makes two requests the same request, without I/O.

A request that comes again has a new id. It is the same one if method, host, path,
query, caller and body are the same. Headers don't count: they name the attempt, its
deadline and where a broken stream goes on.

A fingerprint has two halves. The first covers all but the bytes of the body, so that
most requests are told apart without reading theirs.
"""

import hashlib
from typing import NewType

import attrs

from celerytrack.ids import AccountId

PLACE_BYTES = 6
BODY_BYTES = 10
"""Two requests of one caller at one path differ in the body alone: 80 bits tell more
bodies apart than will ever be sent."""

Place = NewType("Place", bytes)
"""Where a request goes, from whom and how long its body is."""
Fingerprint = NewType("Fingerprint", bytes)
"""A :data:`Place` and the digest of a body."""


@attrs.frozen
class RequestLine:
    """A request but for the bytes of its body.

    :ivar path: with its query, as the caller wrote it.
    :ivar account: who sends it; ``None`` where nobody is asked for a key.
    """

    method: str
    host: str
    path: str
    account: AccountId | None
    body_bytes: int


def place_of(line: RequestLine) -> Place:
    """The first half of a request's fingerprint."""
    # Lengths go before the texts: no two lines may read the same when joined.
    texts = (line.method, line.host, line.path, line.account or "")
    joined = "".join(f"{len(text)}:{text}" for text in texts)
    known = f"{joined}{line.body_bytes}".encode(errors="surrogateescape")
    return Place(hashlib.blake2b(known, digest_size=PLACE_BYTES).digest())


def fingerprint_of(place: Place, body: bytes) -> Fingerprint:
    """The fingerprint of the request at ``place`` with ``body``."""
    digest = hashlib.blake2b(body, digest_size=BODY_BYTES).digest()
    return Fingerprint(place + digest)


def place_in(fingerprint: Fingerprint) -> Place:
    """The first half of ``fingerprint``."""
    return Place(fingerprint[:PLACE_BYTES])
