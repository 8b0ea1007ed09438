"""What entries tell each other of requests that end endpoints, as bytes."""

import itertools
import math
from typing import Any

import msgpack

from celerytrack.findings import Crash, Evidence, Findings, Probe
from celerytrack.fingerprint import BODY_DIGEST_BYTES, PREFIX_BYTES, Fingerprint
from celerytrack.ids import EndpointId, EntryId

KIND = "suspects"
MAX_TEXT_CHARS = 200
"""Characters of an id or a build: more would fill an entry's memory."""
MAX_REMAINING_S = 3_600.0
"""Longest trial that may be told: longer than any request lasts, and a wrong one still
ends."""
MAX_ITEMS = 1_000
"""Endings or trials of one entry: several times what an entry tells."""


class FindingsError(ValueError):
    """Bytes that tell nothing of suspects."""


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
        [(t.fingerprint, t.endpoint_id, t.remaining_s) for t in findings.probes],
    )
    return bytes(msgpack.packb(fields))


def _evidence_fields(evidence: Evidence) -> tuple[bytes, str, int, str]:
    ending = evidence.crash
    return evidence.fingerprint, ending.endpoint_id, ending.born_ms, ending.build


def decode_findings(raw: bytes) -> Findings:
    """Decode what an entry tells.

    :raises FindingsError: naming what is wrong.
    """
    try:
        fields = msgpack.unpackb(raw)
    except (ValueError, TypeError, RecursionError, msgpack.UnpackException) as exc:
        raise FindingsError(f"{type(exc).__name__}: {exc}") from None
    return findings_of(fields)


def findings_of(fields: Any) -> Findings:
    """The findings that unpacked ``fields`` tell.

    :raises FindingsError: naming what is wrong.
    """
    match fields:
        case ["suspects", str(entry_id), list(seen), list(forgiven), list(trials)]:
            return Findings(
                EntryId(_short(entry_id)),
                tuple(_evidence(item[:-1]) for item in _few(seen)),
                tuple(_evidence(item) for item in _few(forgiven)),
                tuple(_trial(item) for item in _few(trials)),
                tuple(_unix_s(item[-1]) for item in seen),
            )
    raise FindingsError(f"no findings: {str(fields)[:100]}")


def _evidence(item: Any) -> Evidence:
    match item:
        case [bytes(fingerprint), str(endpoint_id), int(born_ms), str(build)]:
            ending = Crash(EndpointId(_short(endpoint_id)), int(born_ms), _short(build))
            return Evidence(_fingerprint(fingerprint), ending)
    raise FindingsError(f"no evidence: {str(item)[:100]}")


def _trial(item: Any) -> Probe:
    match item:
        case [bytes(fingerprint), str(endpoint_id), int() | float() as lasts_s]:
            if not (math.isfinite(lasts_s) and 0 <= lasts_s <= MAX_REMAINING_S):
                raise FindingsError(f"a trial lasts 0 to {MAX_REMAINING_S:.0f} s")
            endpoint = EndpointId(_short(endpoint_id))
            return Probe(_fingerprint(fingerprint), endpoint, float(lasts_s))
    raise FindingsError(f"no trial: {str(item)[:100]}")


def _unix_s(item: Any) -> int:
    if type(item) is not int:
        raise FindingsError(f"no time: {str(item)[:100]}")
    return item


def _fingerprint(raw: bytes) -> Fingerprint:
    if len(raw) != PREFIX_BYTES + BODY_DIGEST_BYTES:
        raise FindingsError(
            f"a fingerprint has {PREFIX_BYTES + BODY_DIGEST_BYTES} bytes"
        )
    return Fingerprint(raw)


def _short(text: str) -> str:
    if len(text) > MAX_TEXT_CHARS:
        raise FindingsError(f"a text has at most {MAX_TEXT_CHARS} characters")
    return text


def _few(items: list[Any]) -> list[list[Any]]:
    if len(items) > MAX_ITEMS:
        raise FindingsError(f"at most {MAX_ITEMS} items, found {len(items)}")
    if not all(isinstance(item, list) and item for item in items):
        raise FindingsError("each item must be a list")
    return items
