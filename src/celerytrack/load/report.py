"""Reports of a run, as text and as JSON: latency percentiles from HDR histograms,
outcomes and the checker's audit.
"""

from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any

import attrs
from hdrh.histogram import HdrHistogram

from celerytrack.load.caller import Outcome, Result
from celerytrack.load.checker import Audit
from celerytrack.load.entries import check_entries
from celerytrack.load.notices import BrittleCheck, LimitCheck, NoticeCheck
from celerytrack.slo import burn

_MAX_US = 120_000_000


def _histogram(values_s: list[float]) -> HdrHistogram:
    hist = HdrHistogram(1, _MAX_US, 3)
    for value in values_s:
        hist.record_value(max(1, min(int(value * 1e6), _MAX_US)))
    return hist


def summarise(
    results: list[Result],
    audit: Audit,
    targets_s: dict[str, float],
    limits: Sequence[LimitCheck] = (),
    notices: Sequence[NoticeCheck] = (),
    brittle: Sequence[BrittleCheck] = (),
) -> dict[str, Any]:
    """Return the percentiles and counts of each class, and the audit's figures.

    :param targets_s: first-token targets by class.
    :param limits: what arrived at replicas that named a limit.
    :param notices: what arrived at replicas that left or asked for backoffs.
    :param brittle: what brittle replicas had to turn away.
    """
    entries = check_entries(results)
    by_class: dict[str, list[Result]] = defaultdict(list)
    for result in results:
        by_class[result.work_class].append(result)
    classes: dict[str, Any] = {}
    for name, items in sorted(by_class.items()):
        ttft = _histogram(
            [
                r.ttft_s
                for r in items
                if r.ttft_s is not None and r.outcome == Outcome.DONE
            ]
        )
        gaps = _histogram([g for r in items for g in r.gaps_s])
        outcomes = Counter(r.outcome for r in items)
        refusals = Counter(
            f"{r.reason}/{r.verdict}" for r in items if r.outcome == Outcome.REFUSED
        )
        target = targets_s.get(name)
        classes[name] = {
            "slo_burn": _burn(items, target),
            "requests": len(items),
            "ttft_p50_ms": ttft.get_value_at_percentile(50) / 1000,
            "ttft_p95_ms": ttft.get_value_at_percentile(95) / 1000,
            "ttft_p99_ms": ttft.get_value_at_percentile(99) / 1000,
            "gap_p95_ms": gaps.get_value_at_percentile(95) / 1000,
            "target_ms": target * 1000 if target else None,
            "outcomes": dict(outcomes),
            "refusals": dict(refusals),
        }
    return {
        "classes": classes,
        "overspend_tokens": audit.overspend_tokens,
        "double_bills": audit.double_bills,
        "double_runs": audit.double_runs,
        "bills": audit.bills,
        "lost_or_cut": sum(
            1 for r in results if r.outcome in (Outcome.CUT, Outcome.FAILED)
        ),
        "wrong_answers": sum(1 for r in results if r.outcome == Outcome.WRONG),
        "mixed_versions": sum(len(r.versions) > 1 for r in results),
        "limits": [attrs.asdict(check) for check in limits],
        "limits_exceeded": sum(not check.is_kept for check in limits),
        "notices": [attrs.asdict(check) for check in notices],
        "notices_broken": sum(not check.is_kept for check in notices),
        "brittle": [attrs.asdict(check) for check in brittle],
        "brittle_exceeded": sum(not check.is_kept for check in brittle),
        "entries": [attrs.asdict(check) for check in entries],
        "entries_behind": sum(check.is_behind for check in entries),
    }


def _burn(items: list[Result], target_s: float | None) -> float | None:
    """Return the error budget burn; ``None`` without a target or results."""
    if target_s is None or not items:
        return None
    missed = sum(
        1
        for r in items
        if r.outcome != Outcome.DONE or r.ttft_s is None or r.ttft_s > target_s
    )
    return burn(missed, len(items))


def table(summary: dict[str, Any]) -> str:
    """Format the output of :func:`summarise` as a plain-text table."""
    lines = [
        f"{'class':15} {'n':>5} {'ttft p50':>9} {'p95':>8} {'p99':>8} "
        f"{'target':>7} {'gap p95':>8} {'burn':>5}  outcomes"
    ]
    for name, row in summary["classes"].items():
        target = f"{row['target_ms']:.0f}" if row["target_ms"] else "-"
        lines.append(
            f"{name:15} {row['requests']:>5} {row['ttft_p50_ms']:>8.1f}m "
            f"{row['ttft_p95_ms']:>7.1f}m {row['ttft_p99_ms']:>7.1f}m {target:>7} "
            f"{row['gap_p95_ms']:>7.1f}m {row['slo_burn'] or 0:>5.2f}  "
            f"{row['outcomes']} {row['refusals'] or ''}"
        )
    lines.append(
        f"overspend {summary['overspend_tokens']} tokens, double bills "
        f"{summary['double_bills']}, double runs {summary['double_runs']}, lost or "
        f"cut {summary['lost_or_cut']}, wrong answers {summary['wrong_answers']}, "
        f"bills {summary['bills']}"
    )
    if summary["limits"]:
        worst = max(row["worst_window"] / row["allowed"] for row in summary["limits"])
        lines.append(
            f"limits {len(summary['limits'])}, exceeded "
            f"{summary['limits_exceeded']}, worst window {worst:.2f} of what is allowed"
        )
    if summary["notices"]:
        late = sum(row["late"] for row in summary["notices"])
        worst = max(row["worst_backoff"] for row in summary["notices"])
        lines.append(
            f"leaving or backing off {len(summary['notices'])}, broken "
            f"{summary['notices_broken']}, late at leaving {late}, most of one entry "
            f"in a backoff {worst}"
        )
    if summary["brittle"]:
        worst = max(row["worst"] for row in summary["brittle"])
        lines.append(
            f"brittle replicas {len(summary['brittle'])}, most rejections in a second "
            f"{worst}, beyond what they bear {summary['brittle_exceeded']}"
        )
    if summary["mixed_versions"]:
        lines.append(f"answers of several versions: {summary['mixed_versions']}")
    if summary["entries_behind"]:
        lines.append(f"entries served far worse: {summary['entries_behind']}")
    return "\n".join(lines)
