"""Reloads of the settings and changes of the configuration while requests are in
flight, on gateways that run as processes."""

import asyncio
import contextlib
import functools
import json
import pathlib
import signal
import unittest
from collections.abc import AsyncIterator

import aiohttp
from aiohttp import web
from nose2.tools import params

from celerytrack.platform.http import RESOLVE_PATH
from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC, ENDPOINTS_TOPIC
from tests.gateway_fleet import HOST, KEY, SEAL_HEADERS, Endpoint, config, free_port
from tests.gateway_processes import GatewayProcess, settings_text
from tests.keyed_log import KeyedLog

EVENTS = 20
EVENT_S = 0.1
NOT_ACCEPTING_S = 3.8
"""Time after the signal of a planned stop when no more requests are accepted."""
HEADERS = {
    "Host": HOST,
    "X-Attempt-Id": "r1",
    "X-Deadline-Ms": "15000",
    "Authorization": f"Bearer {KEY}",
}
IN_FLIGHT = ("/stream/x", "/resume/x", "/plain/x", "/once/x")


def _echo(request: web.BaseRequest) -> dict[str, str]:
    return {"X-Attempt-Id": request.headers["X-Attempt-Id"], **SEAL_HEADERS}


async def _serve(request: web.BaseRequest) -> web.StreamResponse:
    """Answer after two seconds of work, as a stream or in one piece."""
    if not request.path.startswith(("/stream", "/resume")):
        await asyncio.sleep(EVENTS * EVENT_S)
        return web.Response(body=b"done", headers=_echo(request))
    response = web.StreamResponse(headers=_echo(request))
    response.enable_chunked_encoding()
    await response.prepare(request)
    for i in range(1, EVENTS + 1):
        await asyncio.sleep(EVENT_S)
        await response.write(b"id: %d\ndata: t%d\n\n" % (i, i))
    return response


class Site:
    """A gateway process between a stand-in log and one endpoint."""

    def __init__(self) -> None:
        self.log = KeyedLog()
        self.endpoint = Endpoint("i-1", _serve)
        self.store_address = f"127.0.0.1:{free_port()}"
        self.gateway = GatewayProcess(1, self.store_address)
        self.http = aiohttp.ClientSession()

    async def ask(
        self, path: str, serial: int = 1, limit_ms: int = 15_000
    ) -> tuple[int, bytes]:
        """Send one request; returns the status and the whole answer.

        :raises aiohttp.ClientError: if the answer is incomplete.
        """
        deadline = {"X-Attempt-Id": f"r{serial}", "X-Deadline-Ms": str(limit_ms)}
        headers = {**HEADERS, **deadline}
        url = f"http://{self.gateway.front_address}{path}"
        async with self.http.post(url, data=b"", headers=headers) as answer:
            return answer.status, await answer.read()

    async def ask_all(self, count: int = 1) -> list[tuple[int, bytes]]:
        """Send ``count`` requests of each kind at once and wait for all."""
        paths = IN_FLIGHT * count
        asking = (self.ask(path, i) for i, path in enumerate(paths))
        return list(await asyncio.gather(*asking))

    async def in_flight(self, count: int) -> None:
        await self.gateway.wait_until(lambda: len(self.endpoint.seen) >= count, 3.0)

    def write_settings(self, text: str | bytes | None) -> None:
        """Change the settings file, or remove it."""
        path = self.gateway._settings
        if text is None:
            path.unlink()
        elif isinstance(text, bytes):
            path.write_bytes(text)
        else:
            path.write_text(text)

    def put_config(self, data: dict[str, object]) -> None:
        """Put a configuration in force."""
        self.log.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(data).encode())


@contextlib.asynccontextmanager
async def _site(start: bool = True) -> AsyncIterator[Site]:
    site = Site()
    site.log.put(CONFIG_TOPIC, CONFIG_KEY, config(timeoutMs=15_000))
    site.log.put(ENDPOINTS_TOPIC, "i-1", site.endpoint.registration())
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback((await site.endpoint.start()).cleanup)
        runner = web.AppRunner(site.log.make_app(), shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        host, port = site.store_address.split(":")
        await web.TCPSite(runner, host, int(port)).start()
        stack.push_async_callback(site.http.close)
        if start:
            await stack.enter_async_context(site.gateway)
        yield site


class ReloadTest(unittest.TestCase):
    def _assert_complete(self, answers: list[tuple[int, bytes]]) -> None:
        for status, body in answers:
            self.assertEqual(status, 200)
            self.assertTrue(body == b"done" or body.count(b"data: ") == EVENTS)

    @params(
        ("the same", "{}"),
        ("another grace time", "{}".replace("{}", "{grace}")),
        ("half written", '[listen]\nfront = "127'),
        ("not UTF-8", b"node = \xff"),
        ("removed", None),
    )
    def test_reload_loses_no_request(self, name, text):
        """Guards against requests lost in a reload, whatever the settings hold."""
        asyncio.run(self._reload_in_flight(text))

    async def _reload_in_flight(self, text: str | bytes | None) -> None:
        async with _site() as site:
            asking = asyncio.create_task(site.ask_all(count=5))
            await site.in_flight(5)
            if isinstance(text, str) and text.startswith("{"):
                grace_s = 1.0 if "grace" in text else 8.0
                text = settings_text(1, site.store_address, grace_s)
            site.write_settings(text)
            for _ in range(10):
                site.gateway.signal(signal.SIGHUP)
                await asyncio.sleep(0.1)
            self._assert_complete(await asking)
            self._assert_complete(await site.ask_all())
            self.assertIsNone(await site.gateway.wait_for_exit(0.1))

    @params(0.0, 0.3)
    def test_reload_during_a_planned_stop_loses_no_request(self, after_s):
        """Guards against a stop that drops requests because a reload during it shortens
        the grace time."""
        asyncio.run(self._reload_during_stop(after_s))

    async def _reload_during_stop(self, after_s: float) -> None:
        async with _site() as site:
            asking = asyncio.create_task(site.ask_all(count=5))
            await site.in_flight(5)
            site.gateway.signal(signal.SIGTERM)
            # Of two pending signals the one with the lower number is delivered first.
            stopping = functools.partial(site.gateway.log_records, "process_stopping")
            await site.gateway.wait_until(lambda: bool(stopping()), 2.0)
            await asyncio.sleep(after_s)
            site.write_settings(settings_text(1, site.store_address, 1.0))
            site.gateway.signal(signal.SIGHUP)
            self._assert_complete(await asking)
            self.assertEqual(await site.gateway.wait_for_exit(8.0), 0)

    def test_reload_does_not_announce_an_address_without_a_listener(self):
        """Guards against callers sent to a listener that was never opened."""
        asyncio.run(self._reload_with_other_front())

    async def _reload_with_other_front(self) -> None:
        async with _site() as site:
            text = settings_text(1, site.store_address)
            site.write_settings(text.replace(":8227", ":8228"))
            site.gateway.signal(signal.SIGHUP)
            await asyncio.sleep(0.5)
            url = f"http://{site.gateway.ip}:8224{RESOLVE_PATH}"
            async with site.http.get(url) as answer:
                named = await answer.text()
            self.assertIn(site.gateway.front_address, named)

    def test_reload_during_startup_does_not_end_the_process(self):
        """Guards against a process that a reload signal terminates during startup."""
        asyncio.run(self._reload_at_start())

    async def _reload_at_start(self) -> None:
        async with _site(start=False) as site:
            starting = asyncio.create_task(site.gateway.start())
            try:
                await self._wait_for_imports(site.gateway)
                site.gateway.signal(signal.SIGHUP)
                self.assertIsNone(
                    await site.gateway.wait_for_exit(1.0), "the process ended"
                )
                await starting
                self._assert_complete(await site.ask_all())
            finally:
                starting.cancel()
                await site.gateway.kill()

    async def _wait_for_imports(self, gateway: GatewayProcess) -> None:
        """Wait until the process runs its main module and imports its dependencies."""
        for _ in range(2_000):
            await asyncio.sleep(0.002)
            process = gateway._process
            if process is None:
                continue
            maps = pathlib.Path(f"/proc/{process.pid}/maps")
            if "aiohttp" in maps.read_text():
                return
        raise AssertionError("the gateway process did not start")


def _without_routes(data: dict[str, object]) -> None:
    data["routes"] = data["routes"][-1:]


def _short_timeouts(data: dict[str, object]) -> None:
    for route in data["routes"]:
        route["timeoutMs"] = 500


def _without_tenants(data: dict[str, object]) -> None:
    data["tenants"] = [{"name": "u", "apiKeys": ["key-of-u"]}]


def _other_service(data: dict[str, object]) -> None:
    other = {"name": "s2", "connLimit": 100}
    data["services"].append(other)
    for route in data["routes"]:
        route["service"] = "s2"


def _without_services(data: dict[str, object]) -> None:
    _other_service(data)
    data["services"] = data["services"][1:]


class ConfigChangeTest(unittest.TestCase):
    @params(
        _without_routes,
        _short_timeouts,
        _without_tenants,
        _other_service,
        _without_services,
    )
    def test_config_change_loses_no_request(self, change):
        """Guards against requests in flight that are lost with the route, tenant or
        service by which they were admitted."""
        asyncio.run(self._change_in_flight(change))

    async def _change_in_flight(self, change) -> None:
        async with _site() as site:
            asking = asyncio.create_task(site.ask_all(count=5))
            await site.in_flight(20)
            for version in (2, 3, 4):
                data = json.loads(config(version, timeoutMs=15_000))
                change(data)
                site.put_config(data)
                await asyncio.sleep(0.3)
            answers = await asking
            self.assertGreaterEqual(len(site.gateway.log_records("config_applied")), 2)
            self.assertEqual(site.gateway.log_records("config_rejected"), [])
            for status, body in answers:
                self.assertEqual(status, 200)
                self.assertTrue(body == b"done" or body.count(b"data: ") == EVENTS)


class ExpiredRequestTest(unittest.TestCase):
    def test_request_without_time_left_is_not_sent(self):
        """Guards against work that begins after its deadline and is then answered as
        possibly executed."""
        asyncio.run(self._send_without_time())

    async def _send_without_time(self) -> None:
        async with _site() as site:
            # Opens a connection to the endpoint.
            await site.ask("/plain/x")
            status, _ = await site.ask("/once/x", 2, limit_ms=20)
            await asyncio.sleep(0.3)
            self.assertEqual((len(site.endpoint.seen), status), (1, 503))


class LateBodyTest(unittest.TestCase):
    def test_request_whose_body_arrives_late_in_a_stop_is_refused(self):
        """Guards against a request that is admitted by its head, before a planned stop,
        and executed much later, when its body arrives."""
        asyncio.run(self._send_late_body())

    async def _send_late_body(self) -> None:
        async with _site() as site:
            host, port = site.gateway.front_address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {**HEADERS, "Content-Length": "4"}
            head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
            writer.write(f"POST /stream/x HTTP/1.1\r\n{head}\r\nbo".encode())
            await asyncio.sleep(0.2)
            site.gateway.signal(signal.SIGTERM)
            await asyncio.sleep(NOT_ACCEPTING_S)
            writer.write(b"dy")
            answer = await asyncio.wait_for(reader.readline(), 2.0)
            self.assertEqual(answer.split(b" ")[1], b"503")
            self.assertEqual(site.endpoint.seen, [])
            writer.close()


if __name__ == "__main__":
    unittest.main()
