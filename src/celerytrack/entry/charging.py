"""Billing a finished request, once, before its caller is told it is done."""

import asyncio
import logging

from celerytrack.entry.admission import Admitted, reserve
from celerytrack.entry.refusals import RefusedError
from celerytrack.entry.state import EntryState
from celerytrack.escrow import GrantReservation
from celerytrack.events import Event, log_event
from celerytrack.ledger import Bill, BillOutcome
from celerytrack.verdict import may_have_run

_log = logging.getLogger(__name__)

BILL_WAIT_S = 2.0
"""Longest the end of an answer waits for its bill to be on the log."""

_unconfirmed: set[asyncio.Task[BillOutcome]] = set()
"""Bills still on their way after their caller was answered; the event loop
alone would not keep their tasks alive."""


async def charge(
    state: EntryState, admitted: Admitted, reservation: GrantReservation, spent: int
) -> None:
    """Bill ``spent`` tokens of ``reservation`` and wait until it is on the log.

    :raises RefusedError: ``may_have_run``, if the grants were closed while
        the request ran and the account cannot cover it any more.
    """
    outcome = await _bill(state, admitted, reservation, spent)
    if outcome is BillOutcome.VOID:
        # The request outlived its grant (this entry was paused past its
        # lease and the grant taken back): the answer must not go out as
        # complete until other tokens of the account have paid for it.
        try:
            again = await reserve(state, admitted, spent)
        except RefusedError as exc:
            lost = may_have_run(exc.refusal.reason, None, "grant lost while it ran")
            raise RefusedError(lost) from None
        outcome = await _bill(state, admitted, again, spent)
    if outcome is BillOutcome.CHARGED:
        state.metrics.billed_tokens.inc(spent)


async def _bill(
    state: EntryState, admitted: Admitted, reservation: GrantReservation, spent: int
) -> BillOutcome | None:
    charges = state.keeper.book.commit(reservation, spent)
    bill = Bill(
        reservation.request_id, reservation.account, admitted.work.name, charges
    )
    task = asyncio.create_task(state.keeper.bill(bill))
    _unconfirmed.add(task)
    task.add_done_callback(_unconfirmed.discard)
    try:
        return await asyncio.wait_for(asyncio.shield(task), BILL_WAIT_S)
    except TimeoutError:
        # The log is down: the bill stays queued and is appended when it
        # comes back; the caller is not held longer for it.
        log_event(
            _log,
            Event.BILLS_FLUSH_FAILED,
            logging.WARNING,
            request_id=reservation.request_id,
        )
        return None
