"""Tests of which versions of services are written to the log."""

import unittest

from nose2.tools import params

from celerytrack.ids import ServiceName
from celerytrack.origins.memory import KEEP_S
from celerytrack.origins.recorded import (
    DROP_AFTER_S,
    RecordChange,
    RecordedVersions,
    ServiceVersion,
)
from celerytrack.platform.version_records import decode_version, encode_version

S, FOREIGN = ServiceName("s"), ServiceName("not-ours")
OLD, NEW = ServiceVersion(S, "v1"), ServiceVersion(S, "v2")


def _seen(*subjects: ServiceVersion, at_s: float = 0.0):
    return [(subject.service, subject.version, at_s) for subject in subjects]


class RecordedVersionsTest(unittest.TestCase):
    def setUp(self):
        self.recorded = RecordedVersions(lambda key: True)

    def test_each_version_is_written_once(self):
        changes = self.recorded.changes(_seen(OLD, NEW), {S}, 0.0)
        self.assertEqual(changes, [RecordChange(v, False) for v in (OLD, NEW)])
        self.assertEqual(self.recorded.changes(_seen(OLD, NEW), {S}, 1.0), [])

    def test_versions_of_other_services_are_not_written(self):
        """Registrations of another writer filled the topic."""
        foreign = ServiceVersion(FOREIGN, "v1")
        self.assertEqual(self.recorded.changes(_seen(foreign), {S}, 0.0), [])

    def test_what_is_on_the_log_is_not_written_again(self):
        self.recorded.load([OLD], 0.0)
        changes = self.recorded.changes(_seen(OLD, NEW), {S}, 0.0)
        self.assertEqual(changes, [RecordChange(NEW, False)])

    def test_a_version_that_the_restored_log_lacks_is_written_again(self):
        self.recorded.changes(_seen(OLD), {S}, 0.0)
        self.recorded.load([], 1.0)
        changes = self.recorded.changes(_seen(OLD), {S}, 1.0)
        self.assertEqual(changes, [RecordChange(OLD, False)])

    @params((DROP_AFTER_S, False), (DROP_AFTER_S + 1.0, True))
    def test_a_version_is_dropped_once_no_stream_can_be_taken_up(self, at_s, dropped):
        """One that ended long ago kept streams of the only version from going on."""
        self.recorded.load([OLD], 0.0)
        changes = self.recorded.changes([], {S}, at_s)
        self.assertEqual(changes, [RecordChange(OLD, True)] * dropped)
        self.assertGreater(DROP_AFTER_S, KEEP_S)

    def test_nothing_is_dropped_while_the_log_is_away(self):
        """The registrations could not be read, and a version looked as if it had
        ended."""
        self.recorded.changes(_seen(OLD), {S}, 0.0)
        for _ in range(3):
            self.assertEqual(self.recorded.changes(_seen(OLD), {S}, 2.0), [])

    def test_entries_that_are_no_writers_write_nothing(self):
        """With hundreds of entries each new version was written hundreds of times."""
        asked = []

        def is_writer(key):
            asked.append(key)
            return False

        recorded = RecordedVersions(is_writer)
        for at_s in range(100):
            self.assertEqual(recorded.changes(_seen(OLD), {S}, float(at_s) / 10), [])
        self.assertEqual(len(asked), 1)

    def test_a_record_holds_what_was_written(self):
        for subject in (OLD, ServiceVersion(ServiceName("é" * 200), "")):
            self.assertEqual(decode_version(encode_version(subject)), subject)
            self.assertLess(len(subject.record_key), 255)
