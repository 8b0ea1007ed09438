"""Log lines on requests that end endpoints, the same of both interfaces."""

import logging

from celerytrack.events import Event, log_event
from celerytrack.suspects import Suspect


def log_shut_out(logger: logging.Logger, suspect: Suspect) -> None:
    """Say that no endpoint gets a request, since when endings count and till when."""
    log_event(
        logger,
        Event.SUSPECT_SHUT_OUT,
        logging.WARNING,
        fingerprint=suspect.fingerprint.hex(),
        endings=[ending.endpoint_id for ending in suspect.endings],
        free_in_s=suspect.free_in_s,
    )
