"""Quarantine of requests by the endpoint crashes during which they ran."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from celerytrack.findings import Crash, Evidence, Findings, Probe
from celerytrack.fingerprint import (
    MAX_PART_CHARS,
    MAX_PARTS,
    Fingerprint,
    FingerprintPrefix,
    fingerprint_of,
    part_fingerprint,
    part_fingerprints,
    prefix_in,
)
from celerytrack.gateway.crash_detector import CrashedEndpoint, Interrupted
from celerytrack.ids import EndpointId, EntryId, PartId, ServiceName, Zone
from celerytrack.platform.suspect_records import (
    FindingsError,
    decode_findings,
    encode_findings,
)
from celerytrack.routing.endpoint import Endpoint, Registration
from celerytrack.sound_parts import SOUND_S
from celerytrack.suspects import (
    MAX_PUBLISHED,
    MAX_SUSPECTS,
    QUARANTINE_PERIODS_S,
    SUSPECT_TTL_S,
    SuspectState,
    SuspectTracker,
)

ME = EntryId("e0")
OTHER = EntryId("e1")
PREFIX = FingerprintPrefix(b"place!")
BAD = fingerprint_of(PREFIX, b"bad")
GOOD = fingerprint_of(PREFIX, b"good")
S = ServiceName("s")
V1 = "s v1"
V2 = "s v2"


def _crash(number: int, build: str = V1) -> Crash:
    return Crash(EndpointId(f"i-{number}"), 0, build)


def _tracker(
    crashes: int, fingerprint: Fingerprint = BAD, at_s: float = 0.0
) -> SuspectTracker:
    tracker = SuspectTracker(ME)
    for number in range(crashes):
        tracker.record_crash(_crash(number), [fingerprint], at_s)
    return tracker


class StateTest(unittest.TestCase):
    @params(
        (0, SuspectState.CLEAR),
        (1, SuspectState.WATCHED),
        (2, SuspectState.PROBE_ONLY),
        (3, SuspectState.QUARANTINED),
        (6, SuspectState.QUARANTINED),
    )
    def test_the_state_follows_the_number_of_crashes(
        self, crashes: int, state: SuspectState
    ) -> None:
        self.assertEqual(_tracker(crashes).state_of(BAD, {V1}, 1.0), state)

    def test_a_crash_reported_by_several_entries_counts_once(self) -> None:
        tracker = _tracker(1)
        for entry in "abc":
            found = (Evidence(BAD, _crash(0)),)
            tracker.merge(Findings(EntryId(entry), found), False, 1.0)
        self.assertEqual(tracker.state_of(BAD, {V1}, 1.0), SuspectState.WATCHED)

    def test_crashes_of_restarts_under_one_id_all_count(self) -> None:
        tracker = SuspectTracker(ME)
        for born_ms in (1, 2, 3):
            crash = Crash(EndpointId("i-0"), born_ms, V1)
            tracker.record_crash(crash, [BAD], 0.0)
        self.assertEqual(tracker.state_of(BAD, {V1}, 1.0), SuspectState.QUARANTINED)

    def test_evidence_of_several_entries_adds_up(self) -> None:
        """Many entries that each sent the request once crashed more endpoints than the
        limit allows."""
        tracker = SuspectTracker(ME)
        for number in range(3):
            found = (Evidence(BAD, _crash(number)),)
            tracker.merge(Findings(EntryId(f"x{number}"), found), False, 0.0)
        self.assertEqual(tracker.state_of(BAD, {V1}, 1.0), SuspectState.QUARANTINED)

    def test_two_crashing_requests_are_quarantined_and_a_successful_one_is_not(
        self,
    ) -> None:
        """A harmless request that ran beside two crashing ones was suspected too."""
        tracker = SuspectTracker(ME)
        worse = fingerprint_of(PREFIX, b"worse")
        for number in range(3):
            tracker.record_crash(_crash(number), [BAD, worse, GOOD], 0.0)
            tracker.record_success(GOOD, 0.1)
        for fingerprint in (BAD, worse):
            self.assertEqual(
                tracker.state_of(fingerprint, {V1}, 1.0), SuspectState.QUARANTINED
            )
        self.assertEqual(tracker.state_of(GOOD, {V1}, 1.0), SuspectState.CLEAR)

    def test_cleared_evidence_stays_cleared_when_it_is_reported_again(self) -> None:
        tracker = _tracker(2)
        tracker.record_success(BAD, 1.0)
        found = tuple(Evidence(BAD, _crash(n)) for n in range(2))
        tracker.merge(Findings(OTHER, found), True, 2.0)
        self.assertEqual(tracker.state_of(BAD, {V1}, 2.0), SuspectState.CLEAR)


SERVICE = ServiceName("s")
GUILTY, BESIDE, COMMON = (part_fingerprint(SERVICE, PartId(f"m/{n}")) for n in "gbc")


def _request(number: int, *parts: Fingerprint) -> list[Fingerprint]:
    """The features of a request that is like no other."""
    return [*parts, fingerprint_of(PREFIX, b"request %d" % number)]


def _crash_under(tracker: SuspectTracker, *parts: Fingerprint) -> None:
    """Three endpoints crash under different requests with the same parts."""
    for number in range(3):
        tracker.record_crash(_crash(number), _request(number, *parts), 0.0)


class CrashedEndpointTest(unittest.TestCase):
    def test_the_log_line_shows_the_begin_of_long_part_names(self) -> None:
        """Callers choose them, and a crash wrote a line of tens of kilobytes."""
        registration = Registration(EndpointId("i"), S, "h:1", Zone("z"), 8, False)
        requests = frozenset(
            Interrupted(BAD, (PartId("m/" + letter * 8_000), PartId("m/short")))
            for letter in "abcdefgh"
        )
        crashed = CrashedEndpoint(Endpoint(registration), requests)
        parts = crashed.most_shared_parts()
        self.assertEqual(parts["m/short"], 8)
        self.assertEqual(max(map(len, parts)), MAX_PART_CHARS)


class PartTest(unittest.TestCase):
    def _state(
        self, tracker: SuspectTracker, *parts: Fingerprint, at_s: float = 1.0
    ) -> SuspectState:
        return tracker.state_of_request(_request(99, *parts), {V1}, at_s)

    @params(
        (0, SuspectState.CLEAR),
        (1, SuspectState.WATCHED),
        (2, SuspectState.PROBE_ONLY),
        (3, SuspectState.QUARANTINED),
    )
    def test_the_state_follows_the_crashes_under_a_part(
        self, crashes: int, state: SuspectState
    ) -> None:
        """No two requests were alike, and each endpoint that got one crashed."""
        tracker = SuspectTracker(ME)
        for number in range(crashes):
            tracker.record_crash(_crash(number), _request(number, GUILTY), 0.0)
        self.assertEqual(self._state(tracker, GUILTY), state)
        self.assertEqual(self._state(tracker, COMMON), SuspectState.CLEAR)

    @params((V1, SuspectState.CLEAR), (V2, SuspectState.QUARANTINED))
    def test_a_part_that_is_answered_is_no_suspect(
        self, build: str, state: SuspectState
    ) -> None:
        """A system prompt was held back with the part beside it, or a part stayed free
        that a new build does not bear."""
        tracker = SuspectTracker(ME)
        tracker.sound_parts.record([COMMON], build, 0.0)
        _crash_under(tracker, COMMON)
        self.assertEqual(self._state(tracker, COMMON, BESIDE), state)

    def test_a_part_that_is_answered_here_is_not_held_back_by_others(self) -> None:
        """An entry that had just started named a system prompt, and all refused it."""
        tracker = SuspectTracker(ME)
        tracker.sound_parts.record([COMMON], V1, 0.0)
        found = tuple(Evidence(COMMON, _crash(n)) for n in range(3))
        findings = Findings(OTHER, found)
        tracker.merge(findings, False, 1.0)
        self.assertEqual(self._state(tracker, COMMON), SuspectState.CLEAR)
        other = SuspectTracker(OTHER)
        other.record_crash(_crash(0), [COMMON], 0.0)
        other.record_crash(_crash(1), [COMMON], 0.0)
        self.assertTrue(tracker.has_sound_suspects(findings, 1.0))
        other.merge(tracker.clear_sound(1.1), False, 1.1)
        self.assertEqual(self._state(other, COMMON), SuspectState.CLEAR)
        self.assertFalse(tracker.has_sound_suspects(findings, 1.2))

    def test_an_answer_long_ago_shows_nothing(self) -> None:
        """A part that had been sound for a day went on crashing endpoints."""
        tracker = SuspectTracker(ME)
        tracker.sound_parts.record([GUILTY], V1, -SOUND_S)
        _crash_under(tracker, GUILTY)
        self.assertEqual(self._state(tracker, GUILTY), SuspectState.QUARANTINED)

    def test_a_part_that_stood_beside_a_guilty_one_may_be_probed_alone(self) -> None:
        """A sound part that was only seen beside a guilty one was held back alone."""
        tracker = SuspectTracker(ME)
        _crash_under(tracker, GUILTY, BESIDE)
        both = self._state(tracker, GUILTY, BESIDE)
        self.assertEqual(both, SuspectState.QUARANTINED)
        self.assertEqual(self._state(tracker, BESIDE), SuspectState.PROBE_ONLY)
        tracker.record_successes(_request(9, BESIDE), 2.0)
        self.assertEqual(self._state(tracker, BESIDE), SuspectState.CLEAR)
        self.assertEqual(self._state(tracker, GUILTY), SuspectState.QUARANTINED)

    def test_a_part_that_crashes_alone_is_probed_so_once(self) -> None:
        """Each request with a guilty part was a probe of another pair."""
        tracker = SuspectTracker(ME)
        _crash_under(tracker, GUILTY, BESIDE)
        tracker.record_crash(_crash(3), _request(3, GUILTY), 0.0)
        self.assertEqual(self._state(tracker, GUILTY), SuspectState.QUARANTINED)

    def test_a_part_beside_several_guilty_ones_may_be_probed_alone(self) -> None:
        """A system prompt that only stood beside two guilty parts was held back."""
        tracker = SuspectTracker(ME)
        for number in range(6):
            guilty = (GUILTY, BESIDE)[number % 2]
            features = _request(number, COMMON, guilty)
            tracker.record_crash(_crash(number), features, 0.0)
        self.assertEqual(self._state(tracker, COMMON), SuspectState.PROBE_ONLY)
        both = self._state(tracker, COMMON, GUILTY)
        self.assertEqual(both, SuspectState.QUARANTINED)

    def test_a_probe_claims_all_suspected_parts(self) -> None:
        """Two requests with the same guilty part and others beside it were probed at
        once."""
        tracker = SuspectTracker(ME)
        for number in range(2):
            features = _request(number, GUILTY, BESIDE, COMMON)
            tracker.record_crash(_crash(number), features, 0.0)
        first = tracker.to_probe(_request(8, GUILTY, BESIDE))
        self.assertEqual(set(first), {GUILTY, BESIDE})
        probes = [Probe(f, EndpointId("i-8"), 5.0) for f in first]
        self.assertIsNotNone(tracker.begin_probes(probes, 1.0))
        second = tracker.to_probe(_request(9, COMMON, GUILTY))
        probes = [Probe(f, EndpointId("i-9"), 5.0) for f in second]
        self.assertIsNone(tracker.begin_probes(probes, 1.1))
        self.assertFalse(tracker.is_probing([COMMON]))

    def test_a_flood_of_parts_does_not_free_a_guilty_one(self) -> None:
        """An account that named thousands of parts had the evidence evicted."""
        tracker = SuspectTracker(ME)
        _crash_under(tracker, GUILTY)
        for number in range(2 * MAX_SUSPECTS // MAX_PARTS):
            names = (PartId(f"m/{number}/{n}") for n in range(10 * MAX_PARTS))
            parts = part_fingerprints(SERVICE, names)
            tracker.record_crash(_crash(10 + number), parts, 1.0 + number)
        self.assertLessEqual(len(tracker), MAX_SUSPECTS)
        self.assertEqual(self._state(tracker, GUILTY), SuspectState.QUARANTINED)

    def test_many_parts_are_told_in_several_messages(self) -> None:
        """One crash under long lists of parts made a message that none could read."""
        names = [PartId(f"m/{n}") for n in range(2_500)]
        evidence = tuple(
            Evidence(part_fingerprint(SERVICE, name), _crash(0)) for name in names
        )
        parts = list(Findings(OTHER, evidence).split(100))
        self.assertEqual([len(part.evidence) for part in parts], [100] * 25)
        decoded = [decode_findings(encode_findings(part)) for part in parts]
        told = [e for found in decoded for e in found.evidence]
        self.assertEqual(tuple(told), evidence)
        self.assertEqual(list(Findings(OTHER).split(100)), [])

    def test_names_of_any_bytes_are_told_apart(self) -> None:
        """A name that is no text ended the request, or the entry."""
        names = ["m/", "m/\udcff", "m//", "m/" + "x" * 10_000]
        found = part_fingerprints(SERVICE, [PartId(name) for name in names])
        self.assertEqual(len(set(found)), len(names))
        other = part_fingerprint(ServiceName("other"), PartId("m/"))
        self.assertNotIn(other, found)


class QuarantineEndTest(unittest.TestCase):
    @params(
        (3, QUARANTINE_PERIODS_S[0]),
        (4, QUARANTINE_PERIODS_S[1]),
        (5, QUARANTINE_PERIODS_S[2]),
    )
    def test_each_further_crash_extends_the_quarantine(
        self, crashes: int, lasts_s: float
    ) -> None:
        tracker = _tracker(crashes)
        self.assertEqual(tracker.retry_after_s(BAD, 0.0), lasts_s)
        early = tracker.state_of(BAD, {V1}, lasts_s - 0.1)
        self.assertEqual(early, SuspectState.QUARANTINED)
        self.assertEqual(tracker.state_of(BAD, {V1}, lasts_s), SuspectState.PROBE_ONLY)

    def test_after_three_probes_only_an_operator_ends_the_quarantine(self) -> None:
        """Probes of a request that is known to crash endpoints went on for ever."""
        tracker = _tracker(6)
        self.assertIsNone(tracker.retry_after_s(BAD, 1e9))
        self.assertEqual(tracker.state_of(BAD, {V1}, 1e9), SuspectState.QUARANTINED)
        self.assertEqual(tracker.state_of(BAD, {V2}, 1e9), SuspectState.QUARANTINED)
        tracker.record_success(BAD, 1e9)
        self.assertEqual(tracker.state_of(BAD, {V1}, 1e9), SuspectState.CLEAR)

    @params(
        ({V2}, SuspectState.PROBE_ONLY),
        ({V1, V2}, SuspectState.QUARANTINED),
        (set(), SuspectState.QUARANTINED),
    )
    def test_a_probe_is_allowed_once_all_builds_differ(
        self, builds: set[str], state: SuspectState
    ) -> None:
        self.assertEqual(_tracker(3).state_of(BAD, builds, 1.0), state)

    def test_a_crash_of_another_build_quarantines_again(self) -> None:
        tracker = _tracker(3)
        tracker.record_crash(_crash(9, V2), [BAD], 1.0)
        self.assertEqual(tracker.state_of(BAD, {V2}, 2.0), SuspectState.QUARANTINED)


class ProbeTest(unittest.TestCase):
    def _probe(self, lasts_s: float = 5.0) -> Probe:
        return Probe(BAD, EndpointId("i-9"), lasts_s)

    def test_one_entry_at_a_time_probes_a_request(self) -> None:
        tracker = _tracker(2)
        self.assertIsNotNone(tracker.begin_probes([self._probe()], 0.0))
        self.assertIsNone(tracker.begin_probes([self._probe()], 1.0))
        tracker.cancel_probes([BAD])
        self.assertIsNotNone(tracker.begin_probes([self._probe()], 2.0))

    def test_a_probe_of_an_entry_that_is_gone_expires(self) -> None:
        tracker = _tracker(2)
        tracker.merge(Findings(OTHER, probes=(self._probe(),)), False, 0.0)
        self.assertIsNone(tracker.begin_probes([self._probe()], 4.9))
        self.assertIsNotNone(tracker.begin_probes([self._probe()], 5.0))

    @params((EntryId("a"), False), (EntryId("z"), True))
    def test_of_two_concurrent_probes_the_lower_entry_id_wins(
        self, other: EntryId, wins: bool
    ) -> None:
        tracker = _tracker(2)
        tracker.begin_probes([self._probe()], 0.0)
        tracker.merge(Findings(other, probes=(self._probe(),)), False, 0.001)
        self.assertEqual(tracker.is_probing([BAD]), wins)

    @params(
        (
            "its endpoint crashed",
            lambda t: t.record_crash(Crash(EndpointId("i-9")), [BAD], 1),
        ),
        ("the request succeeded", lambda t: t.record_success(BAD, 1.0)),
        ("its record no longer lists it", lambda t: t.merge(Findings(ME), True, 1.0)),
    )
    def test_a_probe_is_over_when(self, _: str, act: object) -> None:
        tracker = _tracker(2)
        tracker.begin_probes([self._probe()], 0.0)
        act(tracker)  # type: ignore[operator]
        self.assertFalse(tracker.is_probing([BAD]))
        self.assertEqual(tracker.probed_endpoints(1.0), set())


class ExpiryTest(unittest.TestCase):
    def test_a_suspect_expires_and_a_quarantined_request_does_not(
        self,
    ) -> None:
        tracker = _tracker(3)
        tracker.record_crash(_crash(0), [GOOD], 0.0)
        tracker.expire(SUSPECT_TTL_S + 1)
        self.assertEqual(len(tracker), 1)
        self.assertTrue(tracker.has_prefix(prefix_in(BAD)))

    def test_probes_of_entries_that_are_gone_are_removed(self) -> None:
        """Probes that were never ended stayed in memory and were scanned for each
        request."""
        tracker = _tracker(2)
        probes = tuple(
            Probe(fingerprint_of(PREFIX, b"%d" % n), EndpointId("i-9"), 5.0)
            for n in range(100)
        )
        tracker.merge(Findings(OTHER, probes=probes), False, 0.0)
        tracker.expire(4.0)
        self.assertEqual(len(tracker._probes), 100)
        tracker.expire(6.0)
        self.assertEqual(len(tracker._probes), 0)

    def test_eviction_keeps_the_requests_with_most_crashes(self) -> None:
        tracker = _tracker(3)
        many = [
            fingerprint_of(FingerprintPrefix(b"other!"), b"%d" % n)
            for n in range(MAX_SUSPECTS)
        ]
        tracker.record_crash(_crash(7), many, 1.0)
        self.assertLessEqual(len(tracker), MAX_SUSPECTS)
        self.assertEqual(tracker.state_of(BAD, {V1}, 1.0), SuspectState.QUARANTINED)
        record = tracker.own_findings(1.0)
        self.assertEqual(len(record.evidence), MAX_PUBLISHED)
        self.assertIn(BAD, {evidence.fingerprint for evidence in record.evidence})

    def test_findings_survive_a_restart_of_the_entry(self) -> None:
        previous = _tracker(3)
        tracker = SuspectTracker(ME)
        tracker.restore_own(previous.own_findings(1.0), 0.0)
        self.assertEqual(tracker.state_of(BAD, {V1}, 1.0), SuspectState.QUARANTINED)
        self.assertEqual(tracker.own_findings(1.0), previous.own_findings(1.0))

    def test_clearing_a_single_crash_is_not_reported(self) -> None:
        tracker = _tracker(1)
        self.assertTrue(tracker.record_success(BAD, 1.0).is_empty)
        self.assertTrue(tracker.own_findings(1.0).is_empty)


_EVIDENCE = st.tuples(st.sampled_from((BAD, GOOD)), st.integers(0, 4))


class OrderTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(
        evidence=st.lists(_EVIDENCE, max_size=12),
        cleared=st.lists(_EVIDENCE, max_size=4),
        seed=st.integers(0, 1_000),
    )
    def test_the_state_does_not_depend_on_the_order_of_findings(
        self,
        evidence: list[tuple[Fingerprint, int]],
        cleared: list[tuple[Fingerprint, int]],
        seed: int,
    ) -> None:
        """Peer messages that arrive late or twice must not change the state."""
        sent = [
            Findings(OTHER, evidence=(Evidence(f, _crash(n)),)) for f, n in evidence
        ]
        sent += [Findings(OTHER, cleared=(Evidence(f, _crash(n)),)) for f, n in cleared]
        shuffled = [*sent, *sent[::2]]
        random.Random(seed).shuffle(shuffled)
        trackers = (SuspectTracker(ME), SuspectTracker(ME))
        for tracker, findings in zip(trackers, (sent, shuffled), strict=True):
            for one in findings:
                tracker.merge(one, False, 0.0)
        for fingerprint in (BAD, GOOD):
            states = {tracker.state_of(fingerprint, {V1}, 1.0) for tracker in trackers}
            self.assertEqual(len(states), 1)


class CodecTest(unittest.TestCase):
    def test_findings_survive_encoding(self) -> None:
        findings = Findings(
            ME,
            (Evidence(BAD, _crash(1)),),
            (Evidence(GOOD, Crash(EndpointId("i-2"), 7, V2)),),
            (Probe(BAD, EndpointId("i-3"), 2.5),),
            (1_700_000_000,),
        )
        self.assertEqual(decode_findings(encode_findings(findings)), findings)

    @params(
        b"",
        b"\xc1",
        b"\x01",
        b"\x95\xa8suspects\xa1e\x90\x90",
        b"\x95\xa8suspects\xa1e\x91\x01\x90\x90",
        b"\x95\xa8suspects\xa1e\x91\x95\xc4\x01x\xa1i\x00\xa1b\x00\x90\x90",
        b"\x95\xa8suspects\xa1e\x90\x90\x91\x93\xc4\x10" + 16 * b"x" + b"\xa1i\xff",
    )
    def test_malformed_bytes_are_rejected(self, raw: bytes) -> None:
        with self.assertRaises(FindingsError):
            decode_findings(raw)

    @settings(max_examples=200, deadline=None)
    @given(raw=st.binary(max_size=80))
    def test_arbitrary_bytes_raise_only_findings_errors(self, raw: bytes) -> None:
        for data in (raw, b"\x95\xa8suspects\xa1e" + raw):
            try:
                decode_findings(data)
            except FindingsError:
                continue
