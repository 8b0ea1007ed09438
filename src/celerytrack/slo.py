"""Service-level objectives: how fast a class of work spends its error budget."""

import collections
import math
from collections.abc import Iterable

import attrs

from celerytrack.events import Event
from celerytrack.explain import LogLine
from celerytrack.verdict import Reason

SLO_SHARE = 0.95
"""The share of a class's requests that must meet its first-token target."""
_CALLERS_OWN = frozenset(
    reason.value
    for reason in (
        Reason.BAD_REQUEST,
        Reason.BAD_KEY,
        Reason.NO_ROUTE,
        Reason.BUDGET_EXHAUSTED,
    )
)
"""Refusals that are right, so they do not count against the objective."""


def burn(missed: int, total: int) -> float:
    """The share that missed the target over the share allowed to.

    1.0 spends the error budget exactly; above 1 the objective is broken.
    """
    return round(missed / total / (1 - SLO_SHARE), 2)


@attrs.define
class ClassReport:
    """How the requests of one class ended.

    :ivar late: answered, but the first piece came after the target.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """All requests that count."""
        return self.in_time + self.late + self.refused + self.failed

    @property
    def burn(self) -> float:
        """See :func:`burn`."""
        return burn(self.total - self.in_time, self.total) if self.total else 0.0


def report(lines: Iterable[LogLine]) -> dict[str, ClassReport]:
    """Reports by class of work, from the log lines of all entries."""
    classes: dict[str, ClassReport] = collections.defaultdict(ClassReport)
    for line in lines:
        name = line.fields.get("route")
        if name is None:
            continue
        row = classes[name]
        match line.event:
            case Event.ANSWERED if "target_ms" not in line.fields:
                continue
            case Event.ANSWERED if line.fields.get("status", 500) < 500:
                if _in_time(line):
                    row.in_time += 1
                else:
                    row.late += 1
            case Event.REFUSED:
                row.refused += line.fields.get("reason") not in _CALLERS_OWN
            case Event.ANSWERED | Event.FAILED | Event.STREAM_CUT:
                row.failed += 1
    return {name: row for name, row in classes.items() if row.total}


def _in_time(line: LogLine) -> bool:
    """Whether the first piece, or a plain answer, came within the target."""
    first_ms = line.fields.get("first_ms") or line.fields.get("took_ms", math.inf)
    return bool(first_ms <= line.fields["target_ms"])


def table(classes: dict[str, ClassReport]) -> list[str]:
    """A plain-text table of :func:`report`'s result, the worst class first."""
    rows = [f"{'class':20} {'n':>6} {'in time':>8} {'late':>6} {'refused':>8} "]
    rows[0] += f"{'failed':>7} {'burn':>6}"
    for name, row in sorted(classes.items(), key=lambda item: -item[1].burn):
        rows.append(
            f"{name:20} {row.total:6} {row.in_time:8} {row.late:6} {row.refused:8} "
            f"{row.failed:7} {row.burn:6.2f}"
        )
    return rows
