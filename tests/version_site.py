"""A fleet with endpoints of two versions, and callers who begin and take up streams."""

import asyncio
import time

from celerytrack.ids import EndpointId
from celerytrack.platform.topics import ENDPOINTS_TOPIC
from tests.gateway_fleet import Fleet
from tests.raw_versions import NEW, OLD, VersionNamingEndpoint

TRIES_LAST_S = 3.0
AT_ONCE = 5
FIRST_EVENT_AFTER_S = 0.1
"""Long enough that endpoints which have just joined look no worse than the others."""


class VersionSite:
    """Endpoints of two versions, and the streams that callers begin and take up."""

    def __init__(self, gateways: int) -> None:
        self.old = [
            VersionNamingEndpoint(f"i-old-{n}", OLD, FIRST_EVENT_AFTER_S)
            for n in range(3)
        ]
        self.new = VersionNamingEndpoint("i-new", NEW, FIRST_EVENT_AFTER_S)
        self.fleet = Fleet(*self.old, gateways=gateways)

    async def release(self, drains: bool = True) -> None:
        """Start an endpoint of the new version; one of the old one drains or ends."""
        await self.new.start()
        self._register(self.new, self.new.registration())
        drained = self.old[0].registration(state="draining") if drains else b""
        self._register(self.old[0], drained)

    def roll_back(self) -> None:
        """Take the release back: the new endpoint drains, the old one serves again."""
        self._register(self.new, self.new.registration(state="draining"))
        self._register(self.old[0], self.old[0].registration())

    def _register(self, endpoint: VersionNamingEndpoint, value: bytes) -> None:
        self.fleet.log.put(ENDPOINTS_TOPIC, endpoint.name, value)

    def doubt_endpoints(self, gateway: int) -> None:
        """Have a gateway doubt that the endpoints are what is registered."""
        for endpoint in self.old:
            self.fleet.gateways[gateway].endpoints.doubt_incarnation(
                EndpointId(endpoint.name), 0, time.monotonic()
            )

    def in_touch(self) -> list[int]:
        """The numbers of the gateways that are not lost."""
        return sorted(set(range(len(self.fleet.gateways))) - self.fleet.killed)

    async def begin(self, gateways: list[int], name: str = "first") -> list[str]:
        """Begin a stream at each of ``gateways``; the versions that wrote them."""
        asked = [(f"{name}{n}", at) for n, at in enumerate(gateways)]
        versions: list[str] = []
        for start in range(0, len(asked), AT_ONCE):
            part = asked[start : start + AT_ONCE]
            versions += await asyncio.gather(*(self.ask(*one) for one in part))
        return versions

    async def take_up(self, count: int, name: str = "next") -> list[str]:
        """Take streams up at the gateways in touch, again as these say; the versions at
        which they go on, empty where they are refused."""
        at = self.in_touch()
        return await asyncio.gather(
            *(self.take_up_at(n, at[n % len(at)], name) for n in range(count))
        )

    async def take_up_at(self, number: int, gateway: int, name: str = "next") -> str:
        """Take one stream up, again as the gateway says."""
        ends_s = time.monotonic() + TRIES_LAST_S
        tried = 0
        while True:
            tried += 1
            version, wait_s = await self._try(
                f"{name}{number}-{tried}",
                gateway,
                Last_Event_Id="2",
                Resumes=f"first{number}",
            )
            if version or time.monotonic() + wait_s > ends_s:
                return version
            await asyncio.sleep(wait_s)

    async def ask(self, request_id: str, gateway: int) -> str:
        """The version that writes a new stream; empty if it is refused."""
        version, _ = await self._try(request_id, gateway)
        return version

    async def _try(
        self, request_id: str, gateway: int, **headers: str
    ) -> tuple[str, float]:
        status, got, _ = await self.fleet.ask(
            "/resume/x", request_id, gateway=gateway, **headers
        )
        if status == 200:
            return got["X-Wrote"], 0.0
        return "", float(got.get("Retry-After", TRIES_LAST_S))


def same_versions(begun: list[str], taken: list[str]) -> int:
    """How many streams went on at the version that began them."""
    return sum(map(str.__eq__, begun, taken))


def mixed_versions(begun: list[str], taken: list[str]) -> int:
    """How many streams went on at another version."""
    pairs = zip(begun, taken, strict=True)
    return sum(after not in ("", before) for before, after in pairs)
