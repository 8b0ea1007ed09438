"""Log lines about a restore of the platform's log from an older backup."""

import logging
from collections.abc import Set

from celerytrack.eras import Era, EraChange
from celerytrack.events import Event, log_event
from celerytrack.ids import EntryId
from celerytrack.prepaid.restore_hold import RestoreHold

_log = logging.getLogger(__name__)

MAX_LOGGED_ENTRIES = 20
"""Most entries named in one line."""


def log_restored(change: EraChange, offset: int | None, awaited: Set[EntryId]) -> None:
    """Log that the platform's log was restored.

    :param offset: offset up to which the rows of the old era were read.
    :param awaited: entries that have yet to write a row in the new era.
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


def log_hold_ended(hold: RestoreHold, era: Era | None) -> None:
    """Log how long claims were held, and which entries still wrote no row."""
    log_event(
        _log,
        Event.ERA_CLAIMS_HELD,
        era=era,
        held_s=round(hold.duration_s, 3),
        missing=sorted(hold.missing)[:MAX_LOGGED_ENTRIES],
        kept=hold.retained_count,
    )
