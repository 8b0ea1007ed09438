"""An operator who changes the configuration, and probes of the version in force."""

import json
import time

import aiohttp

from celerytrack.platform.topics import CONFIG_KEY, CONFIG_TOPIC
from tests.gateway_fleet import HOST
from tests.gateway_processes import GatewayProcess
from tests.keyed_log import KeyedLog

PAID_KEY = "paid"
"""API key of the only prepaid account; all gateways share its total."""
DEADLINE_MS = "15000"


class Operator:
    """Writes the configuration: each version adds a route and an API key and removes
    those of the previous version."""

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
    """Checks that a gateway which served a version never serves an older one.

    :ivar in_force: newest version that the gateway has served.
    :ivar wrong: descriptions of later answers by an older version.
    """

    def __init__(self, gateway: GatewayProcess, operator: Operator) -> None:
        self.in_force = 0
        self.wrong: list[str] = []
        self._gateway = gateway
        self._operator = operator
        self._asked = 0

    async def ask(self, http: aiohttp.ClientSession) -> None:
        """Send requests by what the newest version added and removed."""
        version = self._operator.version

        async def status(path: str, key: str = "free") -> int | None:
            status_code = await self._status(http, path, key)
            # An answer says nothing if a later version was written meanwhile.
            return status_code if version == self._operator.version else None

        added = await status(f"/route-{version}/x")
        if added == 200:
            self.in_force = version
        if self.in_force < version:
            return
        if added == 404:
            self._record_wrong(f"route-{version} is unknown again")
        if await status(f"/route-{version - 1}/x") == 200:
            self._record_wrong(f"route-{version - 1} is served again")
        if await status("/keyed/x", f"key-{version}") == 401:
            self._record_wrong(f"key-{version} is unknown again")
        if await status("/keyed/x", f"key-{version - 1}") == 200:
            self._record_wrong(f"key-{version - 1} is accepted again")

    def _record_wrong(self, description: str) -> None:
        self.wrong.append(f"{time.monotonic():.2f} {self._gateway.ip} {description}")

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
            async with http.post(url, data=b"", headers=headers) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return None
