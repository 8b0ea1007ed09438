"""Tests of the validation of settings; errors name the field path."""

import pathlib
import tempfile
import unittest

from nose2.tools import params

from celerytrack.platform.settings import load_settings
from celerytrack.settings import (
    Config,
    EntryTuning,
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

    @params(
        ("idempotent", [], "true or false, found []"),
        ("idempotent", 1, "true or false, found 1"),
        ("ttft_target_s", "2", 'a number, found "2"'),
        ("ttft_target_s", True, "a number, found true"),
        ("max_output_tokens", 1.5, "a whole number, found 1.5"),
        ("max_output_tokens", "9", 'a whole number, found "9"'),
        ("model", 7, "text, found 7"),
        ("name", None, "text, found null"),
    )
    def test_values_are_not_coerced(self, field, value, expected):
        """Guards against mistyped values that take effect as something else.

        A class declared with ``"idempotent": []`` passed ``validate``, and its
        calls ran at most once; ``"2"`` was accepted as a number. Both were coerced.
        """
        doc = {"deployment": "d", "classes": [{**_CLASS, field: value}], "accounts": []}
        with self.assertRaises(SettingsError) as caught:
            structure(doc, Config)
        self.assertIn(f"must be {expected}", str(caught.exception))
        self.assertIn(f"$.classes[0].{field}", str(caught.exception))

    @params((30.0, 33.0), (5.0, 6.0), (40.0, 40.0))
    def test_stop_grace_must_exceed_the_drain_grace(self, drain_s, stop_s):
        """Guards against a process that is killed with requests in progress."""
        doc = {"drain_grace_s": drain_s, "stop_grace_s": stop_s}
        with self.assertRaises(SettingsError) as caught:
            structure(doc, EntryTuning)
        self.assertIn(f"{drain_s + 4.0} at least: {stop_s}", str(caught.exception))

    @params(b"node = \xff", b"node = ", b"\x00")
    def test_error_names_an_unreadable_file(self, raw):
        """Guards against a reload that fails with a traceback and names no file."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "boot.toml"
            path.write_bytes(raw)
            with self.assertRaises(SettingsError) as caught:
                load_settings(path)
        self.assertIn("boot.toml", str(caught.exception))

    def test_a_short_key_is_rejected(self):
        account = {"account_id": "a", "key": "12"}
        doc = {"deployment": "d", "classes": [], "accounts": [account]}
        with self.assertRaises(SettingsError) as caught:
            structure(doc, Config)
        self.assertIn("key must have 8 characters or more: 2", str(caught.exception))

    def test_duplicate_accounts_are_rejected(self):
        account = {"account_id": "a", "key": "12345678"}
        doc = {"deployment": "d", "classes": [], "accounts": [account, account]}
        with self.assertRaises(SettingsError):
            structure(doc, Config)
