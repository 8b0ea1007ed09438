"""Versions of services: room for the streams of one that shrinks, and shared routes."""

import json
import random
import unittest

from nose2.tools import params

from celerytrack.ids import EndpointId, ServiceName, Zone
from celerytrack.origins.memory import KEEP_S
from celerytrack.origins.origin import StreamOrigin
from celerytrack.platform.config import decode_config
from celerytrack.routing.endpoint import Registration, RequestProfile
from celerytrack.routing.endpoints import EndpointPool
from celerytrack.routing.routes import (
    RoutingTable,
    moved_services,
    shared_services,
)
from celerytrack.routing.versions import ESTABLISHED_AFTER_S

S = ServiceName("s")
Z = Zone("z")
OLD, NEW = "v1", "v2"
NEW_WORK = RequestProfile(S)


def _register(pool: EndpointPool, name: str, version: str, now_s: float) -> None:
    endpoint_id = EndpointId(name)
    registration = Registration(
        endpoint_id, S, f"{name}:1", Z, 8, False, version=version
    )
    pool.register(registration, now_s)


def _pool_that_shrank(before: int, after: int, new: int) -> EndpointPool:
    """Endpoints of the old version, of which some have left, beside new ones."""
    pool = EndpointPool(Z, random.Random(1))
    for number in range(before):
        _register(pool, f"old-{number}", OLD, 0.0)
    for number in range(new):
        _register(pool, f"new-{number}", NEW, 0.0)
    _chosen_versions(pool, 0.0)
    for number in range(after, before):
        pool.deregister_now(EndpointId(f"old-{number}"), 1.0)
    return pool


def _chosen_versions(
    pool: EndpointPool,
    now_s: float,
    avoid: tuple[EndpointId, ...] = (),
    profile: RequestProfile = NEW_WORK,
) -> set[str]:
    versions = set()
    for _ in range(40):
        choice = pool.choose(profile, 1.0, 100, avoid, now_s)
        if choice is not None:
            versions.add(choice.endpoint.registration.version)
    return versions


BEGINS = RequestProfile(S, resumable=True)
GOES_ON = RequestProfile(S, (), StreamOrigin(S, NEW), resumable=True)
JOINED_S = 100.0
EARLY_S = JOINED_S + ESTABLISHED_AFTER_S - 0.01
LATE_S = JOINED_S + ESTABLISHED_AFTER_S + 0.01


class NewVersionTest(unittest.TestCase):
    @params(
        (BEGINS, EARLY_S, {OLD}),
        (BEGINS, LATE_S, {OLD, NEW}),
        (NEW_WORK, JOINED_S, {OLD, NEW}),
        (GOES_ON, JOINED_S, {NEW}),
    )
    def test_streams_begin_only_at_versions_that_all_entries_know(
        self, profile: RequestProfile, now_s: float, versions: set[str]
    ) -> None:
        """A stream began at a version that other entries had not read, and these took
        the only one that they knew for the one that began it."""
        pool = EndpointPool(Z, random.Random(1))
        _register(pool, "old", OLD, 0.0)
        _register(pool, "new", NEW, JOINED_S)
        self.assertEqual(_chosen_versions(pool, now_s, profile=profile), versions)

    @params((EARLY_S - JOINED_S, True), (LATE_S - JOINED_S, False))
    def test_a_version_that_left_before_all_knew_it_is_new_again(
        self, left_after_s: float, is_new: bool
    ) -> None:
        """The time without the version counted as time in which entries read it."""
        pool = EndpointPool(Z, random.Random(1))
        _register(pool, "old", OLD, 0.0)
        _register(pool, "new", NEW, JOINED_S)
        pool.mark_deregistered(EndpointId("new"), JOINED_S + left_after_s)
        back_s = JOINED_S + 10.0
        _register(pool, "new", NEW, back_s)
        versions = _chosen_versions(pool, back_s, profile=BEGINS)
        self.assertEqual(NEW not in versions, is_new)

    def test_streams_begin_at_the_only_version_at_once(self) -> None:
        """Entries that start turned away what could go nowhere else."""
        pool = EndpointPool(Z, random.Random(1))
        _register(pool, "new", NEW, JOINED_S)
        self.assertEqual(_chosen_versions(pool, JOINED_S, profile=BEGINS), {NEW})


def _table(*routes: tuple[str, ...]) -> RoutingTable:
    document = {
        "version": 1,
        "routes": [
            {
                "name": name,
                "host": "h",
                "pathPrefix": f"/{name}/",
                "kind": "stream",
                "trafficSplit": [{"service": s, "weight": 1.0} for s in services],
            }
            for name, *services in routes
        ],
    }
    return decode_config(json.dumps(document).encode())


class RoomTest(unittest.TestCase):
    def test_new_work_keeps_off_a_version_that_shrinks(self) -> None:
        """The last endpoints of a version were full of work that could go anywhere."""
        pool = _pool_that_shrank(6, 2, 6)
        self.assertEqual(_chosen_versions(pool, 2.0), {NEW})
        origin = RequestProfile(S, (), StreamOrigin(S, OLD))
        self.assertEqual(_chosen_versions(pool, 2.0, profile=origin), {OLD})

    def test_work_turned_away_elsewhere_may_use_the_room(self) -> None:
        """Room that was kept lay idle while the other version was full."""
        pool = _pool_that_shrank(6, 2, 1)
        tried = (EndpointId("new-0"),)
        self.assertEqual(_chosen_versions(pool, 2.0, tried), {OLD})

    def test_a_version_that_grows_or_stays_gets_new_work(self) -> None:
        """The first endpoints of a new version got none."""
        pool = _pool_that_shrank(6, 6, 1)
        self.assertEqual(_chosen_versions(pool, 2.0), {OLD, NEW})

    def test_the_room_is_kept_for_a_while_only(self) -> None:
        """A version that shrank long ago got no new work any more."""
        pool = _pool_that_shrank(6, 2, 6)
        _chosen_versions(pool, 2.0)
        self.assertEqual(_chosen_versions(pool, 2.0 + KEEP_S), {OLD, NEW})

    def test_one_version_shrinks_without_notice(self) -> None:
        """A service with one version refused new work as endpoints left."""
        pool = _pool_that_shrank(6, 2, 0)
        self.assertEqual(_chosen_versions(pool, 2.0), {OLD})


class SharedServiceTest(unittest.TestCase):
    def test_a_service_whose_route_moved_is_shared_for_a_while(self) -> None:
        """A stream that began before its route moved went on at the other service."""
        pool = _pool_that_shrank(2, 2, 0)
        pool.set_shared_services({S}, 1.0)
        pool.set_shared_services((), 1.0)
        self.assertTrue(pool.has_versions(S, 1.0 + KEEP_S / 2))
        self.assertFalse(pool.has_versions(S, 1.0 + KEEP_S))

    def test_routes_that_move_or_split_are_found(self) -> None:
        """A change of a route's services went by without notice."""
        before, split = _table(("a", "s"), ("b", "s3")), _table(("a", "s", "s2"))
        moved = _table(("a", "s2"), ("b", "s3"))
        self.assertEqual(shared_services(before), set())
        self.assertEqual(shared_services(split), {"s", "s2"})
        self.assertEqual(moved_services(before, moved), {"s", "s2"})
        self.assertEqual(moved_services(before, before), set())
