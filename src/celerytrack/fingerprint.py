"""Fingerprints that recognise a repeated request, without I/O.

A repeated request has a new request id. Two requests are the same if method, host,
path, query, caller and body are equal. Headers are left out: they carry the attempt id,
the deadline and the position at which a broken stream resumes.

A fingerprint has two parts. The first covers everything but the bytes of the body, so
that most requests are told apart without hashing the body.

A part of a prompt has a fingerprint as well, with the same first part for all: what is
known of requests that crash endpoints is kept in the same way for both.
"""

import functools
import hashlib
import itertools
from collections.abc import Iterable
from typing import NewType

import attrs

from celerytrack.ids import AccountId, PartId, ServiceName

PREFIX_BYTES = 6
BODY_DIGEST_BYTES = 10
"""Requests of one caller to one path differ only in the body. 80 bits make a collision
among all bodies ever sent unlikely."""

FingerprintPrefix = NewType("FingerprintPrefix", bytes)
"""Digest of everything but the body's bytes: destination, caller and body length."""
Fingerprint = NewType("Fingerprint", bytes)
"""A :data:`FingerprintPrefix`, followed by the digest of the body."""
PART_PREFIX = FingerprintPrefix(b"\0part\0")
"""First part of the fingerprints of all parts of prompts."""
MAX_PARTS = 64
"""Most parts of one prompt that are told apart."""
MAX_PART_CHARS = 80
"""Most characters of a part's name in a refusal or a log line."""
CACHED_PARTS = 8_192
"""Most parts whose fingerprint is kept."""


@attrs.frozen
class RequestHead:
    """A request without the bytes of its body.

    :ivar path: path and query, as sent by the caller.
    :ivar account: account of the caller; ``None`` on routes that require no key.
    """

    method: str
    host: str
    path: str
    account: AccountId | None
    body_bytes: int


def prefix_of(head: RequestHead) -> FingerprintPrefix:
    """The first part of the fingerprint of a request."""
    # Length prefixes keep different fields from joining to the same text.
    texts = (head.method, head.host, head.path, head.account or "")
    joined = "".join(f"{len(text)}:{text}" for text in texts)
    data = f"{joined}{head.body_bytes}".encode(errors="surrogateescape")
    return FingerprintPrefix(hashlib.blake2b(data, digest_size=PREFIX_BYTES).digest())


def fingerprint_of(prefix: FingerprintPrefix, body: bytes) -> Fingerprint:
    """The fingerprint that begins with ``prefix`` and covers ``body``."""
    digest = hashlib.blake2b(body, digest_size=BODY_DIGEST_BYTES).digest()
    return Fingerprint(prefix + digest)


@functools.lru_cache(CACHED_PARTS)
def part_fingerprint(service: ServiceName, part: PartId) -> Fingerprint:
    """The fingerprint of a part of a prompt for one service."""
    data = f"{len(service)}:{service}{part}".encode(errors="surrogateescape")
    digest = hashlib.blake2b(data, digest_size=BODY_DIGEST_BYTES).digest()
    return Fingerprint(PART_PREFIX + digest)


def part_fingerprints(
    service: ServiceName, parts: Iterable[PartId]
) -> tuple[Fingerprint, ...]:
    """The fingerprints of the first :data:`MAX_PARTS` parts of a prompt."""
    return tuple(
        part_fingerprint(service, part) for part in itertools.islice(parts, MAX_PARTS)
    )


def is_part(fingerprint: Fingerprint) -> bool:
    """Whether ``fingerprint`` is that of a part of prompts."""
    return prefix_in(fingerprint) == PART_PREFIX


def prefix_in(fingerprint: Fingerprint) -> FingerprintPrefix:
    """The first part of ``fingerprint``."""
    return FingerprintPrefix(fingerprint[:PREFIX_BYTES])
