"""``celerytrackctl suspects`` and ``lift``: list suspects and lift a quarantine.

A suspect is a request under which endpoints crashed. The commands read and write the
records on the platform's log.
"""

import asyncio
import datetime
import json
import time
import uuid

from cleo.commands.command import Command
from cleo.helpers import argument, option
from returns.result import Failure, Success

from celerytrack.findings import Findings
from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EntryId
from celerytrack.platform.store import StoreClient, StoreError, Writer
from celerytrack.platform.suspect_records import (
    MAX_ITEMS,
    FindingsError,
    decode_findings,
    encode_findings,
)
from celerytrack.platform.topics import SUSPECTS_TOPIC
from celerytrack.suspects import Suspect, SuspectTracker

OPERATOR = EntryId("operator")
"""Key of the operators' record on the log."""
_STORE = option("store", None, "host:port of the platform's log.", flag=False)


class SuspectsError(Exception):
    """The log is unreachable, or not exactly one suspect matches a fingerprint."""


class OperatorView:
    """Suspects as merged from all records on the log.

    :ivar tracker: the merged findings of all records.
    :ivar own: the operators' record: what they lifted before.
    :ivar first_crash_at_s: Unix time of the first crash under each request.
    """

    def __init__(self) -> None:
        self.tracker = SuspectTracker(OPERATOR)
        self.own = Findings(OPERATOR)
        self.first_crash_at_s: dict[Fingerprint, int] = {}

    def merge_record(self, key: str, value: bytes, now_s: float) -> None:
        """Merge one record; a record that cannot be decoded is ignored."""
        try:
            findings = decode_findings(value)
        except FindingsError:
            return
        if key == OPERATOR:
            self.own = findings
        self.tracker.merge(findings, True, now_s)
        for evidence, at_s in zip(
            findings.evidence, findings.observed_at_s, strict=True
        ):
            known_s = self.first_crash_at_s.get(evidence.fingerprint, at_s)
            self.first_crash_at_s[evidence.fingerprint] = min(known_s, at_s)

    def lift(self, prefix: str, now_s: float) -> Findings:
        """Return the operators' record that lifts the quarantine of one suspect.

        :param prefix: the beginning of its fingerprint in hexadecimal digits.
        :raises SuspectsError: if no suspect matches, or more than one.
        """
        found = [
            suspect.fingerprint
            for suspect in self.tracker.list_suspects(now_s)
            if suspect.fingerprint.hex().startswith(prefix.lower())
        ]
        if len(found) != 1:
            raise SuspectsError(
                f"{len(found)} suspects have a fingerprint that begins with "
                f"{prefix!r}; exactly one must match"
            )
        lifted = self.tracker.lift(found[0], now_s)
        cleared = (*lifted.cleared, *self.own.cleared)
        return Findings(OPERATOR, cleared=cleared[:MAX_ITEMS])


async def read_suspects(store: StoreClient) -> OperatorView:
    """Read all suspect records from the log.

    :raises SuspectsError: if the log cannot be read.
    """
    match await store.newest(SUSPECTS_TOPIC):
        case Failure(error):
            raise _unreachable(error)
        case Success(batch):
            view = OperatorView()
            for record in batch.records:
                view.merge_record(record.key, record.value or b"", time.monotonic())
            return view
    raise AssertionError("a result is a success or a failure")


async def lift_suspect(store: StoreClient, prefix: str) -> Findings:
    """Append a record that lifts a quarantine; return its findings.

    All entries follow the records on the log.

    :raises SuspectsError: if no single suspect matches, or the append fails.
    """
    view = await read_suspects(store)
    findings = view.lift(prefix, time.monotonic())
    writer = Writer(f"celerytrackctl/{uuid.uuid4().hex}", 1, 0)
    record = encode_findings(findings)
    match await store.append(SUSPECTS_TOPIC, OPERATOR, record, writer):
        case Failure(error):
            raise _unreachable(error)
    return findings


def _unreachable(error: StoreError) -> SuspectsError:
    return SuspectsError(f"platform log: {error.kind.value}: {error.detail}")


def suspect_rows(view: OperatorView, now_s: float) -> list[dict[str, object]]:
    """Return the rows that the ``suspects`` command prints, also as JSON."""
    return [
        _row(s, view.first_crash_at_s[s.fingerprint])
        for s in view.tracker.list_suspects(now_s)
    ]


def _row(suspect: Suspect, since_s: int) -> dict[str, object]:
    since = datetime.datetime.fromtimestamp(since_s, datetime.UTC)
    return {
        "fingerprint": suspect.fingerprint.hex(),
        "kind": suspect.kind,
        "standing": suspect.state.value,
        "since": since.isoformat(timespec="seconds"),
        "endings": [
            {"endpoint": e.endpoint_id, "build": e.build} for e in suspect.crashes
        ],
    }


class SuspectsCommand(Command):
    """List the requests and parts of prompts suspected of crashing endpoints."""

    name = "suspects"
    description = "List requests and parts of prompts suspected of crashing endpoints."
    options = [_STORE, option("json", None, "Print JSON.")]

    def handle(self) -> int:
        async def go() -> OperatorView:
            store = StoreClient(str(self.option("store")))
            try:
                return await read_suspects(store)
            finally:
                await store.close()

        try:
            rows = suspect_rows(asyncio.run(go()), time.monotonic())
        except SuspectsError as exc:
            self.line_error(f"<error>{exc}</error>")
            return 3
        if self.option("json"):
            self.line(json.dumps(rows))
            return 0
        for row in rows:
            endings = row["endings"]
            assert isinstance(endings, list)
            names = ", ".join(f"{e['endpoint']} ({e['build']})" for e in endings)
            known = (
                f"{row['fingerprint']} {row['kind']:7} {row['standing']:8} "
                f"since {row['since']}"
            )
            self.line(f"{known}: {names}")
        return 0


class LiftCommand(Command):
    """Lift the quarantine of a request or a part of prompts."""

    name = "lift"
    description = "Lift the quarantine of a request at all entries."
    arguments = [argument("fingerprint", "Fingerprint, or a unique prefix of it.")]
    options = [_STORE]

    def handle(self) -> int:
        async def go() -> Findings:
            store = StoreClient(str(self.option("store")))
            try:
                return await lift_suspect(store, str(self.argument("fingerprint")))
            finally:
                await store.close()

        try:
            findings = asyncio.run(go())
        except SuspectsError as exc:
            self.line_error(f"<error>{exc}</error>")
            return 3
        self.line(f"lifted {findings.cleared[0].fingerprint.hex()}")
        return 0
