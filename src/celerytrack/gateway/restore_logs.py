"""Log lines of a log that came back from an older copy."""

import logging
from collections.abc import Set

from celerytrack.eras import Era, EraChange
from celerytrack.events import Event, log_event
from celerytrack.ids import EntryId
from celerytrack.prepaid.restore_hold import RestoreHold

_log = logging.getLogger(__name__)

LOGGED_MOST = 20
"""Entries that one line names."""


def log_restored(change: EraChange, offset: int | None, awaited: Set[EntryId]) -> None:
    """Say that the log came back.

    :param offset: up to where the rows of the old era were read.
    :param awaited: the entries whose rows of the new era are waited for.
    """
    log_event(
        _log,
        Event.ERA_CHANGED,
        logging.INFO if change.is_expected else logging.WARNING,
        old=change.old,
        new=change.new,
        offset=offset,
        awaited=len(awaited),
    )


def log_hold_over(guard: RestoreHold, era: Era | None) -> None:
    """Say how long claims were held, and for whom in vain."""
    log_event(
        _log,
        Event.ERA_CLAIMS_HELD,
        era=era,
        held_s=round(guard.duration_s, 3),
        missing=sorted(guard.missing)[:LOGGED_MOST],
        kept=guard.retained_count,
    )
