"""Quarantine of requests that crash replicas, for the product's own interface."""

import asyncio
import json
import time
import types
import unittest

import attrs
from nose2.tools import params

from celerytrack.entry.peers import Heartbeat
from celerytrack.entry.state import EntryState
from celerytrack.entry.suspects import EntrySuspects
from celerytrack.findings import Crash, Findings, Probe
from celerytrack.fingerprint import Fingerprint
from celerytrack.ids import EndpointId, EntryId, ReplicaId
from celerytrack.load.mix import MIXES
from celerytrack.load.runner import REPEATED, Plan, run_plan
from celerytrack.settings import FleetSettings, load_json
from celerytrack.suspects import CRASHES_TO_PROBE
from tests.fleet import ROOT, Fleet, get_json

KNOWN = Fingerprint(b"r" * 16)
FLEET_JSON = ROOT / "examples" / "haddad" / "fleet.json"
MARKER = "ends what reads it"
DETECTED_WITHIN_S = 3.0
"""Time from the third crash until all entries must have quarantined the request."""
MAX_LATER_CRASHES = 3
"""Crashes that the request may cause after that."""
DURATION_S = 10.0
POLL_S = 0.1


class OwnCrashingTest(unittest.TestCase):
    @params(False, True)
    def test_a_crashing_request_crashes_few_replicas(self, by_part: bool) -> None:
        """Guards against one request that is repeated at any entry, or a message that
        many requests have, and that crashes one replica after another."""
        args = ("--marker", MARKER, "--back-s", "1.0")
        with Fleet("haddad", entries=4, engine_args=args) as fleet:
            crashes_s, results = asyncio.run(self._run_load(fleet, by_part))
        repeated = [r for r in results if r.work_class == REPEATED]
        self.assertGreater(len(repeated), 10)
        self.assertGreaterEqual(len(crashes_s), 3, "fewer than 3 replicas crashed")
        late = [at_s for at_s in crashes_s if at_s > crashes_s[2] + DETECTED_WITHIN_S]
        self.assertLessEqual(len(late), MAX_LATER_CRASHES, crashes_s)
        harmless = [r for r in results if r.work_class != REPEATED]
        self.assertNotIn("quarantined", {r.reason for r in harmless})

    async def _run_load(self, fleet: Fleet, by_part: bool) -> tuple[list[float], list]:
        keys = {a.account_id: a.key for a in fleet.config.accounts}
        entries = [e.address for e in fleet.entry_specs]
        plan = Plan(20.0, DURATION_S, 500, 1, 3.0, MARKER, by_part)
        engines = [r for r in fleet.fleet.replicas if r.kind.value == "engine"]
        watched = [
            asyncio.create_task(asyncio.to_thread(_watch, r.address)) for r in engines
        ]
        results = await run_plan(plan, MIXES["haddad"], entries, keys)
        seen = await asyncio.gather(*watched)
        return sorted(at_s for times_s in seen for at_s in times_s), results


class ProbeTest(unittest.IsolatedAsyncioTestCase):
    """Half-open probes that end without a result."""

    async def test_a_caller_that_disconnects_during_the_claim_releases_it(self) -> None:
        """Guards against a claim that stays for a minute, in which no entry can try the
        request, after the caller disconnected while the claim was being propagated."""
        suspects = EntrySuspects(EntryId("e1"))
        for number in range(CRASHES_TO_PROBE):
            crash = Crash(EndpointId("r"), number)
            suspects.tracker.record_crash(crash, [KNOWN], 0.0)
        request = types.SimpleNamespace(fingerprint=KNOWN, part_fingerprints=())
        claim = asyncio.create_task(suspects.begin_probe(request, ReplicaId("r"), 60.0))
        await asyncio.sleep(0)
        self.assertTrue(suspects.tracker.is_probing([KNOWN]))
        claim.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await claim
        self.assertFalse(suspects.tracker.is_probing([KNOWN]))

    def test_a_heartbeat_without_findings_ends_the_probes_of_its_entry(self) -> None:
        """Guards against a probe without a result that blocks the request for a
        minute."""
        state = EntryState(load_json(FLEET_JSON, FleetSettings), "entry-1")
        peer = EntryId("entry-2")
        probe = Probe(KNOWN, EndpointId("r"), 60.0)
        heartbeat = Heartbeat(peer, "b", 1, False, {}, Findings(peer, probes=(probe,)))
        state._apply_heartbeat(heartbeat)
        now_s = time.monotonic()
        self.assertEqual(state.suspects.tracker.probed_endpoints(now_s), {"r"})
        state._apply_heartbeat(attrs.evolve(heartbeat, seq=2, findings=None))
        self.assertEqual(state.suspects.tracker.probed_endpoints(now_s), set())
        state.link.close()


def _watch(address: str) -> list[float]:
    """The times at which the replica at ``address`` was seen to have restarted."""
    starts, times_s = 1, []
    until_s = time.monotonic() + DURATION_S + 1.0
    while time.monotonic() < until_s:
        try:
            reported = get_json(address, "/_stats")["starts"]
        except (OSError, json.JSONDecodeError):
            reported = starts
        times_s += [time.monotonic()] * (reported - starts)
        starts = reported
        time.sleep(POLL_S)
    return times_s
