"""Failures of one attempt of a request at an endpoint."""

import aiohttp
from returns.result import Failure, Result

from celerytrack.gateway.exchange import AttemptFailure, BufferedAnswer
from celerytrack.verdict import Reason, Verdict

CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
"""Errors raised before there was a connection: nothing was sent."""
CONNECTION_ERRORS = (aiohttp.ClientError, OSError)
"""Errors of a connection, after which the request may have run."""

AttemptResult = Result[BufferedAnswer | None, AttemptFailure]
"""``Success(None)`` if a stream was relayed completely."""


def withheld() -> AttemptFailure:
    """Return the failure of a request that its endpoint's word kept from being sent."""
    detail = "the endpoint said meanwhile that it wants no requests"
    return AttemptFailure(
        Reason.BACKING_OFF,
        Verdict.DID_NOT_RUN,
        False,
        detail,
        sent=False,
        withheld=True,
    )


def no_memory() -> AttemptFailure:
    """The failure of an attempt for whose answer this entry has no memory."""
    return AttemptFailure(
        Reason.OVERLOADED,
        Verdict.MAY_HAVE_RUN,
        hard=False,
        detail="callers hold all the memory that they may",
        is_final=True,
    )


def links_lost() -> AttemptFailure:
    """Return the failure of a request that was given up with this entry's links."""
    detail = "this entry reaches no endpoint any more"
    return AttemptFailure(
        Reason.UPSTREAM_CUT, Verdict.MAY_HAVE_RUN, False, detail, links_down=True
    )


def connection_failure(
    reason: Reason, verdict: Verdict, exc: BaseException
) -> AttemptResult:
    """Return the result of an attempt whose connection failed."""
    detail = f"{type(exc).__name__}: {exc}"
    return Failure(AttemptFailure(reason, verdict, True, detail))


def unusable_answer(detail: str, is_final: bool = False) -> AttemptResult:
    """Return the result of an attempt whose answer can't be passed on."""
    return Failure(
        AttemptFailure(
            Reason.UPSTREAM_CUT,
            Verdict.MAY_HAVE_RUN,
            True,
            detail,
            is_final=is_final,
        )
    )
