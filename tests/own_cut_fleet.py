"""Entries of the own interface in one process, whose links to replicas can be cut."""

import asyncio
import contextvars
import random
import time
from collections import Counter
from typing import Any

import aiohttp
import cattrs
from aiohttp import web

from celerytrack.cli.ctl import apply_config, topup
from celerytrack.entry.app import make_app
from celerytrack.entry.relay_server import open_relay
from celerytrack.entry.state import EntryState
from celerytrack.ids import AccountId
from celerytrack.logclient import LogClient
from celerytrack.settings import FleetSettings
from celerytrack.standins import engine, instances, log, service
from tests.gateway_fleet import free_port
from tests.link_cuts import Links, current_gateway

ACCOUNT = AccountId("account-1")
KEY = "key-of-account-1"
BUDGET_TOKENS = 50_000_000


def _address() -> str:
    return f"127.0.0.1:{free_port()}"


def _settings(entries: int, engines: int, services: int) -> dict[str, Any]:
    replicas = [("engine", "m", n) for n in range(engines)]
    replicas += [("service", "s", n) for n in range(services)]
    return {
        "deployment": "cut",
        "zones": ["z"],
        "platform": {
            "log_address": _address(),
            "instances_address": _address(),
            "weights_address": _address(),
        },
        "entries": [
            {
                "entry_id": f"entry-{n}",
                "address": _address(),
                "peer_address": _address(),
                "relay_address": _address(),
                "zone": "z",
            }
            for n in range(entries)
        ],
        "replicas": [
            {
                "replica_id": f"{kind}-{n}",
                "address": _address(),
                "zone": "z",
                "kind": kind,
                "model": model,
            }
            for kind, model, n in replicas
        ],
    }


def own_config() -> dict[str, Any]:
    def work(name: str, kind: str, model: str, **more: Any) -> dict[str, Any]:
        base = {"name": name, "kind": kind, "model": model, "ttft_target_s": 1.0}
        return {**base, **more}

    return {
        "deployment": "cut",
        "classes": [
            work("story", "engine", "m", max_output_tokens=1_000),
            work("lookup", "service", "s", service_cost_tokens=20),
            work("file", "service", "s", service_cost_tokens=20, idempotent=False),
        ],
        "accounts": [{"account_id": ACCOUNT, "key": KEY}],
    }


class OwnCutFleet:
    """Stand-ins, replicas and entries on loopback.

    :ivar entries: the state of each entry.
    :ivar engines: the state of each engine.
    :ivar services: the state of each plain service.
    :ivar listed: the instance list.
    """

    def __init__(self, entries: int, engines: int = 4, services: int = 4) -> None:
        document = _settings(entries, engines, services)
        self.settings = cattrs.structure(document, FleetSettings)
        self.links = Links()
        self.entries: list[EntryState] = []
        self.engines: list[engine.EngineState] = []
        self.services: list[service.ServiceState] = []
        self.http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._runners: list[web.AppRunner] = []

    async def __aenter__(self) -> "OwnCutFleet":
        platform = self.settings.platform
        await self._serve(log.make_app(), platform.log_address)
        self.listed = instances.InstancesState(instances.seed(self.settings))
        await self._serve(instances.make_app(self.listed), platform.instances_address)
        for spec in self.settings.replicas:
            await self._serve(self._replica(spec.replica_id), spec.address)
        client = LogClient(platform.log_address, "test")
        version, why = await apply_config(client, own_config(), None)
        assert version >= 0, why
        assert await topup(client, ACCOUNT, BUDGET_TOKENS, "first")
        await client.close()
        ports = [int(s.address.split(":")[1]) for s in self.settings.replicas]
        await self.links.open(len(self.settings.entries), ports)
        await asyncio.gather(
            *(self._start_entry(n) for n in range(len(self.settings.entries)))
        )
        return self

    def _replica(self, replica_id: str) -> web.Application:
        if replica_id.startswith("engine"):
            state_of_engine = engine.EngineState(replica_id, token_s=0.002)
            self.engines.append(state_of_engine)
            return engine.make_app(state_of_engine)
        state = service.ServiceState(replica_id)
        self.services.append(state)
        return service.make_app(state)

    async def _serve(self, app: web.Application, address: str) -> None:
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await runner.setup()
        host, port = address.split(":")
        await web.TCPSite(runner, host, int(port)).start()
        self._runners.append(runner)

    async def _start_entry(self, number: int) -> None:
        context = contextvars.copy_context()
        context.run(current_gateway.set, number)
        await asyncio.create_task(self._run_entry(number), context=context)

    async def _run_entry(self, number: int) -> None:
        spec = self.settings.entries[number]
        entry = EntryState(self.settings, spec.entry_id)
        self.entries.append(entry)
        await entry.start()
        await self._serve(make_app(entry), spec.address)
        relay = await open_relay(entry)
        assert relay is not None
        self._runners.append(relay)

    async def __aexit__(self, *exc: object) -> None:
        await self.http.close()
        for entry in self.entries:
            await entry.close()
        await self.links.close()
        for runner in self._runners:
            await runner.cleanup()

    async def call(self, entry: int, work_class: str, number: int) -> int:
        """Make one request; returns its status, 0 if its answer broke off."""
        address = self.settings.entries[entry].address
        headers = {"Authorization": f"Bearer {KEY}", "Idempotency-Key": f"k{number}"}
        if work_class == "story":
            url = f"http://{address}/v1/chat/completions"
            message = {"role": "user", "content": f"prompt {number}"}
            body = {"model": "story", "max_tokens": 8, "messages": [message]}
        else:
            url, body = f"http://{address}/v1/services/{work_class}", {}
        try:
            async with self.http.post(url, json=body, headers=headers) as answer:
                data = await answer.read()
                if answer.status == 200 and work_class == "story":
                    return 200 if b"[DONE]" in data else 0
                return answer.status
        except (aiohttp.ClientError, TimeoutError):
            return 0

    async def play(
        self, rate_per_s: float, lasts_s: float, rng: random.Random, first: int
    ) -> list[tuple[int, float, int]]:
        """Requests of all classes at a mean rate: entry, time since the begin and
        status of each."""
        begun_s = time.monotonic()
        results: list[tuple[int, float, int]] = []

        async def one(entry: int, work_class: str, number: int) -> None:
            at_s = time.monotonic() - begun_s
            results.append((entry, at_s, await self.call(entry, work_class, number)))

        tasks = []
        number = first
        while time.monotonic() - begun_s < lasts_s:
            entry = rng.randrange(len(self.settings.entries))
            work_class = rng.choice(("story", "lookup", "file"))
            tasks.append(asyncio.create_task(one(entry, work_class, number)))
            number += 1
            await asyncio.sleep(rng.expovariate(rate_per_s))
        await asyncio.gather(*tasks)
        return results

    def runs_of_once_only(self) -> Counter[str]:
        """How often each call that must run at most once ran."""
        runs: Counter[str] = Counter()
        for state in self.services:
            for key, count in state.runs.items():
                if key.startswith("file:"):
                    runs[key] += count
        return runs
