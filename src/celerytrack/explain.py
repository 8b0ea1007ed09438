"""From log lines to what happened to one request, or in a whole run."""

import collections
import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from celerytrack.events import Event

_PLAIN = frozenset({"asctime", "levelname", "message", "process", "event"})
_BELIEF_CHANGES = frozenset(
    {
        Event.STORE_LOST,
        Event.STORE_REGAINED,
        Event.CONFIG_APPLIED,
        Event.ENDPOINT_DRAINING,
        Event.ENDPOINT_GONE,
        Event.PROCESS_STARTED,
        Event.PROCESS_STOPPING,
        Event.SHARES_TAKEN_OVER,
    }
)
"""Events that change what a process believes, and so explain its decisions."""


@attrs.frozen
class LogLine:
    """One structured line.

    :ivar at: the time of day it was written, as text that sorts.
    """

    at: str
    process: str
    event: int
    name: str
    fields: dict[str, Any]

    def render(self) -> str:
        """The line for people."""
        fields = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.at}  {self.process:20} {self.event} {self.name}  {fields}"


def parse(lines: Iterable[str]) -> Iterator[LogLine]:
    """The structured lines among ``lines``; others, and prefixes, are skipped."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            data = json.loads(line[start:])
            yield LogLine(
                data["asctime"],
                data["process"],
                int(data["event"]),
                data["message"],
                {k: v for k, v in data.items() if k not in _PLAIN},
            )
        except (ValueError, KeyError, TypeError):
            continue


def timeline(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """The lines of one request over all processes, with the newest change of
    what each process concerned believed before them."""
    lines = sorted(lines, key=lambda entry: entry.at)
    mine = [entry for entry in lines if entry.fields.get("request_id") == request_id]
    out: list[LogLine] = []
    for process in dict.fromkeys(entry.process for entry in mine):
        first = next(entry.at for entry in mine if entry.process == process)
        before: dict[tuple[int, str], LogLine] = {}
        for entry in lines:
            if entry.process != process or entry.at > first:
                continue
            if entry.event in _BELIEF_CHANGES:
                about = str(entry.fields.get("topic") or entry.fields.get("endpoint"))
                before[entry.event, about] = entry
        out += sorted(before.values(), key=lambda entry: entry.at)[-6:]
    return sorted([*out, *mine], key=lambda entry: entry.at)


def summary(lines: Iterable[LogLine]) -> list[str]:
    """Counts of outcomes, refusals by reason, and times without the store."""
    outcomes: collections.Counter[str] = collections.Counter()
    for entry in lines:
        match entry.event:
            case Event.ANSWERED:
                outcomes[f"answered {entry.fields.get('status')}"] += 1
            case Event.REFUSED | Event.FAILED:
                outcomes[f"{entry.name} {entry.fields.get('reason')}"] += 1
            case Event.STREAM_CUT | Event.CALLER_LEFT | Event.ATTEMPT_FAILED:
                outcomes[entry.name] += 1
            case Event.STORE_LOST:
                outcomes[f"store_lost {entry.fields.get('topic')}"] += 1
            case Event.LINES_DROPPED:
                outcomes["log lines dropped"] += int(entry.fields.get("lines", 0))
    return [f"{count:7}  {what}" for what, count in outcomes.most_common()]
