"""Broken answers, read by the library's parser in Python.

The library takes it where its compiled one is missing, and reads other answers wrong.
"""

import os
import subprocess
import sys
import unittest

from nose2.tools import params

RUN_LASTS_S = 300.0


class PlainParserTest(unittest.TestCase):
    @params("tests.test_unfinished_uploads", "tests.test_broken_heads")
    def test_broken_answers_are_not_passed_on(self, module: str) -> None:
        """A part of an answer, or a status that is none, came to the caller."""
        done = subprocess.run(
            [sys.executable, "-m", "nose2", "-s", ".", "-t", ".", module],
            env={**os.environ, "AIOHTTP_NO_EXTENSIONS": "1"},
            capture_output=True,
            text=True,
            timeout=RUN_LASTS_S,
        )
        self.assertEqual(done.returncode, 0, done.stderr[-4_000:])
