"""Settings that a process reads at start, from the platform's settings file."""

import os
import pathlib
import tomllib
from typing import Any

import attrs

from celerytrack.answer_limits import DEFAULT_LIMITS, AnswerLimits
from celerytrack.callers.limits import CallerLimits, memory_budget_bytes
from celerytrack.ids import EntryId, Zone
from celerytrack.settings import SettingsError
from celerytrack.strict import MAX_NUMBER

SETTINGS_VARIABLE = "CELERYTRACK_SETTINGS"
METRICS_PORT = 9102
"""Port of the metrics; ``deploy/system.toml`` names it too."""
BYTES_PER_MB = 1_000_000
FILE_DESCRIPTORS = 200
"""Descriptors of a process that are for files, not for connections."""
_DEFAULT_PATH = "/etc/celerytrack/boot.toml"


@attrs.frozen
class ProcessSettings:
    """One process's place in the deployment.

    :ivar entry_id: this instance's name, which is stable over restarts.
    :ivar ip: this instance's address; a replacement has another one.
    :ivar front_address: listen address for callers.
    :ivar readiness_address: listen address for the platform's readiness probes.
    :ivar directory_address: listen address for address queries, if served here.
    :ivar peer_address: listen address for the other entries.
    :ivar metrics_address: listen address for metrics.
    :ivar store_address: address of the platform's log.
    :ivar grace_s: time between SIGTERM and SIGKILL.
    :ivar retry_ratio: retries allowed per request, fleet-wide.
    :ivar retry_slack: retries allowed beyond that in a window.
    :ivar max_ttl_s: longest TTL allowed for an address answer.
    :ivar config_in_force_s: longest time allowed from the confirmation of a
        configuration until it is in force everywhere.
    :ivar leaving_known_s: longest time allowed from the confirmation that an endpoint
        drains until all entries know it; it serves for as long.
    :ivar answer_limits: bounds of endpoints' answers; the settings may lack them.
    :ivar caller_limits: what callers may hold of the process.
    :ivar endpoint_heartbeat_s: interval at which endpoints write their registrations.
    :ivar link_mbps: bandwidth of the instance's link; 0 if unknown.
    """

    entry_id: EntryId
    ip: str
    zone: Zone
    front_address: str | None
    readiness_address: str | None
    directory_address: str | None
    peer_address: str
    metrics_address: str
    store_address: str
    grace_s: float
    retry_ratio: float
    retry_slack: float
    max_ttl_s: float
    config_in_force_s: float = 2.0
    leaving_known_s: float = 2.0
    endpoint_heartbeat_s: float = 1.2
    answer_limits: AnswerLimits = DEFAULT_LIMITS
    caller_limits: CallerLimits = CallerLimits()
    link_mbps: float = 0.0


def settings_path() -> pathlib.Path:
    """Path of the settings file."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, _DEFAULT_PATH))


def load_settings(path: pathlib.Path) -> ProcessSettings:
    """Read and decode the settings file.

    :raises SettingsError: naming the field that is missing or has a wrong type.
    """
    try:
        data = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(f"{path}: {exc}") from None
    return decode_settings(data)


def decode_settings(data: dict[str, Any]) -> ProcessSettings:
    """Decode parsed settings; unknown fields are ignored."""
    listen = _table(data, "listen")
    bounds = _table(data, "bounds")
    platform = _table(data, "platform")
    return ProcessSettings(
        entry_id=EntryId(_text(data, "node")),
        ip=_text(data, "ip"),
        zone=Zone(_text(data, "zone")),
        front_address=listen.get("front"),
        readiness_address=listen.get("readiness"),
        directory_address=listen.get("directory"),
        peer_address=f"{_text(data, 'ip')}:{_first_port(data)}",
        metrics_address=f"{_text(data, 'ip')}:{METRICS_PORT}",
        store_address=_text(platform, "address", "platform."),
        grace_s=_number(bounds, "graceS", 8),
        retry_ratio=_number(bounds, "retryRatio", 0.2),
        retry_slack=_number(bounds, "retrySlack", 50),
        max_ttl_s=_number(bounds, "ttl_max_s", 5),
        config_in_force_s=_number(bounds, "configMs", 2_000) / 1_000,
        leaving_known_s=_number(bounds, "drainMs", 2_000) / 1_000,
        endpoint_heartbeat_s=_number(data, "heartbeatMs", 1_200, "") / 1_000,
        link_mbps=_number(_table(data, "limits"), "linkMbps", 0, "limits"),
        answer_limits=_answer_limits(_table(data, "answers")),
        caller_limits=_caller_limits(_table(data, "callers"), _table(data, "limits")),
    )


def _caller_limits(table: dict[str, Any], machine: dict[str, Any]) -> CallerLimits:
    machine_mb = _number(machine, "memoryMb", 0, "limits")
    memory_bytes = CallerLimits().memory_bytes
    if machine_mb > 0:
        memory_bytes = memory_budget_bytes(machine_mb * BYTES_PER_MB)
    machine_descriptors = _number(machine, "fdLimit", 0, "limits")
    descriptors = max(0.0, machine_descriptors - FILE_DESCRIPTORS)
    try:
        return CallerLimits(
            int(_number(table, "memoryBytes", memory_bytes, "callers")),
            int(_number(table, "descriptors", descriptors, "callers")),
        )
    except (ValueError, OverflowError) as exc:
        raise SettingsError(f"$.callers: {exc}") from None


def _answer_limits(table: dict[str, Any]) -> AnswerLimits:
    def number(name: str, default: float) -> float:
        value = _number(table, name, default, "answers")
        if not 0 < value < MAX_NUMBER:
            raise SettingsError(f"$.answers.{name}: must be above 0, found {value!r}")
        return value

    limits = DEFAULT_LIMITS
    return AnswerLimits(
        head_bytes=int(number("headBytes", limits.head_bytes)),
        head_timeout_s=number("headTimeoutMs", limits.head_timeout_s * 1_000) / 1_000,
        framing_bytes=int(number("framingBytes", limits.framing_bytes)),
        event_bytes=int(number("eventBytes", limits.event_bytes)),
        body_bytes=int(number("bodyBytes", limits.body_bytes)),
        endpoint_bytes=int(number("endpointBytes", limits.endpoint_bytes)),
    )


def _first_port(data: dict[str, Any]) -> int:
    ports = data.get("internalPorts")
    if not isinstance(ports, list) or not ports or not isinstance(ports[0], int):
        raise SettingsError(
            f"$.internalPorts: expected a list of ports, found {ports!r}"
        )
    return ports[0]


def _table(data: dict[str, Any], name: str) -> dict[str, Any]:
    value = data.get(name, {})
    if not isinstance(value, dict):
        raise SettingsError(f"$.{name}: expected a table, found {value!r}")
    return value


def _text(data: dict[str, Any], name: str, where: str = "") -> str:
    value = data.get(name)
    if not isinstance(value, str) or not value:
        raise SettingsError(f"$.{where}{name}: expected text, found {value!r}")
    return value


def _number(
    data: dict[str, Any], name: str, default: float, table: str = "bounds"
) -> float:
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise SettingsError(f"$.{table}.{name}: expected a number, found {value!r}")
    return float(value)
