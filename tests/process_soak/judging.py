"""Which promises an answer breaks, judged by what it names and by records."""

import json
import re
from collections.abc import Iterable

import attrs

PROMISES = frozenset({408, 421, 429, 503})
GAP_BEFORE_CUT = "gap_before_cut"
"""Only before the last event of a stream that is cut there events are missing: right
where its endpoint wrote that event too early, which only the next one shows."""

MAX_MIXED = 2
"""Most streams of a run that may hold events of two software versions."""
MIN_SHARE = 0.5
"""Least share of the take-ups that go on, by that of the new streams that begin."""
MIN_ASKED = 20
"""Take-ups and new streams below which their shares say nothing."""


@attrs.define
class Share:
    """How many of those that were asked for were served."""

    asked: int = 0
    served: int = 0

    def record(self, served: bool) -> None:
        """Count one."""
        self.asked += 1
        self.served += served


@attrs.frozen
class Answer:
    """An answer as a caller's connection carried it.

    :ivar body: without the framing.
    :ivar looks_whole: whether it ended as its head says.
    """

    status: int
    head: bytes
    body: bytes
    looks_whole: bool

    def header(self, name: str) -> str:
        """The value of a header, or an empty text."""
        found = re.search(rb"^%s: *(.*?)\r?$" % name.encode(), self.head, re.M | re.I)
        return found[1].decode("latin-1") if found else ""


@attrs.frozen
class Event:
    """One event: its id, and what its data name."""

    number: int
    stream: str
    run: str
    version: int
    last: int
    after: int


def parse_events(body: bytes) -> tuple[list[Event], list[str]]:
    """The whole events of a body, and the faults of their form."""
    *blocks, rest = re.split(rb"\r?\n\r?\n", body)
    events, faults = [], []
    for block in blocks:
        event = _parse_event(block)
        if event is None:
            faults.append("joined_event")
        else:
            events.append(event)
    if rest:
        faults.append("partial_event")
    return events, faults


def _parse_event(block: bytes) -> Event | None:
    lines = block.splitlines()
    if len(lines) != 2 or not lines[0].startswith(b"id: "):
        return None
    try:
        data = json.loads(lines[1].removeprefix(b"data: "))
        is_own = int(lines[0][4:]) == data.pop("number")
        data.pop("fill")
        return Event(int(lines[0][4:]), **data) if is_own else None
    except (ValueError, KeyError, TypeError):
        return None


def stream_faults(answer: Answer, request_id: str, token: str, after: int) -> list[str]:
    """What is wrong with the stream ``token`` that goes on after ``after``."""
    events, faults = parse_events(answer.body)
    if not answer.looks_whole:
        # An event may be cut where the stream is.
        faults = [fault for fault in faults if fault != "partial_event"]
    faults += _order_faults(events, after)
    if faults == ["missing"] and not answer.looks_whole:
        numbers = [after, *(event.number for event in events)]
        if numbers[-1] > numbers[-2] + 1:
            faults = [GAP_BEFORE_CUT]
    is_sealed = answer.header("X-Response-Seal") == f"seal.{request_id}"
    if not is_sealed or any(event.stream != token for event in events):
        faults.append("of_another_request")
    last = events[-1] if events else None
    if answer.looks_whole and (last is None or last.number != last.last):
        if last is not None or answer.body or after == 0:
            faults.append("short_looks_whole")
    return sorted(set(faults))


def _order_faults(events: Iterable[Event], after: int) -> list[str]:
    faults = []
    number, run, version = after, "", None
    for event in events:
        if event.number <= number:
            faults.append("goes_back" if event.number < number else "twice")
        elif event.number > number + 1:
            faults.append("missing")
        if event.run != run and event.after != number:
            faults.append("runs_joined")
        if version not in (None, event.version):
            faults.append("versions_mixed")
        number, run, version = event.number, event.run, event.version
    return faults


def is_mixed(tries: Iterable[Iterable[Event]]) -> bool:
    """Whether the events of a stream, over all its tries, are of two versions."""
    return len({event.version for events in tries for event in events}) > 1


def rule_faults(mixed: int, begun: Share, taken_up: Share) -> list[str]:
    """The rules that a run breaks.

    :param mixed: streams that hold events of two versions.
    :param begun: new streams, at entries in touch.
    :param taken_up: streams that began and were taken up at entries in touch.
    """
    faults = ["ORDER"] if mixed > MAX_MIXED else []
    if min(begun.asked, taken_up.asked) >= MIN_ASKED:
        went_on = taken_up.served / taken_up.asked
        if went_on < MIN_SHARE * begun.served / begun.asked:
            faults.append("LOST")
    return faults


def plain_faults(answer: Answer, request_id: str) -> list[str]:
    """What is wrong with an answer to a plain request."""
    if not 200 <= answer.status < 600:
        return ["no_answer"]
    seal = answer.header("X-Response-Seal")
    if not seal:
        if answer.status < 300:
            return ["success_without_seal"]
        if answer.looks_whole and not failure_reason(answer.body):
            return ["no_verdict"]
        return []
    if seal != f"seal.{request_id}":
        return ["of_another_request"]
    if not answer.looks_whole:
        return []
    try:
        body = json.loads(answer.body)
    except ValueError:
        return ["not_whole"]
    if body.get("request") != request_id:
        return ["of_another_request"]
    return []


def failure_reason(body: bytes) -> str:
    """The reason that a refusal or failure of ours names, with its verdict."""
    try:
        error = json.loads(body)["error"]
        return f"{error['reason']} {error['verdict']}"
    except (ValueError, KeyError, TypeError):
        return ""


def record_faults(
    runs: dict[str, int], refused: Iterable[str], once: Iterable[str]
) -> list[tuple[str, str]]:
    """Requests that ran more than once, and refused ones that ran.

    :param runs: how often each request ran, by the endpoints' records.
    :param refused: requests that callers were told did not run.
    :param once: requests that may run at most once.
    """
    once_ids = set(once)
    twice = [(name, "ran_twice") for name in sorted(once_ids) if runs.get(name, 0) > 1]
    ran = sorted(name for name in refused if name in once_ids and runs.get(name))
    return twice + [(name, "refused_and_ran") for name in ran]
