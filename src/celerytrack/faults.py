"""What is logged of an exception that isn't foreseen."""

import pathlib
import traceback

from celerytrack.record_faults import MAX_DETAIL_CHARS

_PACKAGE = pathlib.Path(__file__).parent.name


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
