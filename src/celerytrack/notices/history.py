"""History of endpoints' leavings and backoffs, from log lines."""

from collections import Counter
from collections.abc import Iterable

import attrs

from celerytrack.events import Event
from celerytrack.explain import LogLine


@attrs.define
class _Leaving:
    """One endpoint that leaves.

    :ivar heard: time of the first line that says so.
    :ivar request_id: the request whose answer said so first.
    :ivar entries: entries that knew it.
    """

    heard: str
    request_id: str
    entries: set[str] = attrs.field(factory=set)


@attrs.define
class _Backoffs:
    """The backoffs that one endpoint asked one entry for."""

    first: str
    last: str = ""
    count: int = 0
    longest_s: float = 0.0

    def add(self, line: LogLine) -> None:
        """Add a line about a backoff."""
        self.last = line.at
        self.count += 1
        self.longest_s = max(self.longest_s, float(line.fields["backoff_s"]))


def notice_rows(lines: Iterable[LogLine]) -> list[str]:
    """One text line for each endpoint that left, and for each entry that one asked for
    backoffs; the earliest first."""
    leaving: dict[str, _Leaving] = {}
    backoffs: dict[tuple[str, str], _Backoffs] = {}
    withheld: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    for line in sorted(lines, key=lambda line: line.at):
        endpoint = str(line.fields.get("endpoint"))
        for passed_over in set(line.fields.get("withheld") or ()):
            withheld[passed_over] += 1
            refused[passed_over] += line.event == Event.REFUSED
        if line.event == Event.LEAVING_HEARD:
            request_id = str(line.fields.get("request_id") or "")
            known = leaving.setdefault(endpoint, _Leaving(line.at, request_id))
            known.entries.add(line.process)
        elif line.event == Event.BACKOFF_ASKED:
            key = (endpoint, line.process)
            backoffs.setdefault(key, _Backoffs(line.at)).add(line)
    rows = [
        f"{endpoint}  leaves  heard {known.heard} in the answer to "
        f"{known.request_id or 'a request elsewhere'}  known to "
        f"{len(known.entries)} entries  {_passed_over(endpoint, withheld, refused)}"
        for endpoint, known in leaving.items()
    ]
    rows += [
        f"{endpoint}  backs off from {process}  {known.first} to {known.last}  "
        f"{known.count} times, at most {known.longest_s:g} s  "
        f"{_passed_over(endpoint, withheld, refused)}"
        for (endpoint, process), known in backoffs.items()
    ]
    return rows


def _passed_over(endpoint: str, withheld: Counter[str], refused: Counter[str]) -> str:
    elsewhere = withheld[endpoint] - refused[endpoint]
    return f"requests sent elsewhere {elsewhere}, refused {refused[endpoint]}"
