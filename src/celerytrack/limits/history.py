"""History of endpoints' rate limits, from log lines."""

from collections import Counter
from collections.abc import Iterable

import attrs

from celerytrack.events import Event
from celerytrack.explain import LogLine

_CHANGES = frozenset({Event.LIMIT_BEGAN, Event.LIMIT_CHANGED, Event.LIMIT_ENDED})


@attrs.define
class _History:
    """The limit of one endpoint.

    :ivar began: time of the first line that names it.
    :ivar ended: time of the last end, unless it began again.
    :ivar entries: entries that knew it.
    """

    began: str
    ended: str = ""
    values: list[str] = attrs.field(factory=list)
    owners: list[str] = attrs.field(factory=list)
    entries: set[str] = attrs.field(factory=set)

    def add(self, line: LogLine) -> None:
        """Add a line about the limit."""
        self.entries.add(line.process)
        self.ended = line.at if line.event == Event.LIMIT_ENDED else ""
        value = line.fields.get("limit_per_s")
        if value is not None and (not self.values or self.values[-1] != f"{value:g}"):
            self.values.append(f"{value:g}")
        owner = str(line.fields.get("owner"))
        if owner not in self.owners:
            self.owners.append(owner)


def limit_rows(lines: Iterable[LogLine]) -> list[str]:
    """One text line for each endpoint that named a limit, the earliest first."""
    found: dict[str, _History] = {}
    skipped: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    for line in sorted(lines, key=lambda line: line.at):
        for endpoint in set(line.fields.get("limited") or ()):
            skipped[endpoint] += 1
            refused[endpoint] += line.event == Event.REFUSED
        if line.event in _CHANGES:
            endpoint = str(line.fields.get("endpoint"))
            found.setdefault(endpoint, _History(line.at)).add(line)
    return [
        f"{endpoint}  {history.began} to {history.ended or 'now'}  "
        f"limits a second {', '.join(history.values)}  "
        f"known to {len(history.entries)} entries  owners {', '.join(history.owners)}  "
        f"requests without a lease {skipped[endpoint]}, refused {refused[endpoint]}"
        for endpoint, history in found.items()
    ]
