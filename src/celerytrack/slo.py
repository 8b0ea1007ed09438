"""Service-level objectives: the error-budget burn of each class of work."""

import collections
import math
from collections.abc import Iterable

import attrs

from celerytrack.events import Event
from celerytrack.explain import LogLine
from celerytrack.verdict import Reason

SLO_SHARE = 0.95
"""The share of a class's requests that must meet its first-token target."""
_CALLER_REASONS = frozenset(
    reason.value
    for reason in (
        Reason.BAD_REQUEST,
        Reason.BAD_KEY,
        Reason.NO_ROUTE,
        Reason.BUDGET_EXHAUSTED,
    )
)
"""Reasons of justified refusals, for which the caller is responsible; they do not count
against the objective."""


def burn(missed: int, total: int) -> float:
    """The share that missed the target, divided by the share allowed to miss it.

    1.0 spends the error budget exactly; above 1 the objective is missed.
    """
    return round(missed / total / (1 - SLO_SHARE), 2)


@attrs.define
class ClassReport:
    """Outcomes of the requests of one class.

    :ivar late: answered, but the first output came after the target time.
    """

    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def total(self) -> int:
        """Number of requests that count."""
        return self.in_time + self.late + self.refused + self.failed

    @property
    def burn(self) -> float:
        """See :func:`burn`."""
        return burn(self.total - self.in_time, self.total) if self.total else 0.0


def report(lines: Iterable[LogLine]) -> dict[str, ClassReport]:
    """The outcomes of each class of work, from the log lines of all entries."""
    classes: dict[str, ClassReport] = collections.defaultdict(ClassReport)
    for line in lines:
        name = line.fields.get("route")
        if name is None:
            continue
        counts = classes[name]
        match line.event:
            case Event.ANSWERED if "target_ms" not in line.fields:
                continue
            case Event.ANSWERED if line.fields.get("status", 500) < 500:
                if _in_time(line):
                    counts.in_time += 1
                else:
                    counts.late += 1
            case Event.REFUSED:
                counts.refused += line.fields.get("reason") not in _CALLER_REASONS
            case Event.ANSWERED | Event.FAILED | Event.STREAM_CUT:
                counts.failed += 1
    return {name: counts for name, counts in classes.items() if counts.total}


def _in_time(line: LogLine) -> bool:
    """Whether the first output, or a plain answer, came within the target time."""
    first_ms = line.fields.get("first_ms") or line.fields.get("took_ms", math.inf)
    return bool(first_ms <= line.fields["target_ms"])


def table(classes: dict[str, ClassReport]) -> list[str]:
    """Format :func:`report`'s result as a plain-text table, the worst class first."""
    rows = [f"{'class':20} {'n':>6} {'in time':>8} {'late':>6} {'refused':>8} "]
    rows[0] += f"{'failed':>7} {'burn':>6}"
    for name, row in sorted(classes.items(), key=lambda item: -item[1].burn):
        rows.append(
            f"{name:20} {row.total:6} {row.in_time:8} {row.late:6} {row.refused:8} "
            f"{row.failed:7} {row.burn:6.2f}"
        )
    return rows
