"""Versions that come back after all entries, or some, have forgotten them."""

import random
import unittest

from nose2.tools import params

from celerytrack.ids import EndpointId, ServiceName, Zone
from celerytrack.origins.memory import KEEP_S
from celerytrack.routing.endpoint import Registration, RequestProfile
from celerytrack.routing.endpoints import EndpointPool

S = ServiceName("s")
Z = Zone("z")
OLD, NEW = "v1", "v2"
N = EndpointId("new")
BEGINS = RequestProfile(S, resumable=True)


def _register(pool: EndpointPool, name: str, version: str, now_s: float) -> None:
    endpoint_id = EndpointId(name)
    pool.register(
        Registration(endpoint_id, S, f"{name}:1", Z, 8, False, version=version), now_s
    )


def _pool_that_lost_new(left_s: float, gone_s: float) -> EndpointPool:
    pool = EndpointPool(Z, random.Random(1))
    _register(pool, "old", OLD, 0.0)
    _register(pool, N, NEW, 10.0)
    pool.known_at_s = left_s - 0.5
    for now_s in (10.5, 12.0, left_s - 0.1):
        pool.choose(BEGINS, 1.0, 100, (), now_s)
        pool.versions(S, now_s)
    pool.mark_deregistered(N, left_s)
    pool.evict_deregistered(gone_s)
    return pool


class ComesBackTest(unittest.TestCase):
    @params(0.5, 5.0)
    def test_a_version_that_some_have_forgotten_is_new(self, later_s: float) -> None:
        """A version came back as one entry had forgotten it and another had not yet:
        streams began there at once, and the first took the old one for the only one."""
        gone_s = 40.0
        other = _pool_that_lost_new(20.0, gone_s)
        pool = _pool_that_lost_new(20.0, gone_s + later_s)
        back_s = gone_s + KEEP_S + 0.3
        for now_s in (back_s - 5.0, back_s):
            pool.versions(S, now_s)
        _register(pool, N, NEW, back_s)
        # The other one reads 0.6 s later; its view is of just before.
        self.assertEqual(other.versions(S, back_s + 0.1), {OLD})
        chosen = set()
        for _ in range(20):
            choice = pool.choose(BEGINS, 1.0, 100, (), back_s + 0.1)
            if choice is not None:
                chosen.add(choice.endpoint.registration.version)
        self.assertEqual(chosen, {OLD})
