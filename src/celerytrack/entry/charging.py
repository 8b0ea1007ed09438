"""Bills a finished request once, before its caller gets the end of the answer."""

import asyncio
import logging

from celerytrack.entry.admission import AdmittedRequest, reserve
from celerytrack.entry.refusals import RefusedError
from celerytrack.entry.state import EntryState
from celerytrack.escrow import GrantReservation
from celerytrack.events import Event, log_event
from celerytrack.ledger import Bill, BillOutcome
from celerytrack.verdict import may_have_run

_log = logging.getLogger(__name__)

BILL_WAIT_S = 2.0
"""Timeout of the wait for a bill to be on the log; the end of the answer waits for
it."""

_unconfirmed: set[asyncio.Task[BillOutcome]] = set()
"""Tasks of bills that are still queued after their caller was answered. The event
loop keeps only weak references to tasks."""


async def charge(
    state: EntryState,
    admitted: AdmittedRequest,
    reservation: GrantReservation,
    spent: int,
) -> None:
    """Bill ``spent`` tokens of ``reservation`` and wait until the bill is on the log.

    The wait ends after :data:`BILL_WAIT_S`; the bill then stays queued.

    :raises RefusedError: ``may_have_run`` if the grants were closed while the request
        ran and the account can no longer cover it.
    """
    outcome = await _bill(state, admitted, reservation, spent)
    if outcome is BillOutcome.VOID:
        # The grant was closed while the request ran: this entry was paused past its
        # lease and another entry reclaimed the grant. The answer must not end as
        # complete until other tokens of the account have paid for it.
        try:
            second = await reserve(state, admitted, spent)
        except RefusedError as exc:
            lost = may_have_run(exc.refusal.reason, None, "grant lost while it ran")
            raise RefusedError(lost) from None
        outcome = await _bill(state, admitted, second, spent)
    if outcome is BillOutcome.CHARGED:
        state.metrics.billed_tokens.inc(spent)


async def _bill(
    state: EntryState,
    admitted: AdmittedRequest,
    reservation: GrantReservation,
    spent: int,
) -> BillOutcome | None:
    charges = state.grant_manager.escrow.commit(reservation, spent)
    bill = Bill(
        reservation.request_id, reservation.account, admitted.work.name, charges
    )
    task = asyncio.create_task(state.grant_manager.bill(bill))
    _unconfirmed.add(task)
    task.add_done_callback(_unconfirmed.discard)
    try:
        return await asyncio.wait_for(asyncio.shield(task), BILL_WAIT_S)
    except TimeoutError:
        # The log is down. The bill stays queued and is appended once the log is
        # back; the caller does not wait for it.
        log_event(
            _log,
            Event.BILLS_FLUSH_FAILED,
            logging.WARNING,
            request_id=reservation.request_id,
        )
        return None
