"""Endpoints that say that they leave or ask for a backoff, before gateways."""

import asyncio
import random
import time
import unittest
from collections.abc import Callable

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.gateway.state import Gateway
from celerytrack.ids import AccountId, EndpointId
from celerytrack.notices.messages import NoticeMessage
from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.gateway_fleet import SEAL_HEADERS, Endpoint, Fleet, config
from tests.noticing_endpoints import (
    LEAVING_HEADER,
    MAX_DURING_BACKOFF,
    NoticeCallers,
    NoticingEndpoint,
    fleet_of,
    make_noticing,
)

AT_ONCE_S = 0.15
I_0 = EndpointId("i-0")


def _leaves(gateway: Gateway, endpoint_id: EndpointId = I_0) -> bool:
    return gateway.notices.state.is_leaving(endpoint_id, 0)


def _backs_off(gateway: Gateway, endpoint_id: EndpointId = I_0) -> bool:
    return gateway.notices.state.backoffs.until_s(endpoint_id, 0) is not None


async def _settle(fleet: Fleet) -> None:
    """Wait until all gateways know each other."""
    peers = len(fleet.gateways) - 1
    await fleet.wait_until(
        lambda: all(len(g.notices.limits.owners.peers) == peers for g in fleet.gateways)
    )


async def _reject_once(callers: NoticeCallers, endpoint: NoticingEndpoint) -> None:
    """Have each gateway be turned away once."""
    endpoint.rejects_share = 1.0
    for gateway in range(len(callers.fleet.gateways)):
        await callers.ask(gateway=gateway)
    endpoint.rejects_share = 0.0


async def _ask_served(callers: NoticeCallers) -> None:
    status = await callers.ask()
    if status != 200:
        raise AssertionError(f"answered with {status}")


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_endpoint_that_said_it_leaves_gets_no_more_requests(self) -> None:
        """Entries sent to it until the log said so, seconds later."""
        endpoints = make_noticing(12, seed=1)
        async with fleet_of(endpoints, 6) as fleet:
            callers = NoticeCallers(fleet, random.Random(1))
            await callers.play(60.0, 1.0)
            for endpoint in endpoints[:3]:
                endpoint.leaving = "1"
            await callers.play(60.0, 6.0)
        self.assertTrue(callers.told_at_s)
        self.assertEqual(callers.late_at_leaving(endpoints), 0)
        self.assertEqual(set(callers.by_status), {200})

    async def test_all_of_a_service_leave(self) -> None:
        """The last resort was used for longer than the word allows."""
        endpoints = make_noticing(12, seed=3)
        async with fleet_of(endpoints, 9) as fleet:
            callers = NoticeCallers(fleet, random.Random(3))
            for endpoint in endpoints:
                endpoint.leaving = "1"
            await callers.play(60.0, 5.0)
        self.assertEqual(callers.late_at_leaving(endpoints), 0)
        self.assertGreater(callers.by_status[200], 0)
        self.assertLessEqual(set(callers.by_status), {200, 503})
        own_s = callers.slowest_refusal_s - callers.worst_lag_s
        self.assertLess(own_s, AT_ONCE_S)

    async def test_one_answer_tells_all_entries(self) -> None:
        """Each entry had to hear it from the endpoint itself."""
        endpoints = make_noticing(2, seed=4)
        async with fleet_of(endpoints, 4) as fleet:
            await _settle(fleet)
            callers = NoticeCallers(fleet, random.Random(4))
            endpoints[0].leaving = "1"
            await fleet.repeat_until(
                lambda: endpoints[0].arrivals > 0, lambda: callers.ask(gateway=0)
            )
            await fleet.wait_until(lambda: all(map(_leaves, fleet.gateways)), 1.0)

    async def test_a_heartbeat_does_not_take_it_back(self) -> None:
        """A record that called the endpoint ready came after its answer."""
        endpoints = make_noticing(2, seed=5)
        async with fleet_of(endpoints, 1) as fleet:
            callers = NoticeCallers(fleet, random.Random(5))
            endpoints[0].leaving = "1"
            await fleet.repeat_until(lambda: endpoints[0].arrivals > 0, callers.ask)
            record = endpoints[0].endpoint.registration(sequence=9)
            fleet.log.put(ENDPOINTS_TOPIC, "i-0", b"")
            await asyncio.sleep(2.0)
            fleet.log.put(ENDPOINTS_TOPIC, "i-0", record)
            await asyncio.sleep(1.5)
            before = endpoints[0].arrivals
            await callers.play(40.0, 1.0)
            self.assertEqual(endpoints[0].arrivals, before)

    async def test_its_end_is_no_crash(self) -> None:
        """The requests that it ran as it ended became suspects."""

        async def end(request: web.BaseRequest) -> web.StreamResponse:
            headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
            response = web.StreamResponse(headers={**headers, LEAVING_HEADER: "1"})
            response.enable_chunked_encoding()
            await response.prepare(request)
            await response.write(b"id: 1\ndata: t1\n\n")
            assert request.transport is not None
            request.transport.abort()
            return response

        async with Fleet(Endpoint("i-0", end)) as fleet:
            with self.assertRaises(aiohttp.ClientError):
                await fleet.ask("/stream/x")
            self.assertTrue(_leaves(fleet.gateways[0]))
            self.assertFalse(fleet.gateways[0].crash_detector._interrupted)

    async def test_a_request_that_waits_for_a_connection_is_not_sent(self) -> None:
        """The word came while it waited, and it was sent all the same."""
        endpoints = make_noticing(2, seed=6)
        async with fleet_of(endpoints, 1) as fleet:
            (gateway,) = fleet.gateways
            endpoint = gateway.endpoints._endpoints[I_0]
            connector = gateway.connections.get(endpoint).session.connector
            opened = connector._create_connection

            async def open_and_hear(*args: object) -> object:
                connection = await opened(*args)
                gateway.notices.state.backoffs.record(I_0, 0, 9.0, time.monotonic())
                return connection

            connector._create_connection = open_and_hear
            callers = NoticeCallers(fleet, random.Random(6))
            await fleet.repeat_until(
                lambda: _backs_off(gateway),
                lambda: _ask_served(callers),
            )
            self.assertEqual(endpoints[0].arrivals, 0)
            self.assertEqual(endpoint.failure_rate, 0.0)


class BackoffTest(unittest.IsolatedAsyncioTestCase):
    async def test_an_endpoint_that_asked_for_a_backoff_is_left_alone(self) -> None:
        """Entries sent to it again at once, or after an ejection that was shorter."""
        endpoints = make_noticing(12, seed=2)
        async with fleet_of(endpoints, 6) as fleet:
            callers = NoticeCallers(fleet, random.Random(2))
            for endpoint in endpoints[:3]:
                endpoint.rejects_share = 0.3
                endpoint.retry_after = "2"
            await callers.play(60.0, 8.0)
        self.assertGreater(sum(len(e.backoffs) for e in endpoints), 0)
        worst = max(endpoint.most_during_backoff() for endpoint in endpoints)
        self.assertLessEqual(worst, MAX_DURING_BACKOFF)
        self.assertGreaterEqual(callers.by_status[200], 0.95 * len(callers.sent_at_s))

    async def test_all_of_a_service_back_off(self) -> None:
        """With none left that was not ejected, all were chosen again."""
        endpoints = make_noticing(12, seed=7)
        async with fleet_of(endpoints, 6) as fleet:
            callers = NoticeCallers(fleet, random.Random(7))
            for endpoint in endpoints:
                endpoint.rejects_share = 0.3
                endpoint.retry_after = "2.5"
            await callers.play(60.0, 8.0)
        worst = max(endpoint.most_during_backoff() for endpoint in endpoints)
        self.assertLessEqual(worst, MAX_DURING_BACKOFF)
        self.assertLessEqual(set(callers.by_status), {200, 503})

    async def test_it_binds_the_entry_that_was_asked(self) -> None:
        """One endpoint's word to one entry closed it to all."""
        endpoints = make_noticing(1, seed=8)
        async with fleet_of(endpoints, 3) as fleet:
            await _settle(fleet)
            callers = NoticeCallers(fleet, random.Random(8))
            endpoints[0].retry_after = "2"
            endpoints[0].rejects_share = 1.0
            await callers.ask(gateway=0)
            endpoints[0].rejects_share = 0.0
            await asyncio.sleep(0.2)
            self.assertEqual([await callers.ask(gateway=n) for n in (1, 2)], [200, 200])
            self.assertEqual(await callers.ask(gateway=0), 503)

    async def test_a_request_is_refused_at_once_while_all_back_off(self) -> None:
        """It was held until its deadline, sent all the same, or charged."""
        endpoints = make_noticing(1, seed=9)
        async with fleet_of(endpoints, 1) as fleet:
            callers = NoticeCallers(fleet, random.Random(9))
            endpoints[0].retry_after = "3"
            await _reject_once(callers, endpoints[0])
            arrivals = endpoints[0].arrivals
            budgets = fleet.gateways[0].share_sync.budgets
            account = AccountId("t")
            left = budgets.available_tokens(account, time.monotonic())
            callers.slowest_refusal_s = 0.0
            self.assertEqual(await callers.ask(X_Token_Count="10,10"), 503)
            self.assertLess(callers.slowest_refusal_s, AT_ONCE_S)
            self.assertEqual(endpoints[0].arrivals, arrivals)
            self.assertGreater(callers.retry_after_s[-1], 2.5)
            self.assertLess(callers.retry_after_s[-1], 1.5 * 3.1)
            after = budgets.available_tokens(account, time.monotonic())
            self.assertEqual(after, left)

    async def test_a_request_waits_for_an_end_that_comes_in_time(self) -> None:
        """It was refused although the backoff ended within its target."""
        endpoints = make_noticing(1, seed=10)
        async with fleet_of(endpoints, 1) as fleet:
            callers = NoticeCallers(fleet, random.Random(10))
            endpoints[0].retry_after = "0.15"
            await _reject_once(callers, endpoints[0])
            began_s = time.monotonic()
            self.assertEqual(await callers.ask(), 200)
            self.assertGreater(time.monotonic() - began_s, 0.1)

    async def test_a_rejection_is_no_sign_of_a_fault(self) -> None:
        """It counted as a failure, and its short time as the endpoint's latency."""
        endpoints = make_noticing(1, seed=11)
        async with fleet_of(endpoints, 1) as fleet:
            callers = NoticeCallers(fleet, random.Random(11))
            await callers.ask()
            endpoint = fleet.gateways[0].endpoints._endpoints[I_0]
            latency_s = endpoint.latency_s
            endpoints[0].retry_after = "1"
            await _reject_once(callers, endpoints[0])
            self.assertEqual(endpoint.failure_rate, 0.0)
            self.assertEqual(endpoint.latency_s, latency_s)

    async def test_a_503_that_may_have_run_is_no_sign_of_a_fault(self) -> None:
        """The endpoint was closed by its word, and ejected for it afterwards."""

        async def ask_for_rest(request: web.BaseRequest) -> web.StreamResponse:
            echo = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
            return web.Response(status=503, headers={**echo, "Retry-After": "1"})

        fleet = Fleet(Endpoint("i-0", ask_for_rest), config=config(maxAttempts=1))
        async with fleet:
            self.assertEqual((await fleet.ask("/plain/x"))[0], 503)
            endpoint = fleet.gateways[0].endpoints._endpoints[I_0]
            self.assertTrue(_backs_off(fleet.gateways[0]))
            self.assertEqual(endpoint.failure_rate, 0.0)

    async def test_a_success_does_not_end_it(self) -> None:
        """The answer to a request sent before opened the endpoint again."""
        endpoints = make_noticing(1, seed=12)
        async with fleet_of(endpoints, 1) as fleet:
            callers = NoticeCallers(fleet, random.Random(12))
            endpoints[0].retry_after = "2"
            earlier = asyncio.create_task(callers.ask())
            await fleet.wait_until(lambda: endpoints[0].arrivals == 1, 1.0)
            await _reject_once(callers, endpoints[0])
            self.assertEqual(await earlier, 200)
            self.assertEqual(await callers.ask(), 503)

    async def test_another_incarnation_ends_it(self) -> None:
        """An endpoint that had started again was left idle."""
        endpoints = make_noticing(1, seed=13)
        async with fleet_of(endpoints, 1) as fleet:
            callers = NoticeCallers(fleet, random.Random(13))
            pool = fleet.gateways[0].endpoints._endpoints
            for born_ms in (1_000, 2_000):
                record = endpoints[0].endpoint.registration(born=born_ms)
                fleet.log.put(ENDPOINTS_TOPIC, "i-0", record)
                await fleet.wait_until(
                    lambda born_ms=born_ms: pool[I_0].registration.born_ms == born_ms
                )
                if born_ms == 1_000:
                    endpoints[0].retry_after = "60"
                    await _reject_once(callers, endpoints[0])
            self.assertEqual(await callers.ask(), 200)

    async def test_the_most_urgent_returns_first(self) -> None:
        """Whoever had waited longest took the first place."""
        endpoints = make_noticing(1, seed=14)
        route = {"goalMs": 1_500, "timeoutMs": 2_000}
        fleet = Fleet(endpoints[0].endpoint, config=config(**route))
        async with fleet:
            callers = NoticeCallers(fleet, random.Random(14))
            endpoints[0].retry_after = "0.4"
            await _reject_once(callers, endpoints[0])
            queue = fleet.gateways[0].openings["s"]
            order = []

            async def wait(priority: int) -> None:
                self.assertTrue(await queue.wait(priority, 0.1, 1.0))
                order.append(priority)

            await asyncio.gather(*(wait(priority) for priority in (3, 1, 2, 0)))
            self.assertEqual(order, [0, 1, 2, 3])


class WhoseWordTest(unittest.IsolatedAsyncioTestCase):
    """Which answers count."""

    async def _heard(
        self, status: int, headers: dict[str, str], known: Callable[[Gateway], bool]
    ) -> bool:
        async def script(request: web.BaseRequest) -> web.StreamResponse:
            echo = {"X-Attempt-Id": request.headers["X-Attempt-Id"]}
            return web.Response(status=status, headers={**echo, **headers})

        fleet = Fleet(Endpoint("i-0", script), config=config(maxAttempts=1))
        async with fleet:
            await fleet.ask("/plain/x")
            return known(fleet.gateways[0])

    @params(
        (200, SEAL_HEADERS, True),
        (500, SEAL_HEADERS, True),
        (500, {}, True),
        (503, {"X-Not-Executed": "1"}, True),
        (200, {}, False),
        (421, {"X-Not-Executed": "1"}, False),
        (200, {**SEAL_HEADERS, "X-Attempt-Id": "another"}, False),
    )
    def test_a_leaving_counts_if_the_answer_is_used(
        self, status: int, headers: dict[str, str], leaves: bool
    ) -> None:
        """An endpoint was lost by the word of another owner of its address, or an
        answer that was passed on did not count."""
        said = {**headers, LEAVING_HEADER: "1"}
        self.assertIs(asyncio.run(self._heard(status, said, _leaves)), leaves)

    @params(
        (503, {"X-Not-Executed": "1"}, True),
        (503, {}, True),
        (503, SEAL_HEADERS, True),
        (200, SEAL_HEADERS, False),
        (500, SEAL_HEADERS, False),
        (429, {"X-Not-Executed": "1"}, False),
        (421, {"X-Not-Executed": "1"}, False),
        (503, {"X-Not-Executed": "1", "X-Attempt-Id": "another"}, False),
    )
    def test_a_backoff_counts_in_a_503_only(
        self, status: int, headers: dict[str, str], backs_off: bool
    ) -> None:
        """Retry-After of an answer that was no rejection closed the endpoint."""
        said = {**headers, "Retry-After": "5"}
        self.assertIs(asyncio.run(self._heard(status, said, _backs_off)), backs_off)

    async def test_the_head_of_a_stream_counts_at_once(self) -> None:
        """It was read when the stream had ended, seconds later."""
        ended = asyncio.Event()

        async def script(request: web.BaseRequest) -> web.StreamResponse:
            headers = {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}
            response = web.StreamResponse(headers={**headers, LEAVING_HEADER: "1"})
            response.enable_chunked_encoding()
            await response.prepare(request)
            await response.write(b"id: 1\ndata: t1\n\n")
            await ended.wait()
            return response

        async with Fleet(Endpoint("i-0", script)) as fleet:
            asking = asyncio.create_task(fleet.ask("/stream/x"))
            await fleet.wait_until(lambda: _leaves(fleet.gateways[0]), 1.0)
            ended.set()
            self.assertEqual((await asking)[0], 200)

    async def test_an_answer_that_is_retried_counts(self) -> None:
        """It was not passed on, and its word was lost with it."""
        endpoints = make_noticing(2, seed=15)
        endpoints[0].leaving = "1"
        endpoints[0].rejects_share = 1.0
        async with fleet_of(endpoints, 1) as fleet:
            callers = NoticeCallers(fleet, random.Random(15))
            await fleet.repeat_until(
                lambda: endpoints[0].arrivals > 0, lambda: _ask_served(callers)
            )
            self.assertTrue(_leaves(fleet.gateways[0]))

    async def test_nothing_is_told_while_nobody_says_anything(self) -> None:
        """Entries told each other of endpoints that had said nothing."""
        endpoints = make_noticing(3, seed=16)
        async with fleet_of(endpoints, 3) as fleet:
            sent: list[NoticeMessage] = []
            for gateway in fleet.gateways:
                gateway.notices._leaving_sync._send = lambda address, message: (
                    sent.append(message)
                )
            await NoticeCallers(fleet, random.Random(16)).play(30.0, 2.0)
            self.assertEqual(sent, [])
            self.assertFalse(any(gateway.notices for gateway in fleet.gateways))
