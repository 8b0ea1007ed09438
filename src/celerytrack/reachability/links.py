"""Whether the links of this entry to the endpoints of a service work. Without I/O.

An endpoint that can't be reached puts the links in doubt if nothing shows that others
are. A *check* then tries to connect to several endpoints: if none accepts, the links
are down, and requests go through other entries. While they are down, further checks
look for their return; then load returns in steps.
"""

import enum

import attrs

from celerytrack.ids import ServiceName

SETTLED_S = 0.5
"""Time after a check that reached an endpoint in which there is no new doubt."""
MAX_CHECK_S = 0.25
"""Longest time of one check: several times what a connection within a region takes."""
STALL_S = 0.15
"""A check that took this much longer shows that the process stood still meanwhile, and
proves nothing about the links."""
MIN_CHECK_INTERVAL_S = 0.3
MAX_CHECK_INTERVAL_S = 0.6
"""Time between checks while the links are down; it grows, since each is a new
connection, and bounds how late their return is noticed."""
CHECK_INTERVAL_FACTOR = 1.25
FULL_WINDOW = 16
"""Requests in progress from which the return is over."""
MAX_RETURN_S = 3.0
"""Time after which the return is over in any case."""


class LinkState(enum.Enum):
    """What is known of the links to the endpoints of a service."""

    UP = "up"
    IN_DOUBT = "in_doubt"
    DOWN = "down"
    RETURNING = "returning"
    """They work again, and load returns to them in steps."""


@attrs.define
class _ServiceLinks:
    """The links to one service while they are not simply up.

    :ivar doubted_at_s: when the doubt began.
    :ivar next_check_at_s: when the next check is due while they are down.
    :ivar returned_at_s: when an endpoint was reached again.
    :ivar window: direct requests that may be in progress during the return.
    """

    state: LinkState
    doubted_at_s: float
    next_check_at_s: float = 0.0
    check_interval_s: float = MIN_CHECK_INTERVAL_S
    returned_at_s: float = 0.0
    window: int = 1


class LinkTracker:
    """The states of the links by service. False while all are up."""

    def __init__(self) -> None:
        self._links: dict[ServiceName, _ServiceLinks] = {}
        self._settled_until_s: dict[ServiceName, float] = {}

    def __bool__(self) -> bool:
        return bool(self._links)

    def state(self, service: ServiceName) -> LinkState:
        """The state of the links to a service."""
        links = self._links.get(service)
        return LinkState.UP if links is None else links.state

    def doubted_at_s(self, service: ServiceName) -> float | None:
        """When the doubt began that is not settled, or that proved right."""
        links = self._links.get(service)
        return None if links is None else links.doubted_at_s

    def in_doubt(self) -> list[ServiceName]:
        """The services to which the links are in doubt."""
        in_doubt = LinkState.IN_DOUBT
        return [s for s, links in self._links.items() if links.state is in_doubt]

    def down(self) -> list[ServiceName]:
        """The services to which the links are down."""
        return [s for s, links in self._links.items() if links.state is LinkState.DOWN]

    def begin_doubt(self, service: ServiceName, now_s: float) -> bool:
        """Record that the links may be down; returns whether a check is due."""
        links = self._links.get(service)
        if links is None:
            if now_s < self._settled_until_s.get(service, float("-inf")):
                return False
            self._links[service] = _ServiceLinks(LinkState.IN_DOUBT, now_s)
            return True
        if links.state is LinkState.RETURNING:
            links.state = LinkState.IN_DOUBT
            return True
        return False

    def record_check(
        self, service: ServiceName, reached: bool, began_s: float, now_s: float
    ) -> LinkState:
        """Record the result of a check; returns the state that follows.

        It stays in doubt if the check proves nothing, and another one is due at once.
        """
        links = self._links.get(service)
        if links is None:
            return LinkState.UP
        if links.state is LinkState.IN_DOUBT:
            self._settle(service, links, reached, began_s, now_s)
        elif links.state is LinkState.DOWN:
            _record_check_while_down(links, reached, now_s)
        return self.state(service)

    def _settle(
        self,
        service: ServiceName,
        links: _ServiceLinks,
        reached: bool,
        began_s: float,
        now_s: float,
    ) -> None:
        if reached:
            del self._links[service]
            self._settled_until_s[service] = now_s + SETTLED_S
        elif now_s - began_s < MAX_CHECK_S + STALL_S:
            links.state = LinkState.DOWN
            links.next_check_at_s = now_s + links.check_interval_s

    def due_checks(self, now_s: float) -> list[ServiceName]:
        """The services whose links are down and to be checked now."""
        due = []
        for service, links in self._links.items():
            if links.state is LinkState.DOWN and now_s >= links.next_check_at_s:
                links.next_check_at_s = now_s + links.check_interval_s
                due.append(service)
        return due

    def has_direct_room(self, service: ServiceName, in_progress: int) -> bool:
        """Whether one more request may be sent directly.

        :param in_progress: requests of this entry in progress at the service.
        """
        links = self._links.get(service)
        if links is None or links.state is LinkState.IN_DOUBT:
            return True
        return links.state is LinkState.RETURNING and in_progress < links.window

    def record_answer(self, service: ServiceName) -> bool:
        """Record that a direct request was answered: more may follow.

        :returns: whether the return is over with it.
        """
        links = self._links.get(service)
        if links is None or links.state is not LinkState.RETURNING:
            return False
        links.window *= 2
        if links.window < FULL_WINDOW:
            return False
        del self._links[service]
        return True

    def pop_ended_returns(self, now_s: float) -> list[ServiceName]:
        """End the returns that have lasted long enough."""
        ended = [
            service
            for service, links in self._links.items()
            if links.state is LinkState.RETURNING
            and now_s - links.returned_at_s >= MAX_RETURN_S
        ]
        for service in ended:
            del self._links[service]
        return ended


def _record_check_while_down(links: _ServiceLinks, reached: bool, now_s: float) -> None:
    if reached:
        links.state = LinkState.RETURNING
        links.returned_at_s = now_s
        links.window = 1
        links.check_interval_s = MIN_CHECK_INTERVAL_S
        return
    longer_s = links.check_interval_s * CHECK_INTERVAL_FACTOR
    links.check_interval_s = min(longer_s, MAX_CHECK_INTERVAL_S)
