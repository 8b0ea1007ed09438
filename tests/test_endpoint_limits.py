"""Endpoints that name a rate limit, before a fleet of gateways."""

import asyncio
import random
import time
import unittest
from collections import Counter
from collections.abc import Callable

from aiohttp import web
from nose2.tools import params

from celerytrack.gateway.state import Gateway
from celerytrack.ids import AccountId, EndpointId
from celerytrack.limits.messages import LimitMessage, LimitNews
from celerytrack.limits.sync import BEGAN_REPEAT_S, TICK_S
from celerytrack.notices.owners import SETTLE_S as OWNER_SETTLE_S
from celerytrack.platform.topics import ENDPOINTS_TOPIC
from celerytrack.standins.limits import SETTLE_S, allowed_requests
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet, config
from tests.limited_endpoints import (
    LIMIT_HEADER,
    Callers,
    LimitedEndpoint,
    fleet_of,
    make_endpoints,
)

USED_SHARE = 0.7
"""Least part of a limit that must be used while callers want all of it."""
AT_ONCE_S = 0.15
I_0 = EndpointId("i-0")


def _limit_of(gateway: Gateway, endpoint_id: EndpointId = I_0) -> float | None:
    return gateway.notices.limits.tracker.limit_per_s(endpoint_id)


def _counts(fleet: Fleet) -> Counter[str]:
    return sum((g.notices.limits.asks.counts for g in fleet.gateways), Counter())


def _owner(fleet: Fleet) -> int:
    sync = fleet.gateways[0].notices.limits
    owner = sync.owners.owner(I_0)
    return [gateway.entry_id for gateway in fleet.gateways].index(owner)


async def _settle(fleet: Fleet) -> None:
    """Wait until the membership counts as settled at all gateways."""
    peers = len(fleet.gateways) - 1
    await fleet.wait_until(
        lambda: all(len(g.notices.limits.owners.peers) == peers for g in fleet.gateways)
    )
    for gateway in fleet.gateways:
        gateway.notices.limits.owners.settled_at_s -= OWNER_SETTLE_S


async def _hear(fleet: Fleet, endpoint: LimitedEndpoint, limit: str) -> None:
    """Let gateway 0 hear a limit, and wait until all know it."""
    endpoint.limit = limit
    await fleet.repeat_until(
        lambda: _limit_of(fleet.gateways[0]) is not None,
        lambda: fleet.ask("/plain/x", "hear"),
    )
    await fleet.wait_until(
        lambda: all(_limit_of(g) is not None for g in fleet.gateways), 2.0
    )


class SumTest(unittest.IsolatedAsyncioTestCase):
    """The sum over all entries stays within the limit, and uses it."""

    async def test_all_entries_together_keep_a_named_limit(self) -> None:
        """An endpoint in need was sent as much after it had named its limit."""
        await self._play(12, 3, "1.0", 6, ())

    @params(
        (12, 12, "2.5", 6, ()),
        (12, 3, "2.3", 9, ()),
        (12, 12, "0.5", 9, ()),
        (12, 12, "2.5", 9, (8, 1, 1, 1, 1, 1, 1, 1, 1)),
        (3, 3, "20", 6, ()),
        (6, 6, "0", 3, ()),
    )
    def test_however_many_entries_and_limits(
        self, count: int, limited: int, limit: str, gateways: int, weights: tuple
    ) -> None:
        """Each entry kept the limit alone, or held a share that it did not use."""
        asyncio.run(self._play(count, limited, limit, gateways, weights))

    async def _play(
        self,
        count: int,
        limited: int,
        limit: str,
        gateways: int,
        weights: tuple[float, ...],
    ) -> None:
        endpoints = make_endpoints(count, limited, limit)
        limit_per_s = float(limit)
        async with fleet_of(endpoints, gateways) as fleet:
            await _settle(fleet)
            began_s = time.monotonic()
            callers = Callers(fleet, random.Random(1), weights)
            await callers.play(80.0, 10.0)
            ended_s = time.monotonic()
        for endpoint in endpoints[:limited]:
            worst = endpoint.worst(began_s + SETTLE_S, ended_s)
            self.assertLessEqual(worst, allowed_requests(limit_per_s))
        rates = (e.rate_per_s(began_s + SETTLE_S, ended_s) for e in endpoints[:limited])
        self.assertGreaterEqual(sum(rates), USED_SHARE * limited * limit_per_s)
        self.assertLessEqual(set(callers.by_status), {200, 503})
        if limited < count:
            self.assertEqual(set(callers.by_status), {200})


class KnowledgeTest(unittest.IsolatedAsyncioTestCase):
    """Limits known to all entries, and ended at all."""

    async def test_one_answer_tells_all_entries(self) -> None:
        """Each entry had to hear the limit itself, in an answer to one more request."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 6) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoint, "2.5")
            self.assertEqual(len(endpoint.arrivals_s), 1)

    async def test_an_entry_that_starts_is_told(self) -> None:
        """A restarted entry sent freely until it had heard the limit itself."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 2) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoint, "2.5")
            await fleet.add_gateway()
            await fleet.wait_until(lambda: _limit_of(fleet.gateways[2]) == 2.5, 3.0)

    async def test_without_peer_messages_nothing_exceeds_the_limit(self) -> None:
        """With all messages lost, each entry would have kept the limit by itself."""
        (endpoint,) = endpoints = make_endpoints(1, 1, "2.5")
        async with fleet_of(endpoints, 6) as fleet:
            await _settle(fleet)
            for gateway in fleet.gateways:
                gateway.peer_messenger.send = lambda addresses, data: None  # type: ignore[method-assign]
            began_s = time.monotonic()
            await Callers(fleet, random.Random(2)).play(40.0, 8.0)
            worst = endpoint.worst(began_s + SETTLE_S, time.monotonic())
        self.assertLessEqual(worst, allowed_requests(2.5))

    async def test_the_end_of_a_limit_is_noticed_by_all(self) -> None:
        """An endpoint that had recovered stayed limited at entries that sent nothing
        there."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 3) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoint, "4")
            endpoint.limit = None
            await asyncio.gather(
                Callers(fleet, random.Random(3), (1, 0, 0)).play(10.0, 2.0),
                fleet.wait_until(
                    lambda: all(_limit_of(g) is None for g in fleet.gateways), 4.0
                ),
            )

    async def test_the_end_of_a_limit_of_zero_is_noticed(self) -> None:
        """Nobody sent to the endpoint any longer, so nobody heard that it was well."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 2) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoint, "0")
            endpoint.limit = None
            await Callers(fleet, random.Random(4)).play(10.0, 7.0)
            self.assertTrue(all(_limit_of(g) is None for g in fleet.gateways))

    async def test_another_incarnation_has_no_limit(self) -> None:
        """An endpoint that restarted under its id kept the limit of the one before."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 2) as fleet:
            for born_ms in (1_000, 2_000):
                record = endpoint.endpoint.registration(born=born_ms)
                fleet.log.put(ENDPOINTS_TOPIC, "i-0", record)
                pools = [gateway.endpoints._endpoints for gateway in fleet.gateways]
                await fleet.wait_until(
                    lambda born_ms=born_ms, pools=pools: all(
                        pool[I_0].registration.born_ms == born_ms for pool in pools
                    )
                )
                if born_ms == 1_000:
                    await _settle(fleet)
                    await _hear(fleet, endpoint, "1")
                    endpoint.limit = None
            self.assertEqual([_limit_of(g) for g in fleet.gateways], [None, None])


class OwnerTest(unittest.IsolatedAsyncioTestCase):
    """Owners that stop, freeze or cannot be reached."""

    @params("stops", "is killed", "is cut off")
    def test_the_limit_holds_and_is_used_when_its_owner(self, how: str) -> None:
        """Nobody granted leases until the owner was missed, or two entries granted the
        whole limit."""
        asyncio.run(self._lose_owner(how))

    async def _lose_owner(self, how: str) -> None:
        endpoints = make_endpoints(4, 1, "5")
        async with fleet_of(endpoints, 5) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoints[0], "5")
            owner = _owner(fleet)
            weights = tuple(float(i != owner) for i in range(5))
            callers = Callers(fleet, random.Random(5), weights)
            playing = asyncio.create_task(callers.play(80.0, 12.0))
            await asyncio.sleep(3.0)
            began_s = time.monotonic()
            self._lose(fleet, owner, how)
            await playing
            ended_s = time.monotonic()
        worst = endpoints[0].worst(began_s - 1.0, ended_s)
        self.assertLessEqual(worst, allowed_requests(5.0))
        self.assertGreaterEqual(endpoints[0].rate_per_s(began_s, ended_s), 0.35 * 5)
        self.assertEqual(set(callers.by_status), {200})

    def _lose(self, fleet: Fleet, owner: int, how: str) -> None:
        gateway = fleet.gateways[owner]
        if how == "stops":
            fleet.servers[owner].stop()
            return
        gateway.peer_messenger.send = lambda addresses, data: None  # type: ignore[method-assign]
        if how == "is killed":
            gateway.notices.limits.receive = lambda message: None  # type: ignore[method-assign]
            fleet._tasks[owner].cancel()

    async def test_an_entry_that_restarts_is_told_of_the_limit(self) -> None:
        """Back before it counted as silent, it sent without leases for seconds."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 3) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoint, "10")
            await fleet.restart_gateway((_owner(fleet) + 1) % 3)
            tracker = fleet.gateways[-1].notices.limits.tracker
            await fleet.wait_until(lambda: tracker.limit_per_s(I_0) is not None, 1.0)

    async def test_an_owner_that_stood_still_grants_less_at_first(self) -> None:
        """A process that woke up granted the whole limit beside its successor."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 2) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoint, "10")
            sync = fleet.gateways[_owner(fleet)].notices.limits
            now_s = time.monotonic()
            await fleet.ask("/plain/x", "opens the bucket")
            self.assertEqual(sync.grants.rate_per_s(I_0, now_s), 10.0)
            sync.tick(now_s + 5.0)
            self.assertEqual(sync.grants.rate_per_s(I_0, now_s + 5.0), 4.0)


class RequestTest(unittest.IsolatedAsyncioTestCase):
    """What callers see."""

    async def test_a_request_that_cannot_wait_is_refused_at_once(self) -> None:
        """It was held until its deadline, and was charged."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 2) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoint, "0.5")
            budgets = fleet.gateways[0].share_sync.budgets
            account = AccountId("t")
            left = budgets.available_tokens(account, time.monotonic())
            began_s = time.monotonic()
            status, headers, body = await fleet.ask(
                "/plain/x", "late", X_Token_Count="10,10"
            )
            self.assertLess(time.monotonic() - began_s, AT_ONCE_S)
            self.assertEqual(status, 503)
            self.assertIn(b"did_not_run", body)
            self.assertIn(b"rate_limited", body)
            self.assertLessEqual(float(headers["Retry-After"]), 1.5 * 2.0)
            after = budgets.available_tokens(account, time.monotonic())
            self.assertEqual(after, left)

    async def test_a_request_waits_for_a_token_that_comes_in_time(self) -> None:
        """It was refused although a token was due within its target."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 2) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoint, "10")
            answers = await asyncio.gather(
                *(fleet.ask("/plain/x", f"w{n}") for n in range(2))
            )
            self.assertEqual([status for status, _, _ in answers], [200, 200])

    async def test_a_caller_that_leaves_frees_its_place(self) -> None:
        """A token was granted to a request that was gone, and lost."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 1) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoint, "5")
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await fleet.ask("/plain/x", "gone")
            await fleet.wait_until(lambda: _counts(fleet)["returned"] == 1, 1.0)
            self.assertEqual(len(endpoint.arrivals_s), 1)

    async def test_rejections_of_a_limited_endpoint_do_not_eject_it(self) -> None:
        """An endpoint that rejected what was beyond its limit counted as failing."""

        async def reject(request: web.BaseRequest) -> web.StreamResponse:
            headers = {
                "X-Attempt-Id": request.headers["X-Attempt-Id"],
                "X-Not-Executed": "1",
                LIMIT_HEADER: "50",
            }
            return web.Response(status=503, headers=headers)

        fleet = Fleet(Endpoint("i-0", reject), config=config(maxAttempts=1))
        async with fleet:
            for number in range(10):
                await fleet.ask("/plain/x", f"r{number}")
            endpoint = fleet.gateways[0].endpoints._endpoints[I_0]
            self.assertEqual(endpoint.failure_rate, 0.0)
            self.assertEqual(_limit_of(fleet.gateways[0]), 50.0)


class ReadingTest(unittest.IsolatedAsyncioTestCase):
    """Which answers count, and which values."""

    async def _answered(
        self, headers: dict[str, str], status: int = 200, **more: str
    ) -> float | None:
        async def script(request: web.BaseRequest) -> web.StreamResponse:
            echo = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
            return web.Response(status=status, headers={**echo, **headers, **more})

        fleet = Fleet(Endpoint("i-0", script), config=config(maxAttempts=1))
        async with fleet:
            await fleet.ask("/plain/x")
            return _limit_of(fleet.gateways[0])

    @params(
        (200, SEAL_HEADERS, 2.5),
        (500, SEAL_HEADERS, 2.5),
        (503, {"X-Not-Executed": "1"}, 2.5),
        (200, {}, None),
        (421, {"X-Not-Executed": "1"}, None),
        (200, {**SEAL_HEADERS, "X-Attempt-Id": "another"}, None),
    )
    def test_only_certain_answers_of_the_endpoint_count(
        self, status: int, headers: dict[str, str], limit: float | None
    ) -> None:
        """A limit was taken from another owner of the address, or another answer."""
        named = {**headers, LIMIT_HEADER: "2.5"}
        self.assertEqual(asyncio.run(self._answered(named, status)), limit)

    async def test_a_stream_names_it_at_its_head(self) -> None:
        """The limit was read when the stream had ended, seconds later."""
        ended = asyncio.Event()

        async def script(request: web.BaseRequest) -> web.StreamResponse:
            headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
            response = web.StreamResponse(headers={**headers, LIMIT_HEADER: "3"})
            response.enable_chunked_encoding()
            await response.prepare(request)
            await response.write(b"id: 1\ndata: t1\n\n")
            await ended.wait()
            return response

        async with Fleet(Endpoint("i-0", script)) as fleet:
            asking = asyncio.create_task(fleet.ask("/stream/x"))
            await fleet.wait_until(lambda: _limit_of(fleet.gateways[0]) == 3.0, 1.0)
            ended.set()
            await asking


class MessageTest(unittest.IsolatedAsyncioTestCase):
    async def test_news_cost_nothing_while_nothing_is_limited(self) -> None:
        """Entries told each other of limits that no endpoint had named."""
        endpoints = make_endpoints(3, 0, "")
        async with fleet_of(endpoints, 3) as fleet:
            sent: list[LimitMessage] = []
            _record_messages(fleet, sent.append)
            await Callers(fleet, random.Random(6)).play(30.0, 2.0)
            self.assertEqual(sent, [])

    async def test_a_limit_that_changes_each_second_is_told_to_its_owner_only(
        self,
    ) -> None:
        """Each change went to all entries."""
        (endpoint,) = endpoints = make_endpoints(1, 0, "")
        async with fleet_of(endpoints, 4) as fleet:
            await _settle(fleet)
            await _hear(fleet, endpoint, "5")
            await asyncio.sleep(BEGAN_REPEAT_S + 2 * TICK_S)
            for gateway in fleet.gateways:
                gateway.notices.limits._announced_at_s = time.monotonic()
            sent: list[LimitMessage] = []
            _record_messages(fleet, sent.append)
            owner = _owner(fleet)
            weights = tuple(float(i == owner) for i in range(4))
            for limit in ("6", "7", "8"):
                endpoint.limit = limit
                await Callers(fleet, random.Random(7), weights).play(20.0, 0.5)
            self.assertEqual([m for m in sent if isinstance(m, LimitNews)], [])
            self.assertEqual(_limit_of(fleet.gateways[owner]), 8.0)


def _record_messages(fleet: Fleet, record: Callable[[LimitMessage], None]) -> None:
    for gateway in fleet.gateways:
        gateway.notices.limits._send = lambda address, message: record(message)  # type: ignore[method-assign]
