"""Requests that end replicas, before the product's own interface."""

import asyncio
import json
import time
import unittest

import attrs

from celerytrack.entry.peers import PeerNews
from celerytrack.entry.state import EntryState
from celerytrack.entry.suspects import EntrySuspects
from celerytrack.findings import Findings, Probe
from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EndpointId, EntryId, ReplicaId
from celerytrack.load.mix import MIXES
from celerytrack.load.runner import REPEATED, Plan, run_plan
from celerytrack.settings import FleetSettings, load_json
from tests.fleet import ROOT, Fleet, get_json

KNOWN = Fingerprint(b"r" * 16)
FLEET_JSON = ROOT / "examples" / "haddad" / "fleet.json"
MARKER = "ends what reads it"
KNOWN_WITHIN_S = 3.0
MOST_AFTER = 3
"""Replicas that a request may end later than the entries may take to know it."""
LASTS_S = 10.0
POLL_S = 0.1


class OwnCrashingTest(unittest.TestCase):
    def test_a_crashing_request_ends_few_replicas(self) -> None:
        """One request, sent again at any entry, ended replica after replica."""
        args = ("--marker", MARKER, "--back-s", "1.0")
        with Fleet("haddad", entries=4, engine_args=args) as fleet:
            ended_s, results = asyncio.run(self._play(fleet))
        repeated = [r for r in results if r.work_class == REPEATED]
        self.assertGreater(len(repeated), 10)
        self.assertGreaterEqual(len(ended_s), 3, "no replica ended")
        late = [at_s for at_s in ended_s if at_s > ended_s[2] + KNOWN_WITHIN_S]
        self.assertLessEqual(len(late), MOST_AFTER, ended_s)
        harmless = [r for r in results if r.work_class != REPEATED]
        self.assertNotIn("quarantined", {r.reason for r in harmless})

    async def _play(self, fleet: Fleet) -> tuple[list[float], list]:
        keys = {a.account_id: a.key for a in fleet.config.accounts}
        entries = [e.address for e in fleet.entry_specs]
        plan = Plan(20.0, LASTS_S, 500, 1, repeats_per_s=3.0, marker=MARKER)
        engines = [r for r in fleet.fleet.replicas if r.kind.value == "engine"]
        watched = [
            asyncio.create_task(asyncio.to_thread(_watch, r.address)) for r in engines
        ]
        results = await run_plan(plan, MIXES["haddad"], entries, keys)
        seen = await asyncio.gather(*watched)
        return sorted(at_s for times_s in seen for at_s in times_s), results


class TrialTest(unittest.IsolatedAsyncioTestCase):
    """Trials of an entry that came to nothing."""

    async def test_a_caller_that_leaves_while_the_others_are_told(self) -> None:
        """Its claim stood for a minute, and nobody tried the request."""
        suspects = EntrySuspects(EntryId("e1"))
        claim = asyncio.create_task(suspects.claim(KNOWN, ReplicaId("r"), 60.0))
        await asyncio.sleep(0)
        self.assertTrue(suspects.book.is_probing(KNOWN))
        claim.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await claim
        self.assertFalse(suspects.book.is_probing(KNOWN))

    def test_an_entry_that_tells_nothing_tries_nothing(self) -> None:
        """A trial that showed nothing was held against the request for a minute."""
        state = EntryState(load_json(FLEET_JSON, FleetSettings), "entry-1")
        other = EntryId("entry-2")
        trial = Probe(KNOWN, EndpointId("r"), 60.0)
        heartbeat = PeerNews(other, "b", 1, False, {}, Findings(other, probes=(trial,)))
        state._heard(heartbeat)
        now_s = time.monotonic()
        self.assertEqual(state.suspects.book.probed_endpoints(now_s), {"r"})
        state._heard(attrs.evolve(heartbeat, seq=2, findings=None))
        self.assertEqual(state.suspects.book.probed_endpoints(now_s), set())
        state.link.close()


def _watch(address: str) -> list[float]:
    """When the replica at ``address`` was seen to have started again."""
    starts, times_s = 1, []
    ends_s = time.monotonic() + LASTS_S + 1.0
    while time.monotonic() < ends_s:
        try:
            now = get_json(address, "/_stats")["starts"]
        except (OSError, json.JSONDecodeError):
            now = starts
        times_s += [time.monotonic()] * (now - starts)
        starts = now
        time.sleep(POLL_S)
    return times_s
