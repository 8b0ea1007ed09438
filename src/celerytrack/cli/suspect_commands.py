"""``celerytrackctl suspects`` and ``lift``: requests that end endpoints, as the
entries' records on the platform's log tell."""

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
"""The key of the operators' own record."""
_STORE = option("store", None, "host:port of the platform's log.", flag=False)


class SuspectsError(Exception):
    """The log could not be read or written, or names no such request."""


class OperatorView:
    """The requests under suspicion, as an operator's tool reads them.

    :ivar book: what all records tell.
    :ivar own: what operators lifted before.
    :ivar since_s: when the first ending under each request was seen, in Unix seconds.
    """

    def __init__(self) -> None:
        self.book = SuspectTracker(OPERATOR)
        self.own = Findings(OPERATOR)
        self.since_s: dict[Fingerprint, int] = {}

    def take(self, key: str, value: bytes, now_s: float) -> None:
        """Take one record; one that cannot be read tells nothing."""
        try:
            findings = decode_findings(value)
        except FindingsError:
            return
        if key == OPERATOR:
            self.own = findings
        self.book.merge(findings, True, now_s)
        for evidence, at_s in zip(
            findings.evidence, findings.observed_at_s, strict=True
        ):
            known_s = self.since_s.get(evidence.fingerprint, at_s)
            self.since_s[evidence.fingerprint] = min(known_s, at_s)

    def lift(self, prefix: str, now_s: float) -> Findings:
        """The record that lifts the only request whose fingerprint begins so.

        :raises SuspectsError: if there is none, or more than one.
        """
        found = [
            suspect.fingerprint
            for suspect in self.book.list_suspects(now_s)
            if suspect.fingerprint.hex().startswith(prefix.lower())
        ]
        if len(found) != 1:
            raise SuspectsError(f"{len(found)} requests begin with {prefix!r}")
        told = self.book.lift(found[0], now_s)
        forgiven = (*told.cleared, *self.own.cleared)
        return Findings(OPERATOR, cleared=forgiven[:MAX_ITEMS])


async def read_suspects(store: StoreClient) -> OperatorView:
    """What the log tells now.

    :raises SuspectsError: if it cannot be read.
    """
    match await store.newest(SUSPECTS_TOPIC):
        case Failure(error):
            raise _unreachable(error)
        case Success(batch):
            view = OperatorView()
            for record in batch.records:
                view.take(record.key, record.value or b"", time.monotonic())
            return view
    raise AssertionError("a result is a success or a failure")


async def lift_suspect(store: StoreClient, prefix: str) -> Findings:
    """Let a request back, and have all entries know it.

    :raises SuspectsError: if there is no such request, or the log doesn't take it.
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
    return SuspectsError(f"the log: {error.kind.value}: {error.detail}")


def suspect_rows(view: OperatorView, now_s: float) -> list[dict[str, object]]:
    """The requests under suspicion for people and programs."""
    return [
        _row(s, view.since_s[s.fingerprint]) for s in view.book.list_suspects(now_s)
    ]


def _row(suspect: Suspect, since_s: int) -> dict[str, object]:
    since = datetime.datetime.fromtimestamp(since_s, datetime.UTC)
    return {
        "fingerprint": suspect.fingerprint.hex(),
        "standing": suspect.state.value,
        "since": since.isoformat(timespec="seconds"),
        "endings": [
            {"endpoint": e.endpoint_id, "build": e.build} for e in suspect.crashes
        ],
    }


class SuspectsCommand(Command):
    """List requests under which endpoints ended."""

    name = "suspects"
    description = "Requests under which endpoints ended, and on what evidence."
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
            known = f"{row['fingerprint']} {row['standing']:8} since {row['since']}"
            self.line(f"{known}: {names}")
        return 0


class LiftCommand(Command):
    """Let a request back that was shut out."""

    name = "lift"
    description = "Let a request that was shut out be sent again, at all entries."
    arguments = [argument("fingerprint", "Its fingerprint, or how it begins.")]
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
