"""Trying one request on several replicas."""

import asyncio
import random
import time
import types
import unittest
from unittest import mock

from nose2.tools import params
from returns.result import Failure, Success

from celerytrack.entry.suspects import EntrySuspects
from celerytrack.entry.time_limit import TimeLimit
from celerytrack.entry.upstream import try_replicas
from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EntryId, ReplicaId, RequestId, Zone
from celerytrack.replica_load import Ask, Load, ReplicaLoad
from celerytrack.retries import RetryBudget
from celerytrack.routing import make_chooser
from celerytrack.verdict import Reason, Verdict, did_not_run, may_have_run

NOT_RUN = Failure(did_not_run(Reason.UPSTREAM_FAILED))
MAYBE = Failure(may_have_run(Reason.UPSTREAM_FAILED))


def _suspects() -> EntrySuspects:
    """No replica ends here."""
    suspects = EntrySuspects(EntryId("e"))
    suspects.broke = lambda *broken: None
    return suspects


def _admitted(work: types.SimpleNamespace) -> types.SimpleNamespace:
    return types.SimpleNamespace(
        work=work, request_id=RequestId("r"), fingerprint=Fingerprint(b"r" * 16)
    )


def _state() -> types.SimpleNamespace:
    replicas = [ReplicaLoad(ReplicaId(n), Zone("z"), "m") for n in "abcde"]
    return types.SimpleNamespace(
        view=types.SimpleNamespace(
            replicas={r.replica_id: r for r in replicas},
            addresses={r.replica_id: "nowhere" for r in replicas},
        ),
        suspects=_suspects(),
        choose=make_chooser("predicted"),
        spec=types.SimpleNamespace(zone=Zone("z")),
        retries=RetryBudget(ratio=0.0),
        attempts_limit=TimeLimit(),
        rng=random.Random(1),
    )


def _run(state, story: str, priority: int = 0):
    """Try one request whose attempts end as ``story`` says: ``t`` failed behind
    some tokens, ``f`` failed without any, ``.`` went well."""
    tried = []

    async def attempt(sent):
        tried.append(sent.replica.replica_id)
        step = story[len(tried) - 1]
        if step == "t":
            sent.first_token(0.0)
        return Success(1) if step == "." else MAYBE

    work = types.SimpleNamespace(idempotent=True, model="m", priority=priority)
    with mock.patch("celerytrack.entry.upstream.asyncio.sleep"):
        result = asyncio.run(
            try_replicas(state, _admitted(work), Ask("m", priority), attempt)
        )
    return result, tried


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
                try_replicas(state, _admitted(work), Ask("m", 0), attempt)
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

    @params(
        # outcomes of the attempts; with tokens (t) or without
        ("tft.",),  # killed, killed before its first token, broken off
        ("ftfft.",),
        ("tttttttt.",),  # more often than there are replicas
    )
    def test_an_answer_that_goes_on_is_not_given_up(self, story):
        """An answer that each attempt brought further is cut after three."""
        result, tried = _run(_state(), story)
        self.assertEqual((result, len(tried)), (Success(1), len(story)))

    def test_an_answer_that_stands_still_is_given_up(self):
        """A begun answer is tried for ever where nothing goes on."""
        result, tried = _run(_state(), "tfff.")
        self.assertEqual((type(result), len(tried)), (Failure, 4))

    def test_begun_answers_go_on_without_retries(self):
        """Answers in progress are cut because others used the retries up."""
        state = _state()
        for _ in range(30):
            self.assertEqual(_run(state, "t.")[0], Success(1))
        self.assertTrue(state.retries.take())

    def test_an_answer_not_begun_needs_a_retry(self):
        """New requests are sent again and again in an outage."""
        state = _state()
        for _ in range(10):
            self.assertEqual(_run(state, "f.")[0], Success(1))
        self.assertEqual(type(_run(state, "f.")[0]), Failure)

    @params({"running": 16}, {"leaving": True})
    def test_a_replica_that_failed_lately_is_better_than_none(self, barred):
        """An answer is given up since the only sound replica cannot take it."""
        state = _state()
        a, b, *others = state.view.replicas.values()
        b.own = Load(barred.get("running", 0))
        b.leaving = barred.get("leaving", False)
        for replica in others:
            replica.failed(0.0)
        result, tried = _run(state, "t.")
        self.assertEqual((result, tried), (Success(1), [a.replica_id, "c"]))

    def test_a_begun_answer_is_not_shed(self):
        """An answer of a late rank is cut while other replicas fill up."""
        state = _state()
        a, *others = state.view.replicas.values()
        for replica in others:
            replica.own = Load(14)
        self.assertEqual(_run(state, "t.", priority=2)[0], Success(1))
        self.assertEqual(type(_run(state, "f.", priority=2)[0]), Failure)


class StopTest(unittest.TestCase):
    @params(
        # seconds left, attempts begun, reason, verdict
        (-1.0, 0, Reason.DRAINING, Verdict.DID_NOT_RUN),
        (0.05, 1, Reason.DEADLINE, Verdict.MAY_HAVE_RUN),
    )
    def test_attempts_end_with_the_time_left(self, left_s, begun, reason, verdict):
        """A stop waits for a silent replica, or begins what it cannot end."""
        result, attempts = asyncio.run(self._silent(left_s))
        refusal = result.failure()
        self.assertEqual(attempts, begun)
        self.assertEqual((refusal.reason, refusal.verdict), (reason, verdict))

    async def _silent(self, left_s: float):
        state = _state()
        begun = []

        async def attempt(sent):
            begun.append(sent)
            await asyncio.Event().wait()

        work = types.SimpleNamespace(idempotent=True, model="m", priority=0)
        trying = asyncio.create_task(
            try_replicas(state, _admitted(work), Ask("m", 0), attempt)
        )
        # An end in the past is known before; another is set while it waits.
        if left_s > 0:
            await asyncio.sleep(0.01)
        state.attempts_limit.set_end(time.monotonic() + left_s)
        return await asyncio.wait_for(trying, 1.0), len(begun)
