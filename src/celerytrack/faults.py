"""What is said and logged of an exception that isn't foreseen."""

import pathlib
import traceback

from celerytrack.record_faults import MAX_DETAIL_CHARS
from celerytrack.verdict import Reason, Refusal, did_not_run, may_have_run

_PACKAGE = pathlib.Path(__file__).parent.name


def refusal_of(exc: Exception, may_run: bool, retry_after_s: float) -> Refusal:
    """The refusal of a request that ended with ``exc``.

    :param may_run: whether it may have run: it did not only if nothing can have been
        sent.
    :param retry_after_s: ``Retry-After`` if it did not run.
    """
    detail = f"this entry failed: {type(exc).__name__}"
    if may_run:
        return may_have_run(Reason.UNFORESEEN, None, detail)
    return did_not_run(Reason.UNFORESEEN, retry_after_s, detail)


def describe(exc: BaseException) -> str:
    """One bounded line about an exception."""
    return repr(exc)[:MAX_DETAIL_CHARS]


def place_of(exc: BaseException) -> str:
    """The innermost line of this project that the exception went through."""
    own = [
        frame
        for frame in traceback.extract_tb(exc.__traceback__)
        if _PACKAGE in pathlib.PurePath(frame.filename).parts
    ]
    if not own:
        return ""
    return f"{pathlib.PurePath(own[-1].filename).name}:{own[-1].lineno}"
