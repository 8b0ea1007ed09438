"""Byte format of entries' findings about requests that crash endpoints."""

import itertools
import math
from typing import Any

import msgpack

from celerytrack.findings import Crash, Evidence, Findings, Probe
from celerytrack.fingerprint import BODY_DIGEST_BYTES, PREFIX_BYTES, Fingerprint
from celerytrack.ids import EndpointId, EntryId

KIND = "suspects"
MAX_TEXT_CHARS = 200
"""Longest id or build in characters; longer ones would fill an entry's memory."""
MAX_REMAINING_S = 3_600.0
"""Longest remaining time of a probe: longer than any request lasts, and short enough
that a wrong value expires."""
MAX_ITEMS = 1_000
"""Most crashes or probes of one entry: several times what an entry sends."""


class FindingsError(ValueError):
    """Findings cannot be decoded."""


def encode_findings(findings: Findings) -> bytes:
    """The bytes that :func:`decode_findings` reads."""
    times_s = (*findings.observed_at_s, *itertools.repeat(0, len(findings.evidence)))
    fields = (
        KIND,
        findings.entry_id,
        [
            (*_evidence_fields(evidence), at_s)
            for evidence, at_s in zip(findings.evidence, times_s, strict=False)
        ],
        [_evidence_fields(evidence) for evidence in findings.cleared],
        [(p.fingerprint, p.endpoint_id, p.remaining_s) for p in findings.probes],
    )
    return bytes(msgpack.packb(fields))


def _evidence_fields(evidence: Evidence) -> tuple[bytes, str, int, str]:
    crash = evidence.crash
    return evidence.fingerprint, crash.endpoint_id, crash.born_ms, crash.build


def decode_findings(raw: bytes) -> Findings:
    """Decode the findings of an entry.

    :raises FindingsError: naming what is wrong.
    """
    try:
        fields = msgpack.unpackb(raw)
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as exc:
        raise FindingsError(f"{type(exc).__name__}: {exc}") from None
    return findings_of(fields)


def findings_of(fields: Any) -> Findings:
    """Decode findings from unpacked ``fields``.

    :raises FindingsError: naming what is wrong.
    """
    match fields:
        case ["suspects", str(entry_id), list(crashes), list(cleared), list(probes)]:
            return Findings(
                EntryId(_check_text(entry_id)),
                tuple(_evidence(item[:-1]) for item in _check_items(crashes)),
                tuple(_evidence(item) for item in _check_items(cleared)),
                tuple(_probe(item) for item in _check_items(probes)),
                tuple(_unix_s(item[-1]) for item in crashes),
            )
    raise FindingsError(f"not findings: {str(fields)[:100]}")


def _evidence(item: Any) -> Evidence:
    match item:
        case [bytes(fingerprint), str(endpoint_id), int(born_ms), str(build)]:
            crash = Crash(
                EndpointId(_check_text(endpoint_id)), int(born_ms), _check_text(build)
            )
            return Evidence(_fingerprint(fingerprint), crash)
    raise FindingsError(f"not evidence: {str(item)[:100]}")


def _probe(item: Any) -> Probe:
    match item:
        case [bytes(fingerprint), str(endpoint_id), int() | float() as remaining_s]:
            if not (math.isfinite(remaining_s) and 0 <= remaining_s <= MAX_REMAINING_S):
                raise FindingsError(
                    f"a probe lasts 0 to {MAX_REMAINING_S:.0f} s, found {remaining_s}"
                )
            endpoint = EndpointId(_check_text(endpoint_id))
            return Probe(_fingerprint(fingerprint), endpoint, float(remaining_s))
    raise FindingsError(f"not a probe: {str(item)[:100]}")


def _unix_s(item: Any) -> int:
    if type(item) is not int:
        raise FindingsError(f"not a time in whole seconds: {str(item)[:100]}")
    return item


def _fingerprint(raw: bytes) -> Fingerprint:
    if len(raw) != PREFIX_BYTES + BODY_DIGEST_BYTES:
        expected = PREFIX_BYTES + BODY_DIGEST_BYTES
        raise FindingsError(f"a fingerprint has {expected} bytes, found {len(raw)}")
    return Fingerprint(raw)


def _check_text(text: str) -> str:
    if len(text) > MAX_TEXT_CHARS:
        raise FindingsError(
            f"a text has at most {MAX_TEXT_CHARS} characters, found {len(text)}"
        )
    return text


def _check_items(items: list[Any]) -> list[list[Any]]:
    if len(items) > MAX_ITEMS:
        raise FindingsError(f"at most {MAX_ITEMS} items, found {len(items)}")
    if not all(isinstance(item, list) and item for item in items):
        raise FindingsError("each item must be a list")
    return items
