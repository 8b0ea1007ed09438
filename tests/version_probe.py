"""An operator who changes the configuration, and probes of what is in force."""

import json
import time

import aiohttp

from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC
from tests.gateway_fleet import HOST
from tests.gateway_processes import GatewayProcess
from tests.keyed_log import KeyedLog

PAID_KEY = "paid"
"""Of the account whose total all gateways share; other keys have none."""
DEADLINE_MS = "15000"


class Operator:
    """The configuration as its owner changes it: each version adds a route and a key,
    and removes those of the version before."""

    def __init__(self, log: KeyedLog, total_tokens: int) -> None:
        self.version = 0
        self._log = log
        self._total_tokens = total_tokens

    def write(self) -> None:
        """Write the next version."""
        self.version += 1
        plain = {"kind": "idempotent", "public": True}
        kinds = {
            f"/route-{self.version}/": plain,
            "/keyed/": {"kind": "idempotent"},
            "/once/": {"kind": "non_idempotent"},
            "/stream/": {"kind": "stream", "affinity": True},
        }
        routes = [
            {"name": prefix, "pathPrefix": prefix, **self._route(), **kind}
            for prefix, kind in kinds.items()
        ]
        paid = {"name": "p", "apiKeys": [PAID_KEY], "prepaid": self._total_tokens}
        free = {"name": "f", "apiKeys": ["free", f"key-{self.version}"]}
        config = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "s", "connLimit": 100, "engine": {"slots": 50}}],
            "tenants": [paid, free],
        }
        self._log.put(CONFIG_TOPIC, CONFIG_KEY, json.dumps(config).encode())

    @staticmethod
    def _route() -> dict[str, object]:
        return {
            "host": HOST,
            "timeoutMs": int(DEADLINE_MS),
            "goalMs": 300,
            "maxAttempts": 2,
            "service": "s",
        }


class VersionProbe:
    """Asks one gateway what is in force: once a version is, never an older one.

    :ivar in_force: the newest version that the gateway has served.
    :ivar wrong: what it answered by an older one after that.
    """

    def __init__(self, gateway: GatewayProcess, operator: Operator) -> None:
        self.in_force = 0
        self.wrong: list[str] = []
        self._gateway = gateway
        self._operator = operator
        self._asked = 0

    async def ask(self, http: aiohttp.ClientSession) -> None:
        """Ask by what the newest version added, and by what it removed."""
        version = self._operator.version

        async def status(path: str, key: str = "free") -> int | None:
            got = await self._status(http, path, key)
            # What the version asked about says no longer holds under a later one.
            return got if version == self._operator.version else None

        added = await status(f"/route-{version}/x")
        if added == 200:
            self.in_force = version
        if self.in_force < version:
            return
        if added == 404:
            self._note(f"route-{version} is unknown again")
        if await status(f"/route-{version - 1}/x") == 200:
            self._note(f"route-{version - 1} is served again")
        if await status("/keyed/x", f"key-{version}") == 401:
            self._note(f"key-{version} is unknown again")
        if await status("/keyed/x", f"key-{version - 1}") == 200:
            self._note(f"key-{version - 1} is good again")

    def _note(self, what: str) -> None:
        self.wrong.append(f"{time.monotonic():.2f} {self._gateway.ip} {what}")

    async def _status(
        self, http: aiohttp.ClientSession, path: str, key: str
    ) -> int | None:
        self._asked += 1
        headers = {
            "Host": HOST,
            "X-Attempt-Id": f"{self._gateway.ip}-{self._asked}",
            "X-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Bearer {key}",
        }
        url = f"http://{self._gateway.front_address}{path}"
        try:
            async with http.post(url, data=b"", headers=headers) as got:
                await got.read()
                return got.status
        except (aiohttp.ClientError, TimeoutError):
            return None
