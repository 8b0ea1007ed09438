"""Attempts of one request on several replicas."""

import asyncio
import random
import time
import types
import unittest
from collections import defaultdict
from unittest import mock

from nose2.tools import params
from returns.result import Failure, Success

from celerytrack.callers.callers import Callers
from celerytrack.callers.limits import CallerLimits
from celerytrack.entry.notices import EntryNotices
from celerytrack.entry.shared_deadline import SharedDeadline
from celerytrack.entry.suspects import EntrySuspects
from celerytrack.entry.unforeseen import Progress
from celerytrack.entry.upstream import try_replicas
from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EntryId, ReplicaId, RequestId, Zone
from celerytrack.reachability.monitor import EntryLinks, ReachMonitor
from celerytrack.routing.replica_load import Ask, Load, ReplicaLoad
from celerytrack.routing.replicas import make_chooser
from celerytrack.routing.retries import RetryBudget
from celerytrack.verdict import Reason, Verdict, did_not_run, may_have_run

DID_NOT_RUN = Failure(did_not_run(Reason.UPSTREAM_FAILED))
MAY_HAVE_RUN = Failure(may_have_run(Reason.UPSTREAM_FAILED))


def _suspects() -> EntrySuspects:
    """Suspects whose check for a crashed replica is disabled."""
    suspects = EntrySuspects(EntryId("e"))
    suspects.check_for_crash = lambda *args: None
    return suspects


def _work(idempotent: bool = True, priority: int = 0) -> types.SimpleNamespace:
    return types.SimpleNamespace(
        idempotent=idempotent, model="m", priority=priority, ttft_target_s=0.3
    )


def _admitted(work: types.SimpleNamespace) -> types.SimpleNamespace:
    return types.SimpleNamespace(
        work=work,
        request_id=RequestId("r"),
        fingerprint=Fingerprint(b"r" * 16),
        part_fingerprints=(),
        progress=Progress(),
    )


def _state() -> types.SimpleNamespace:
    replicas = [ReplicaLoad(ReplicaId(n), Zone("z"), "m") for n in "abcde"]
    return types.SimpleNamespace(
        view=types.SimpleNamespace(
            replicas={r.replica_id: r for r in replicas},
            addresses={r.replica_id: "nowhere" for r in replicas},
        ),
        suspects=_suspects(),
        callers=Callers(CallerLimits()),
        notices=EntryNotices(
            EntryId("e"),
            "127.0.0.1:1",
            lambda now_s: [],
            lambda now_s: 0.0,
            random.Random(1),
        ),
        choose=make_chooser("predicted"),
        spec=types.SimpleNamespace(zone=Zone("z")),
        retries=RetryBudget(ratio=0.0),
        attempts_deadline=SharedDeadline(),
        rng=random.Random(1),
        reach=_reach(),
        ended_with_links=defaultdict(set),
    )


def _reach() -> ReachMonitor:
    links = EntryLinks(
        EntryId("e"),
        0.0,
        lambda service: (),
        lambda: (),
        lambda news: None,
        lambda service, doubted_at_s: None,
    )
    return ReachMonitor(links, random.Random(1))


def _run(state, outcomes: str, priority: int = 0):
    """Send one request whose attempts end as in ``outcomes``.

    ``t`` fails after some tokens, ``f`` fails without any, ``.`` succeeds.
    """
    tried = []

    async def attempt(sent, post):
        tried.append(sent.replica.replica_id)
        outcome = outcomes[len(tried) - 1]
        if outcome == "t":
            sent.record_first_token(0.0)
        return Success(1) if outcome == "." else MAY_HAVE_RUN

    work = _work(priority=priority)
    with mock.patch("celerytrack.entry.upstream.asyncio.sleep"):
        result = asyncio.run(
            try_replicas(state, _admitted(work), Ask("m", priority), attempt)
        )
    return result, tried


class TryReplicasTest(unittest.TestCase):
    @params(
        # outcomes of the attempts, idempotent, attempts, backoffs, verdict
        ([Success(1)], False, 1, 0, None),
        ([DID_NOT_RUN, Success(1)], False, 2, 1, None),
        ([MAY_HAVE_RUN, Success(1)], False, 1, 0, Verdict.MAY_HAVE_RUN),
        ([MAY_HAVE_RUN, Success(1)], True, 2, 1, None),
        ([DID_NOT_RUN] * 4, False, 3, 2, Verdict.DID_NOT_RUN),
        ([DID_NOT_RUN, MAY_HAVE_RUN, DID_NOT_RUN], True, 3, 2, Verdict.MAY_HAVE_RUN),
    )
    def test_the_last_attempt_takes_no_backoff_and_no_retry(
        self, outcomes, idempotent, attempts, backoffs, verdict
    ):
        """Guards against a backoff and a retry from the budget after the last of three
        attempts has failed. They served an attempt that was never made: the caller got
        its refusal late, and other requests lacked the retry."""
        state, tried = _state(), []
        work = _work(idempotent=idempotent)

        async def attempt(sent, post):
            tried.append(sent.replica.replica_id)
            return outcomes[len(tried) - 1]

        with mock.patch("celerytrack.entry.upstream.asyncio.sleep") as sleep:
            result = asyncio.run(
                try_replicas(state, _admitted(work), Ask("m", 0), attempt)
            )
        self.assertEqual((len(set(tried)), len(tried)), (attempts, attempts))
        self.assertEqual(sleep.await_count, backoffs)
        retries_left = 0
        while state.retries.try_acquire():
            retries_left += 1
        self.assertEqual(retries_left, 10 - backoffs)
        match result:
            case Failure(refusal):
                self.assertEqual(refusal.verdict, verdict)
            case _:
                self.assertIsNone(verdict)

    @params(
        # outcomes of the attempts, with tokens (t) or without (f)
        ("tft.",),  # killed, killed before the first token, cut off
        ("ftfft.",),
        ("tttttttt.",),  # more attempts than replicas
    )
    def test_an_answer_that_makes_progress_is_continued(self, outcomes):
        """Guards against aborting an answer after three attempts that add tokens."""
        result, tried = _run(_state(), outcomes)
        self.assertEqual((result, len(tried)), (Success(1), len(outcomes)))

    def test_an_answer_without_progress_is_aborted(self):
        """Guards against endless retries of a started answer without progress."""
        result, tried = _run(_state(), "tfff.")
        self.assertEqual((type(result), len(tried)), (Failure, 4))

    def test_started_answers_continue_without_retry_budget(self):
        """Guards against aborting started answers after others used up the retries."""
        state = _state()
        for _ in range(30):
            self.assertEqual(_run(state, "t.")[0], Success(1))
        self.assertTrue(state.retries.try_acquire())

    def test_an_answer_not_started_needs_retry_budget(self):
        """Guards against unlimited retries of new requests during an outage."""
        state = _state()
        for _ in range(10):
            self.assertEqual(_run(state, "f.")[0], Success(1))
        self.assertEqual(type(_run(state, "f.")[0]), Failure)

    @params({"running": 16}, {"leaving": True})
    def test_a_replica_that_failed_lately_is_used_if_no_other_can(self, state_of_b):
        """Guards against aborting an answer because the only replica without recent
        failures is full or leaving."""
        state = _state()
        a, b, *others = state.view.replicas.values()
        b.own = Load(state_of_b.get("running", 0))
        b.leaving = state_of_b.get("leaving", False)
        for replica in others:
            replica.record_failure(0.0)
        result, tried = _run(state, "t.")
        self.assertEqual((result, tried), (Success(1), [a.replica_id, "c"]))

    def test_a_started_answer_is_not_shed(self):
        """Guards against aborting a low-priority answer while replicas fill up."""
        state = _state()
        a, *others = state.view.replicas.values()
        for replica in others:
            replica.own = Load(14)
        self.assertEqual(_run(state, "t.", priority=2)[0], Success(1))
        self.assertEqual(type(_run(state, "f.", priority=2)[0]), Failure)


class StopTest(unittest.TestCase):
    @params(
        # seconds left, attempts started, reason, verdict
        (-1.0, 0, Reason.DRAINING, Verdict.DID_NOT_RUN),
        (0.05, 1, Reason.DEADLINE, Verdict.MAY_HAVE_RUN),
    )
    def test_attempts_end_at_the_deadline(self, left_s, started, reason, verdict):
        """Guards against a stop that waits for a replica that does not answer, or that
        starts an attempt which it cannot finish."""
        result, attempts = asyncio.run(self._run_unanswered(left_s))
        refusal = result.failure()
        self.assertEqual(attempts, started)
        self.assertEqual((refusal.reason, refusal.verdict), (reason, verdict))

    async def _run_unanswered(self, left_s: float):
        state = _state()
        started = []

        async def attempt(sent, post):
            started.append(sent)
            await asyncio.Event().wait()

        work = _work()
        trying = asyncio.create_task(
            try_replicas(state, _admitted(work), Ask("m", 0), attempt)
        )
        # A deadline in the past is set before the attempt, another one during it.
        if left_s > 0:
            await asyncio.sleep(0.01)
        state.attempts_deadline.set(time.monotonic() + left_s)
        return await asyncio.wait_for(trying, 1.0), len(started)
