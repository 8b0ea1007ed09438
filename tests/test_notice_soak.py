"""Leavings, backoffs, an absent log, lost messages and restarts that overlap.

``NOTICE_SOAK_SEEDS=1,2,...`` chooses the seeds; CI plays one.
"""

import asyncio
import logging
import os
import random
import unittest

from nose2.tools import params

from tests.notice_soak import NoticeSoak
from tests.noticing_endpoints import MAX_DURING_BACKOFF

SEEDS = [int(seed) for seed in os.environ.get("NOTICE_SOAK_SEEDS", "1").split(",")]


class NoticeSoakTest(unittest.TestCase):
    @params(*SEEDS)
    def test_the_word_of_endpoints_is_kept(self, seed: int) -> None:
        """One change undid what an entry knew from another."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        soaked = asyncio.run(NoticeSoak(random.Random(seed)).run())
        self.assertGreater(soaked.backoffs, 0, soaked)
        self.assertGreater(soaked.leavings, 0, soaked)
        self.assertEqual(soaked.late, 0, soaked)
        self.assertLessEqual(soaked.worst_backoff, MAX_DURING_BACKOFF, soaked)
        self.assertEqual(soaked.lost, [], soaked)
        self.assertLessEqual(set(soaked.statuses), {200, 503}, soaked)
