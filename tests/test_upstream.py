"""Trying one request on several replicas."""

import asyncio
import random
import types
import unittest
from unittest import mock

from nose2.tools import params
from returns.result import Failure, Success

from celerytrack.entry.upstream import try_replicas
from celerytrack.ids import ReplicaId, RequestId, Zone
from celerytrack.replica_load import Ask, ReplicaLoad
from celerytrack.retries import RetryBudget
from celerytrack.routing import make_chooser
from celerytrack.verdict import Reason, Verdict, did_not_run, may_have_run

NOT_RUN = Failure(did_not_run(Reason.UPSTREAM_FAILED))
MAYBE = Failure(may_have_run(Reason.UPSTREAM_FAILED))


def _state() -> types.SimpleNamespace:
    replicas = [ReplicaLoad(ReplicaId(n), Zone("z"), "m") for n in "abcde"]
    return types.SimpleNamespace(
        view=types.SimpleNamespace(replicas={r.replica_id: r for r in replicas}),
        choose=make_chooser("predicted"),
        spec=types.SimpleNamespace(zone=Zone("z")),
        retries=RetryBudget(ratio=0.0),
        rng=random.Random(1),
    )


class TryReplicasTest(unittest.TestCase):
    @params(
        # outcomes of the attempts, may run twice, attempts, waits, verdict
        ([Success(1)], False, 1, 0, None),
        ([NOT_RUN, Success(1)], False, 2, 1, None),
        ([MAYBE, Success(1)], False, 1, 0, Verdict.MAY_HAVE_RUN),
        ([MAYBE, Success(1)], True, 2, 1, None),
        ([NOT_RUN] * 4, False, 3, 2, Verdict.DID_NOT_RUN),
        ([NOT_RUN, MAYBE, NOT_RUN], True, 3, 2, Verdict.MAY_HAVE_RUN),
    )
    def test_attempts(self, outcomes, twice, attempts, waits, verdict):
        """Symptom: a refused caller hears it late, and other requests lack
        the retries it used up. Sequence: the last of three attempts fails.
        Cause: backing off, and paying for a retry, that is never made."""
        state, tried = _state(), []
        work = types.SimpleNamespace(idempotent=twice, model="m", priority=0)

        async def attempt(sent):
            tried.append(sent.replica.replica_id)
            return outcomes[len(tried) - 1]

        with mock.patch("celerytrack.entry.upstream.asyncio.sleep") as sleep:
            result = asyncio.run(
                try_replicas(state, work, Ask("m", 0), RequestId("r"), attempt)
            )
        self.assertEqual((len(set(tried)), len(tried)), (attempts, attempts))
        self.assertEqual(sleep.await_count, waits)
        left = 0
        while state.retries.take():
            left += 1
        self.assertEqual(left, 10 - waits)
        match result:
            case Failure(refusal):
                self.assertEqual(refusal.verdict, verdict)
            case _:
                self.assertIsNone(verdict)
