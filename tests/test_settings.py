"""Settings are checked on load, with the field path in the error."""

import pathlib
import unittest

from nose2.tools import params

from celerytrack.settings import (
    Config,
    FleetSettings,
    SettingsError,
    load_json,
    structure,
)

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"

_CLASS = {"name": "hint", "kind": "engine", "model": "m", "ttft_target_s": 1.0}


class SettingsTest(unittest.TestCase):
    @params("haddad", "padma")
    def test_examples_load(self, name):
        load_json(EXAMPLES / name / "fleet.json", FleetSettings)
        load_json(EXAMPLES / name / "config.json", Config)

    @params(
        ({**_CLASS, "ttft_target_s": 0}, "$.classes[0]"),
        ({**_CLASS, "kind": "bogus"}, "$.classes[0].kind"),
        ({**_CLASS, "priority": 12}, "$.classes[0]"),
        ({**_CLASS, "name": "Bad Name"}, "$.classes[0]"),
        ({**_CLASS, "extra": 1}, "$.classes[0]"),
    )
    def test_bad_class_names_its_path(self, work_class, path):
        doc = {"deployment": "d", "classes": [work_class], "accounts": []}
        with self.assertRaises(SettingsError) as caught:
            structure(doc, Config)
        self.assertIn(path, str(caught.exception))

    def test_duplicate_accounts_are_refused(self):
        account = {"account_id": "a", "key": "12345678"}
        doc = {"deployment": "d", "classes": [], "accounts": [account, account]}
        with self.assertRaises(SettingsError):
            structure(doc, Config)
