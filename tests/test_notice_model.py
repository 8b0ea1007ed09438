"""Fleets of 9, 76 and 195 entries before endpoints that leave or back off, in modelled
time."""

import logging
import unittest

from nose2.tools import params

from celerytrack.lab.notice_fleet import NoticeFleet
from celerytrack.lab.notice_scenarios import (
    Mechanism,
    NoticeFault,
    NoticeOutcome,
    NoticeScenario,
)
from celerytrack.lab.virtual_time import run_virtual
from celerytrack.standins.notices import MAX_DURING_BACKOFF

SERVED_SHARE = 0.95
"""Least share of requests that must be served while most endpoints have room."""


def _play(scenario: NoticeScenario, seed: int = 1) -> NoticeOutcome:
    return run_virtual(NoticeFleet(scenario, seed).run())


class NoticeModelTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    @params(
        (9, ()),
        (9, (NoticeFault.LOG_AWAY, NoticeFault.MESSAGES_LOST)),
        (9, (NoticeFault.STOPS, NoticeFault.FROZEN)),
        (76, (NoticeFault.LOG_AWAY,)),
        (76, (NoticeFault.THIRD_CUT, NoticeFault.NO_MESSAGES)),
        (195, (NoticeFault.LOG_AWAY, NoticeFault.MESSAGES_LOST)),
    )
    def test_endpoints_that_leave_get_no_late_requests(
        self, entries: int, faults: tuple[NoticeFault, ...]
    ) -> None:
        """Entries sent to endpoints that leave until the log said so."""
        scenario = NoticeScenario(
            "test", entries=entries, leaves_every_s=2.0, faults=faults
        )
        outcome = _play(scenario)
        self.assertEqual(outcome.late, 0)
        self.assertGreaterEqual(outcome.served, SERVED_SHARE * outcome.requests)

    @params(
        (9, 3, 2.0, ()),
        (9, 12, 2.5, ()),
        (9, 12, 0.3, ()),
        (76, 3, 2.0, (NoticeFault.STOPS,)),
        (76, 12, 2.5, ()),
        (195, 3, 2.0, ()),
    )
    def test_endpoints_that_back_off_are_left_alone(
        self,
        entries: int,
        rejecting: int,
        backoff_s: float,
        faults: tuple[NoticeFault, ...],
    ) -> None:
        """Entries came back before the time was over, or never."""
        scenario = NoticeScenario(
            "test",
            entries=entries,
            rejecting=rejecting,
            backoff_s=backoff_s,
            faults=faults,
        )
        outcome = _play(scenario)
        self.assertGreater(outcome.backoffs, 0)
        self.assertLessEqual(outcome.worst_backoff, MAX_DURING_BACKOFF)
        self.assertGreaterEqual(outcome.returned_share, 0.5)
        if rejecting == 3:
            self.assertGreaterEqual(outcome.served, SERVED_SHARE * outcome.requests)

    def test_entries_that_ignore_the_word_break_both(self) -> None:
        """The model did not show what it is meant to show."""
        ignored = Mechanism.NONE
        leaving = NoticeScenario(
            "test",
            leaves_every_s=2.0,
            faults=(NoticeFault.LOG_AWAY,),
            mechanism=ignored,
        )
        self.assertGreater(_play(leaving).late, 0)
        backing_off = NoticeScenario("test", rejecting=12, mechanism=ignored)
        self.assertGreater(_play(backing_off).broken_backoffs, 0)
