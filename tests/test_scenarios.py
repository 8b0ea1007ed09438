"""The promises of the system (p1 to p8) as scenarios over processes on loopback."""

import pathlib
import unittest

from nose2.tools import params

from tests.scenario import run_file

SCENARIOS = pathlib.Path(__file__).resolve().parent / "scenarios"


class ScenarioTest(unittest.TestCase):
    @params(*sorted(p.name for p in SCENARIOS.glob("*.scn")))
    def test_scenario(self, name):
        scenario = run_file(str(SCENARIOS / name))
        if scenario.failures and scenario.fleet is not None:
            scenario.fleet.keep_logs(name)
        self.assertEqual(scenario.failures, [], scenario.figures)
