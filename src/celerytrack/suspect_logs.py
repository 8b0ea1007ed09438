"""Log lines about requests that crash endpoints, shared by both interfaces."""

import logging

from celerytrack.events import Event, log_event
from celerytrack.suspects import Suspect


def log_quarantined(logger: logging.Logger, suspect: Suspect) -> None:
    """Log that a request is quarantined, after which crashes and for how long."""
    log_event(
        logger,
        Event.SUSPECT_SHUT_OUT,
        logging.WARNING,
        fingerprint=suspect.fingerprint.hex(),
        kind=suspect.kind,
        endings=[crash.endpoint_id for crash in suspect.crashes],
        free_in_s=suspect.quarantine_left_s,
    )
