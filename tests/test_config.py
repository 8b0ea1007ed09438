"""Tests of publishing a configuration to a fake log, and of following it."""

import asyncio
import unittest

from nose2.tools import params
from returns.result import Failure, Success

from celerytrack.cli.ctl import apply_config
from celerytrack.entry.config_follower import ConfigFollower, config_record
from celerytrack.logclient import Appended, LogError, LogErrorKind

_DOC = {
    "deployment": "d",
    "classes": [{"name": "hint", "kind": "engine", "model": "m", "ttft_target_s": 1.0}],
    "accounts": [{"account_id": "a", "key": "key-0000001"}],
}
V0 = config_record(_DOC, -1, 0.0)
V0_SNAPSHOT = {**V0, "version_of": 0}
V1 = config_record(_DOC, 0, 0.0)


class _FakeLog:
    """A fake config stream; ``racing`` is appended just before the next append."""

    def __init__(self, records, racing=()):
        self.records = list(records)
        self.racing = list(racing)

    async def last(self, stream):
        if not self.records:
            return Success(None)
        return Success((len(self.records) - 1, self.records[-1]))

    async def append(self, stream, records, expected_offset=None):
        self.records += self.racing
        self.racing = []
        if expected_offset != len(self.records):
            return Failure(LogError(LogErrorKind.CONFLICT, len(self.records)))
        self.records += records
        return Success(Appended(expected_offset, len(self.records)))


class ApplyTest(unittest.TestCase):
    @params(
        # on the log, appended meanwhile, base version, applied?
        ([], [], None, True),
        ([V0], [], 0, True),
        ([V0, V1], [], 0, False),
        # A snapshot of the version in force, written before retention deletes it, is
        # not another operator's change.
        ([V0, V0_SNAPSHOT], [], 0, True),
        ([V0], [V0_SNAPSHOT], 0, True),
        ([V0], [V1], 0, False),
        ([V0], [V1], None, False),
    )
    def test_apply_fails_after_another_change(self, records, racing, base, applied):
        log = _FakeLog(records, racing)
        version, why = asyncio.run(apply_config(log, _DOC, base))
        self.assertEqual(version >= 0, applied, why)
        self.assertEqual("conflict" in why, not applied)


class FollowerTest(unittest.TestCase):
    @params(
        # records applied in order, version in force
        ([(0, V0)], 0),
        ([(0, V0), (1, V1)], 1),
        (
            [(0, V0), (1, V1), (2, V0_SNAPSHOT)],
            1,
        ),  # an older version never replaces a newer one
        ([(0, V0), (1, {**V1, "config": {"deployment": "d"}})], 0),  # invalid
        ([(5, V0_SNAPSHOT)], 0),
    )
    def test_version_in_force_is_the_newest_valid_one(self, records, version):
        follower = ConfigFollower(None)
        for offset, record in records:
            follower._apply(offset, record)
        self.assertEqual(follower.version, version)
