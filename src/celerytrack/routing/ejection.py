"""Ejection of endpoints that fail, for a time. Without I/O."""

from celerytrack.routing.endpoint import Endpoint

MIN_EJECTION_S = 0.4
"""Ejection time after the first failed connection or missing answer; it doubles with
each further failure."""
MAX_EJECTION_S = 5.0
"""Longest ejection. A replaced endpoint has a new id, so a longer ejection would only
delay the return of an endpoint that has recovered."""
FAILURE_EWMA_WEIGHT = 0.15
"""Weight of the newest answer in the moving average of an endpoint's failure rate."""
GREY_FAILURE_RATE = 0.35
"""Failure rate that ejects an endpoint which accepts connections (grey failure), if it
is also more than :data:`GREY_FAILURE_FACTOR` times the average rate of the service's
other endpoints."""
GREY_FAILURE_FACTOR = 2.0
GREY_EJECTION_S = 2.0
"""Ejection time after a grey failure, until a request tries the endpoint again."""
CRASH_EJECTION_S = 4.0
"""Ejection time after a crash. The registration stays until some heartbeats are missed,
and each request sent there loses the time of a failed connection."""


def record_success(endpoint: Endpoint) -> None:
    """Record a successful answer."""
    endpoint.consecutive_failures = 0
    endpoint.failure_rate -= FAILURE_EWMA_WEIGHT * endpoint.failure_rate


def record_unreached(endpoint: Endpoint, now_s: float) -> None:
    """Record a connection that failed, broke or timed out, so that the next request
    would fail too."""
    _raise_failure_rate(endpoint)
    endpoint.consecutive_failures += 1
    ejection_s = min(
        MIN_EJECTION_S * 2 ** (endpoint.consecutive_failures - 1),
        MAX_EJECTION_S,
    )
    endpoint.ejected_until_s = now_s + ejection_s


def record_error(endpoint: Endpoint, peer_failure_rate: float, now_s: float) -> None:
    """Record an answer that is an error.

    :param peer_failure_rate: mean failure rate of the service's other endpoints.
    """
    _raise_failure_rate(endpoint)
    limit = max(GREY_FAILURE_RATE, GREY_FAILURE_FACTOR * peer_failure_rate)
    if endpoint.failure_rate > limit:
        endpoint.ejected_until_s = now_s + GREY_EJECTION_S


def record_crash(endpoint: Endpoint, now_s: float) -> None:
    """Eject an endpoint that crashed."""
    ejected_until_s = max(endpoint.ejected_until_s, now_s + CRASH_EJECTION_S)
    endpoint.ejected_until_s = ejected_until_s


def forgive(endpoint: Endpoint) -> None:
    """Forget failed connections that were no fault of the endpoint."""
    if endpoint.consecutive_failures > 0:
        endpoint.consecutive_failures = 0
        endpoint.failure_rate = 0.0
        endpoint.ejected_until_s = 0.0


def _raise_failure_rate(endpoint: Endpoint) -> None:
    endpoint.failure_rate += FAILURE_EWMA_WEIGHT * (1 - endpoint.failure_rate)
