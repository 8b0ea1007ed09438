"""End-to-end tests of the gateway on loopback with a stand-in log and scripted
endpoints."""

import asyncio
import json
import time
import unittest
from unittest import mock

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.gateway import peer_requests
from celerytrack.gateway.reservations import MAX_TOKEN_WAIT_S, PEER_REQUESTS_TIMEOUT_S
from celerytrack.gateway.stream_relay import CallerDisconnectedError, finish_stream
from celerytrack.ids import AccountId
from celerytrack.planned_stop import PlannedStop
from celerytrack.platform.topics import (
    CONFIG_KEY,
    CONFIG_TOPIC,
    ENDPOINTS_TOPIC,
    ENTRIES_TOPIC,
)
from tests.gateway_fleet import HOST, KEY, SEAL_HEADERS, Endpoint, Fleet, Script, config

T = AccountId("t")
ROW_WRITE_TIMEOUT_S = 0.075
"""A quarter of the time between two rows of a small fleet."""


def _echo(request: web.BaseRequest, **more: str) -> dict[str, str]:
    return {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS, **more}


async def _good(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(body=b"good:" + await request.read(), headers=_echo(request))


def _events(first: int, last: int) -> list[bytes]:
    return [b"id: %d\ndata: t%d\n\n" % (i, i) for i in range(first, last + 1)]


async def _stream(request: web.BaseRequest, events: list[bytes]) -> web.StreamResponse:
    response = web.StreamResponse(headers=_echo(request))
    response.enable_chunked_encoding()
    await response.prepare(request)
    for event in events:
        await response.write(event)
    return response


def _cut(response: web.StreamResponse, request: web.BaseRequest) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.close()
    return response


async def _five(request: web.BaseRequest) -> web.StreamResponse:
    after = int(request.headers.get("Last-Event-Id", "0"))
    return await _stream(request, _events(after + 1, 5))


async def _broken_stream(request: web.BaseRequest) -> web.StreamResponse:
    response = await _stream(request, [*_events(1, 2), b"id: 3\nda"])
    return _cut(response, request)


async def _other_answer(request: web.BaseRequest) -> web.StreamResponse:
    headers = {**SEAL_HEADERS, "X-Attempt-Id": "somebody-else"}
    return web.Response(body=b"theirs", headers=headers)


async def _unsealed(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(headers={"X-Attempt-Id": request.headers["X-Attempt-Id"]})


async def _truncated(request: web.BaseRequest) -> web.StreamResponse:
    response = web.StreamResponse(headers=_echo(request))
    response.content_length = 100
    await response.prepare(request)
    await response.write(b"only so much")
    return _cut(response, request)


async def _full(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=503, headers={"X-Not-Executed": "1"})


async def _moved(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=421, headers={"X-Replica-Id": "another"})


async def _failing(request: web.BaseRequest) -> web.StreamResponse:
    return web.Response(status=500, body=b"own words", headers=_echo(request))


async def _hanging(request: web.BaseRequest) -> web.StreamResponse:
    await asyncio.sleep(30)
    return web.Response()


def _fleet(*scripts, **more):
    return Fleet(*(Endpoint(f"i-{i}", s) for i, s in enumerate(scripts)), **more)


def _runs(fleet: Fleet) -> int:
    return sum(len(endpoint.seen) for endpoint in fleet.endpoints)


async def _ask_once(script: Script, path: str, **headers: str):
    """Send one request to a fleet of two ``script`` endpoints.

    :return: the answer's status, headers and body, and how often the request ran.
    """
    async with _fleet(script, script) as fleet:
        return *await fleet.ask(path, **headers), _runs(fleet)


class ReusedAddressTest(unittest.IsolatedAsyncioTestCase):
    @params((1,), (2,))
    def test_request_is_rerouted_when_another_endpoint_has_the_address(self, attempts):
        """Guards against refusals although most endpoints have room.

        Endpoints crash and others start at their addresses while registrations cannot
        be read, so requests to the crashed endpoints get 421. Each such endpoint was
        counted as a regular attempt and was tried again by the next request; on routes
        with one attempt a third of the long prompts were refused during a partition.
        """
        asyncio.run(self._assert_rerouted(attempts))

    async def _assert_rerouted(self, attempts: int) -> None:
        settings = config(maxAttempts=attempts)
        async with _fleet(_moved, _moved, _good, config=settings) as fleet:
            for _ in range(6):
                status, _, body = await fleet.ask("/once/x")
                self.assertEqual((status, body), (200, b"good:body"))
            gone = [len(endpoint.seen) for endpoint in fleet.endpoints[:2]]
            self.assertLessEqual(max(gone), 1)


class ForwardTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_is_forwarded_unchanged_with_router_headers(self):
        async with _fleet(_good) as fleet:
            status, headers, body = await fleet.ask("/once/x?q=%2F", X_Hold="forged")
            seen = fleet.endpoints[0].seen[0]
            self.assertEqual((status, body), (200, b"good:body"))
            self.assertEqual(headers["X-Response-Seal"], "seal")
            self.assertEqual(seen.raw_path, "/once/x?q=%2F")
            self.assertEqual(seen.headers["Host"], HOST)
            self.assertEqual(seen.headers["X-Tenant"], "t")
            self.assertEqual(seen.headers["X-Expect-Replica"], "i-0")
            self.assertLessEqual(int(seen.headers["X-Deadline-Ms"]), 2_000)
            for name in ("Authorization", "X-Hold", "Accept-Encoding", "User-Agent"):
                self.assertNotIn(name, seen.headers)


class RefusalTest(unittest.TestCase):
    @params(
        # script of the endpoint, route, status, times it ran
        (_other_answer, "/once/x", 502, 1),
        (_unsealed, "/once/x", 502, 1),
        (_truncated, "/once/x", 502, 1),
        (_failing, "/once/x", 500, 1),
        (_full, "/once/x", 503, 2),
        (_moved, "/once/x", 503, 2),
        (_hanging, "/once/x", 504, 1),
        (_failing, "/plain/x", 500, 2),
        (_truncated, "/plain/x", 502, 2),
    )
    def test_invalid_answers_are_not_passed_on(self, script, path, status, runs):
        """Guards against forged or truncated answers and against calls that run twice.

        Every endpoint gives an invalid answer. Only a complete, signed answer with the
        request's id is passed on, and an at-most-once call is sent again only if it
        provably did not run.
        """
        got, headers, body, ran = asyncio.run(_ask_once(script, path))
        self.assertEqual((got, ran), (status, runs))
        if status != 500:
            self.assertNotIn("X-Response-Seal", headers)
        if status == 503:
            self.assertIn("Retry-After", headers)
            self.assertEqual(json.loads(body)["error"]["verdict"], "did_not_run")

    @params(
        ("/nowhere/x", {}, 404),
        ("/plain/x", {"Authorization": "Bearer wrong"}, 401),
        ("/plain/x", {"X_Token_Count": "x"}, 400),
    )
    def test_invalid_request_reaches_no_endpoint(self, path, headers, status):
        got, _, _, ran = asyncio.run(_ask_once(_good, path, **headers))
        self.assertEqual((got, ran), (status, 0))


class BodySizeTest(unittest.TestCase):
    @params((2 * 1024 * 1024, 200), (5 * 1024 * 1024, 413))
    def test_bodies_up_to_the_configured_size_are_accepted(self, size, status):
        """Guards against 413 for bodies that the configuration allows, caused by the
        1 MiB default limit of the HTTP library."""

        async def count(request: web.BaseRequest) -> web.StreamResponse:
            size = 0
            async for chunk in request.content.iter_any():
                size += len(chunk)
            return web.Response(body=b"%d" % size, headers=_echo(request))

        async def ask():
            async with _fleet(count) as fleet:
                got, _, body = await fleet.ask("/plain/x", body=b"x" * size)
                return got if got != 200 or int(body) == size else 0

        self.assertEqual(asyncio.run(ask()), status)


class SecondAttemptTest(unittest.IsolatedAsyncioTestCase):
    async def test_idempotent_call_is_retried_at_another_endpoint(self):
        async with _fleet(_failing, _good) as fleet:
            for i in range(5):
                status, _, body = await fleet.ask("/plain/x", f"r{i}")
                self.assertEqual((status, body), (200, b"good:body"))

    @params((_truncated, _full), (_truncated, None))
    def test_failed_retry_does_not_hide_that_the_first_attempt_may_have_run(
        self, first, second
    ):
        """Guards against a 503 with "did_not_run" for a call that may have run at its
        first attempt."""
        asyncio.run(self._assert_may_have_run(first, second))

    async def _assert_may_have_run(self, first, second):
        async with _fleet(first) as fleet:
            if second is not None:
                other = Endpoint("i-other", second)
                fleet._runners.append(await other.start())
                record = other.registration(zone="far")
                fleet.log.put(ENDPOINTS_TOPIC, other.name, record)
                known = fleet.gateways[0].endpoints
                await fleet.wait_until(lambda: len(known.registered_ids()) == 2)
            status, headers, body = await fleet.ask("/plain/x")
            self.assertEqual(json.loads(body)["error"]["verdict"], "may_have_run")
            self.assertEqual(status, 502)
            self.assertNotIn("Retry-After", headers)


class UnreachableEndpointTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_without_an_endpoint_is_refused_at_once(self):
        """Guards against a busy loop that blocks the entry for seconds.

        While a service has no endpoint with room, a request that was never sent could
        be retried without pause until its deadline: a fifth of all requests failed and
        processor time doubled.
        """
        async with _fleet() as fleet:
            async with asyncio.timeout(0.5):
                status, headers, _ = await fleet.ask("/plain/x")
            self.assertEqual(status, 503)
            self.assertIn("Retry-After", headers)

    async def test_call_that_was_never_sent_is_routed_to_another_endpoint(self):
        """Guards against refusals of at-most-once calls while endpoints are idle.

        An endpoint crashes while its registration remains, and the connection to it is
        refused. This was counted as the only attempt allowed, for seconds after the
        crash.
        """
        crashed = Endpoint("i-dark", _good)
        async with _fleet(_good) as fleet:
            one = config(2, maxAttempts=1)
            fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, one)
            good = fleet.endpoints[0]
            far = good.registration(zone="far")
            fleet.log.put(ENDPOINTS_TOPIC, good.name, far)
            fleet.log.put(ENDPOINTS_TOPIC, crashed.name, crashed.registration())
            gateway = fleet.gateways[0]
            await fleet.wait_until(
                lambda: (
                    gateway.routing_table.version == 2
                    and len(gateway.endpoints.registered_ids()) == 2
                )
            )
            for i in range(6):
                status, _, _ = await fleet.ask("/once/x", f"r{i}")
                self.assertEqual(status, 200)


class StreamTest(unittest.IsolatedAsyncioTestCase):
    headers = {"X_Token_Count": "10,5", "X_Prompt_Prefix": "aa:6,bb:4"}

    async def test_complete_stream_is_relayed(self):
        async with _fleet(_five) as fleet:
            _, _, body = await fleet.ask("/stream/x", **self.headers)
            self.assertEqual(body, b"".join(_events(1, 5)))

    async def test_interrupted_stream_resumes_at_another_endpoint(self):
        async with _fleet(_broken_stream, _five) as fleet:
            for i in range(4):
                _, _, body = await fleet.ask("/resume/x", f"r{i}", **self.headers)
                self.assertEqual(body, b"".join(_events(1, 5)))

    async def test_interrupted_stream_that_cannot_resume_is_seen_as_incomplete(self):
        async with _fleet(_broken_stream, _broken_stream) as fleet:
            with self.assertRaises(aiohttp.ClientPayloadError):
                await fleet.ask("/stream/x", **self.headers)
            self.assertEqual(_runs(fleet), 1)

    async def test_disconnected_caller_stops_the_work_of_the_endpoint(self):
        async with _fleet(_hanging) as fleet:
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await fleet.ask("/stream/x", **self.headers)
            await fleet.wait_until(lambda: fleet.endpoints[0].cancelled == 1, 0.5)

    async def test_tokens_of_a_resumed_stream_are_charged_once(self):
        async with _fleet(_broken_stream, _five) as fleet:
            await fleet.ask("/resume/x", **self.headers)
            budgets = fleet.gateways[0].share_sync.budgets
            share = budgets._shares[T]
            self.assertEqual(share.reserved_tokens, 0)
            self.assertLessEqual(share.spent_tokens, 15)
            self.assertGreaterEqual(share.spent_tokens, 15 - 1)


class DisconnectAtStreamEndTest(unittest.TestCase):
    def test_disconnect_before_the_end_of_the_answer_is_recognised(self):
        """Guards against a traceback and an uncounted request when the caller's
        connection closes between the last event and the end of the answer."""
        response = mock.AsyncMock()
        gone = aiohttp.ClientConnectionResetError("Cannot write to closing transport")
        response.write_eof.side_effect = gone
        with self.assertRaises(CallerDisconnectedError):
            request = mock.Mock(version=aiohttp.HttpVersion11)
            asyncio.run(finish_stream(mock.Mock(response=response, request=request)))


class PrepaidTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_above_the_total_budget_is_refused_finally(self):
        async with _fleet(_five) as fleet:
            big = {"X_Token_Count": "2000000,5", "X_Prompt_Prefix": "aa:6"}
            status, _, _ = await fleet.ask("/stream/x", **big)
            self.assertEqual((status, _runs(fleet)), (402, 0))

    async def test_tokens_move_between_entries_while_the_log_is_unreachable(self):
        """Guards against refusals during a partition while other entries hold tokens.

        The log is unreachable and one entry has used up its tokens while the other has
        its own left. Hundreds of requests were refused when entries could move tokens
        through the log only.
        """
        # The timeout of a token transfer is raised because it is not under test: on a
        # loaded machine this process, which runs both entries, was paused for 0.18 s in
        # one step, which is longer than the regular timeout.
        with mock.patch.object(peer_requests, "PEER_REQUEST_TIMEOUT_S", 2.0):
            status = await self._request_more_than_one_entry_has()
        self.assertEqual(status, 200)

    async def _request_more_than_one_entry_has(self) -> int:
        async with _fleet(_five, gateways=2) as fleet:
            await self._wait_for_settled_rows(fleet)
            fleet.log.down = True
            here, there = (g.share_sync.budgets for g in fleet.gateways)
            cost = here.available_tokens(T, 0.0) + there.available_tokens(T, 0.0) // 3
            one = {"X_Token_Count": f"{cost},5", "X_Prompt_Prefix": "aa:6"}
            status, _, _ = await fleet.ask("/stream/x", **one)
            return status

    async def _wait_for_settled_rows(self, fleet: Fleet) -> None:
        """Wait until the rows of every entry take the other into account: the first
        entry to start claims tokens as if it were alone, and lowers the claim later."""
        await fleet.wait_until(
            lambda: all(
                len(g.share_sync.members.members()) == 2 for g in fleet.gateways
            )
        )
        wrote = len(fleet.log.topics["keyed.celerytrack-entries"].records)
        await fleet.wait_until(
            lambda: (
                len(fleet.log.topics["keyed.celerytrack-entries"].records) >= wrote + 6
                and not any(
                    g.share_sync.budgets.has_row_in_flight for g in fleet.gateways
                )
            )
        )

    async def test_rows_are_written_once_when_answers_of_the_log_are_lost(self):
        async with _fleet(_good) as fleet:
            fleet.log.lose_answers = True
            await asyncio.sleep(1.5)
            fleet.log.lose_answers = False
            appends = fleet.log.appends
            await fleet.wait_until(lambda: fleet.log.appends > appends + 1)
            numbers = list(fleet.log.topics["keyed.celerytrack-entries"].answers)
            self.assertEqual(len(numbers), len(set(numbers)))

    async def test_wait_for_tokens_ends_at_the_deadline(self):
        """Guards against an answer that is sent after the caller's deadline."""

        async def longest_wait(*_):
            await asyncio.sleep(
                MAX_TOKEN_WAIT_S
                + PEER_REQUESTS_TIMEOUT_S
                + peer_requests.PEER_REQUEST_TIMEOUT_S
            )

        async with _fleet(_good, config=config(prepaid=100)) as fleet:
            reservations = fleet.gateways[0].share_sync.reservations
            with mock.patch.object(reservations, "reserve", longest_wait):
                began_s = time.monotonic()
                pending = fleet.ask(
                    "/plain/x", X_Token_Count="1,1", X_Deadline_Ms="200"
                )
                status = (await pending)[0]
            self.assertEqual((status, _runs(fleet)), (503, 0))
            self.assertLess(time.monotonic() - began_s, 0.4)


class ChangesTest(unittest.IsolatedAsyncioTestCase):
    async def test_only_newer_valid_configurations_are_applied(self):
        async with _fleet(_good) as fleet:
            fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, config(7, pathPrefix="/new/"))
            gateway = fleet.gateways[0]
            await fleet.wait_until(lambda: gateway.routing_table.version == 7, 2.0)
            self.assertEqual((await fleet.ask("/new/x"))[0], 200)
            fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, config(3))
            fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, b"no configuration")
            await asyncio.sleep(0.3)
            self.assertEqual(gateway.routing_table.version, 7)

    async def test_change_is_seen_despite_a_read_that_is_never_answered(self):
        """Guards against 404 for a route that has been in force for four seconds.

        The store holds a read of the configuration open, rejects the instance and never
        answers that read; it accepts the instance again and the configuration changes.
        The entry waited up to 12 s for the old read.
        """
        async with _fleet(_good) as fleet:
            fleet.log.hang_held_reads = True
            await asyncio.sleep(0.1)
            fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, config(5))
            await asyncio.sleep(0.1)
            fleet.log.hang_held_reads = False
            await fleet.wait_until(
                lambda: fleet.gateways[0].routing_table.version == 5, 3.5
            )

    async def test_latest_records_are_read_after_the_history_was_trimmed(self):
        async with _fleet(_good) as fleet:
            fleet.log.down = True
            for topic in (CONFIG_TOPIC, ENDPOINTS_TOPIC):
                fleet.log.put(topic, "other", b"x")
            fleet.log.put(CONFIG_TOPIC, CONFIG_KEY, config(9))
            for topic in list(fleet.log.topics):
                fleet.log.compact(topic)
            fleet.log.down = False
            await fleet.wait_until(
                lambda: fleet.gateways[0].routing_table.version == 9, 4.0
            )
            self.assertEqual((await fleet.ask("/plain/x"))[0], 200)

    async def test_draining_endpoint_gets_no_new_requests(self):
        async with _fleet(_good, _good) as fleet:
            draining, other = fleet.endpoints
            value = draining.registration(state="draining")
            fleet.log.put(ENDPOINTS_TOPIC, draining.name, value)
            await asyncio.sleep(1.0)
            for i in range(6):
                await fleet.ask("/plain/x", f"r{i}")
            self.assertEqual((len(draining.seen), len(other.seen)), (0, 6))


class RestartedEndpointTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that stay on connections to a previous incarnation.

    An endpoint's instance becomes unreachable, so that its connections stay open but
    carry no data, and the endpoint restarts under the same id. Incarnations were told
    apart by the id alone: callers waited until their deadline, and calls sent on a
    reused old connection had an unknown outcome.
    """

    async def _silent(self, request: web.BaseRequest) -> web.StreamResponse:
        if len(self.endpoint.seen) == 1:
            await asyncio.sleep(30)
        return await _good(request)

    async def _restart(self, fleet: Fleet) -> None:
        record = self.endpoint.registration(born=2_000, sequence=1)
        fleet.log.put(ENDPOINTS_TOPIC, self.endpoint.name, record)

    async def test_requests_to_the_previous_incarnation_end_as_may_have_run(self):
        self.endpoint = Endpoint("i-1", self._silent)
        async with Fleet(self.endpoint) as fleet:
            first = self.endpoint.registration(born=1_000, sequence=9)
            fleet.log.put(ENDPOINTS_TOPIC, "i-1", first)
            await asyncio.sleep(0.8)
            pending = asyncio.create_task(fleet.ask("/once/x"))
            await fleet.wait_until(lambda: len(self.endpoint.seen) == 1)
            await self._restart(fleet)
            status, _, _ = await asyncio.wait_for(pending, 1.5)
            # The request may have run: it is not sent again, nor refused as not run.
            self.assertEqual(status, 502)
            self.assertEqual(len(self.endpoint.seen), 1)
            status, _, body = await fleet.ask("/once/x", "r2")
            self.assertEqual((status, body), (200, b"good:body"))

    async def test_connections_to_the_previous_incarnation_are_not_reused(self):
        self.endpoint = Endpoint("i-1", _good)
        async with Fleet(self.endpoint) as fleet:
            first = self.endpoint.registration(born=1_000, sequence=9)
            fleet.log.put(ENDPOINTS_TOPIC, "i-1", first)
            await asyncio.sleep(0.8)
            await fleet.ask("/once/x")
            await fleet.ask("/once/x", "r2")
            await self._restart(fleet)
            await asyncio.sleep(0.8)
            await fleet.ask("/once/x", "r3")
        callers = self.endpoint.callers
        self.assertEqual(callers[0], callers[1])
        self.assertNotEqual(callers[1], callers[2])


class InvalidRegistrationTest(unittest.IsolatedAsyncioTestCase):
    async def test_invalid_record_removes_its_endpoint_and_no_other(self):
        """Guards against requests to an endpoint whose registration is unreadable.

        An endpoint is registered, another writer puts an invalid record under its id,
        and then other records come and go. The last valid record stayed in use.
        """
        first, second = Endpoint("i-1", _good), Endpoint("i-2", _good)
        async with Fleet(first, second) as fleet:
            pool = fleet.gateways[0].endpoints
            for raw in (b"\xff", b"[" * 100_000, first.registration(state="asleep")):
                fleet.log.put(ENDPOINTS_TOPIC, "i-1", raw)
            fleet.log.put(ENDPOINTS_TOPIC, "i-3", b"{}")
            await fleet.wait_until(lambda: pool.registered_ids() == ["i-2"])
            for i in range(6):
                await fleet.ask("/plain/x", f"r{i}")
            self.assertEqual((len(first.seen), len(second.seen)), (0, 6))
            fleet.log.put(ENDPOINTS_TOPIC, "i-1", first.registration())
            await fleet.wait_until(lambda: set(pool.registered_ids()) == {"i-1", "i-2"})

    async def test_invalid_record_removes_the_only_endpoint_of_a_service(self):
        """Guards against requests to the only endpoint of a service for 1.5 s after
        another writer put an invalid record under its id.

        The invalid record was treated as an expired registration, after which the last
        endpoint of a service is used a little longer.
        """
        only = Endpoint("i-1", _good)
        async with Fleet(only) as fleet:
            pool = fleet.gateways[0].endpoints
            fleet.log.put(ENDPOINTS_TOPIC, "i-1", b"{}")
            await fleet.wait_until(lambda: pool.registered_ids() == [])
            status, _, _ = await fleet.ask("/plain/x")
            self.assertEqual((status, len(only.seen)), (503, 0))


class PlannedStopTest(unittest.IsolatedAsyncioTestCase):
    async def test_stop_aborts_no_request_and_is_known_to_other_entries(self):
        async def slow(request):
            await asyncio.sleep(1.0)
            return await _good(request)

        async with _fleet(slow, gateways=2) as fleet:
            draining, other = fleet.gateways
            await fleet.wait_until(
                lambda: len(other.share_sync.members.live_peers(1e9)) == 1
            )
            pending = asyncio.create_task(fleet.ask("/once/x"))
            await fleet.wait_until(lambda: _runs(fleet) == 1)
            fleet.servers[0].stop()
            await fleet.wait_until(lambda: not draining.ready)
            self.assertEqual((await pending)[0], 200)
            late = await fleet.ask("/plain/late", "r2")
            self.assertEqual((late[0], late[1].get("Connection")), (200, "close"))
            await fleet.wait_until(
                lambda: not other.share_sync.members.live_peers(1e9),
            )
            address = other.settings.directory_address
            url = f"http://{address}/resolve?name={HOST}&zone=z"
            async with fleet.http.get(url) as response:
                named = (await response.json())["addresses"]
            self.assertEqual(named, [other.settings.front_address])

    async def test_stop_writes_a_row_at_once(self):
        """Guards against a last row that is still unwritten when the process exits."""
        async with _fleet(_good) as fleet:
            rows = fleet.log.topic(ENTRIES_TOPIC).records
            for _ in range(6):
                # A varying moment between two periodic rows.
                await asyncio.sleep(0.37)
                known = len(rows)
                fleet.gateways[0].share_sync.publish_leaving()
                await asyncio.sleep(ROW_WRITE_TIMEOUT_S)
                self.assertGreater(len(rows), known)

    async def test_late_requests_are_refused_with_503_and_connection_close(self):
        async with _fleet(_good) as fleet:
            fleet.gateways[0].stop = PlannedStop(time.monotonic() - 7.0, 8.0)
            status, headers, _ = await fleet.ask("/once/x")
            self.assertEqual((status, _runs(fleet)), (503, 0))
            self.assertEqual(headers["Connection"], "close")


class ReadinessTest(unittest.IsolatedAsyncioTestCase):
    async def test_readiness_and_metrics_are_served(self):
        async with _fleet(_good) as fleet:
            await fleet.ask("/plain/x")
            settings = fleet.gateways[0].settings
            async with fleet.http.get(
                f"http://{settings.readiness_address}/ready"
            ) as r:
                self.assertEqual(r.status, 200)
            async with fleet.http.get(
                f"http://{settings.metrics_address}/metrics"
            ) as r:
                text = await r.text()
            self.assertIn('outcome="answered",route="/plain/"', text)


class KeyTest(unittest.IsolatedAsyncioTestCase):
    async def test_caller_key_is_never_forwarded(self):
        async with _fleet(_good) as fleet:
            await fleet.ask("/plain/x", X_Tenant="forged")
            seen = fleet.endpoints[0].seen[0]
            self.assertNotIn(KEY, str(seen.headers))
            self.assertEqual(seen.headers.getall("X-Tenant"), ["t"])
