"""The time limit of tests."""

import asyncio
import contextlib
import io
import time
import unittest

from nose2.tools import params

from tests.time_limit import time_limit


async def _wait_for_ever() -> None:
    await asyncio.Event().wait()


def _block() -> None:
    time.sleep(30.0)


def _wait() -> None:
    asyncio.run(_wait_for_ever())


class TimeLimitTest(unittest.TestCase):
    @params((_wait, asyncio.CancelledError), (_block, AssertionError))
    def test_a_test_that_goes_on_for_ever_ends_and_shows_what_it_waited_for(
        self, run, error
    ) -> None:
        """A whole run ended at its limit and did not say which test it was in."""
        shown = io.StringIO()
        with contextlib.redirect_stderr(shown), self.assertRaises(error):
            with time_limit(0.2):
                run()
        self.assertIn(run.__name__, shown.getvalue())
        if run is _wait:
            self.assertIn("_wait_for_ever", shown.getvalue())
