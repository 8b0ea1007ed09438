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
        Event.LIMIT_BEGAN,
        Event.LIMIT_CHANGED,
        Event.LIMIT_ENDED,
        Event.LEAVING_HEARD,
        Event.BACKOFF_ASKED,
        Event.BACKOFF_ENDED,
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
    """The lines of one request in all processes, in order of time.

    For each process they include up to six changes of its view of the system: the
    latest until its first line of the request, one for each event and subject.
    """
    lines = sorted(lines, key=lambda line: line.at)
    own_lines = [line for line in lines if line.fields.get("request_id") == request_id]
    out: list[LogLine] = []
    for process in dict.fromkeys(line.process for line in own_lines):
        first = next(line.at for line in own_lines if line.process == process)
        before: dict[tuple[int, str], LogLine] = {}
        for line in lines:
            if line.process != process or line.at > first:
                continue
            is_own = line.fields.get("request_id") == request_id
            if line.event in _VIEW_CHANGES and not is_own:
                subject = str(line.fields.get("topic") or line.fields.get("endpoint"))
                before[line.event, subject] = line
        out += sorted(before.values(), key=lambda line: line.at)[-6:]
    return sorted([*out, *own_lines], key=lambda line: line.at)


def summary(lines: Iterable[LogLine]) -> list[str]:
    """Text lines with the counts of outcomes, of refusals by reason, of losses of the
    store and of dropped log lines; the largest count first."""
    outcomes: collections.Counter[str] = collections.Counter()
    for line in lines:
        match line.event:
            case Event.ANSWERED:
                outcomes[f"answered {line.fields.get('status')}"] += 1
            case Event.REFUSED | Event.FAILED:
                outcomes[f"{line.name} {line.fields.get('reason')}"] += 1
            case Event.STREAM_CUT | Event.CALLER_LEFT | Event.ATTEMPT_FAILED:
                outcomes[line.name] += 1
            case Event.STORE_LOST:
                outcomes[f"store_lost {line.fields.get('topic')}"] += 1
            case Event.LINES_DROPPED:
                outcomes["log lines dropped"] += int(line.fields.get("lines", 0))
    return [f"{count:7}  {what}" for what, count in outcomes.most_common()]
