"""Timeline of one request and summary of a run, from log lines."""

import collections
import json
from collections.abc import Iterable, Iterator
from typing import Any

import attrs

from celerytrack.events import Event

_STANDARD_FIELDS = frozenset({"asctime", "levelname", "message", "process", "event"})
_VIEW_CHANGES = frozenset(
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
"""Events that change a process's view of the system, which explains its decisions."""


@attrs.frozen
class LogLine:
    """One structured log line.

    :ivar at: the wall-clock time of the line, as text that sorts.
    """

    at: str
    process: str
    event: int
    name: str
    fields: dict[str, Any]

    def render(self) -> str:
        """Format the line for people."""
        fields = " ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.at}  {self.process:20} {self.event} {self.name}  {fields}"


def parse(lines: Iterable[str]) -> Iterator[LogLine]:
    """Parse the structured lines; others, and text before the JSON, are skipped."""
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
                {k: v for k, v in data.items() if k not in _STANDARD_FIELDS},
            )
        except (ValueError, KeyError, TypeError):
            continue


def timeline(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """The lines of one request in all processes, preceded by the latest changes of the
    view of each process involved."""
    lines = sorted(lines, key=lambda entry: entry.at)
    own_lines = [
        entry for entry in lines if entry.fields.get("request_id") == request_id
    ]
    out: list[LogLine] = []
    for process in dict.fromkeys(entry.process for entry in own_lines):
        first = next(entry.at for entry in own_lines if entry.process == process)
        before: dict[tuple[int, str], LogLine] = {}
        for entry in lines:
            if entry.process != process or entry.at > first:
                continue
            if entry.event in _VIEW_CHANGES:
                subject = str(entry.fields.get("topic") or entry.fields.get("endpoint"))
                before[entry.event, subject] = entry
        out += sorted(before.values(), key=lambda entry: entry.at)[-6:]
    return sorted([*out, *own_lines], key=lambda entry: entry.at)


def summary(lines: Iterable[LogLine]) -> list[str]:
    """Counts of outcomes, of refusals by reason and of losses of the store."""
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
