"""``celerytrackctl``: the operators' tool.

``validate`` reads a local file. ``apply``, ``topup``, ``drain`` and ``status`` connect
to the platform log, the instance list or the entries; ``suspects`` and ``lift`` connect
to the log of the users' platform. ``explain``, ``summary``, ``limits``, ``notices``
and ``slo`` read log lines from standard input. No command keeps state of its own.
"""

import asyncio
import json
import time
import uuid
from collections.abc import Collection
from typing import Any

import aiohttp
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from returns.result import Failure, Success

from celerytrack.cli.log_commands import (
    ExplainCommand,
    LimitsCommand,
    NoticesCommand,
    SloCommand,
    SummaryCommand,
)
from celerytrack.cli.suspect_commands import LiftCommand, SuspectsCommand
from celerytrack.entry.config_follower import CONFIG_STREAM, config_record
from celerytrack.entry.ledger_writer import LEDGER_STREAM
from celerytrack.logclient import LogClient, LogErrorKind
from celerytrack.settings import Config, FleetSettings, SettingsError, load_json

_SETTINGS = option("settings", "s", "Fleet settings JSON.", flag=False)
_ATTEMPTS = 10
_RETRY_S = 0.3
_DRAIN_TIMEOUT_S = 5.0


class ValidateCommand(Command):
    """Check a configuration file without publishing it."""

    name = "validate"
    description = "Check a configuration file; print each invalid field and why."
    arguments = [argument("file", "Configuration JSON.")]

    def handle(self) -> int:
        try:
            config = load_json(str(self.argument("file")), Config)
        except SettingsError as exc:
            self.line_error(f"<error>invalid: {exc}</error>")
            return 2
        self.line(
            f"valid: {config.deployment}, {len(config.classes)} classes, "
            f"{len(config.accounts)} accounts"
        )
        return 0


def _last_version(last: tuple[int, Any] | None) -> tuple[int, int]:
    """Return the last record's offset and the configuration version in it.

    Entries republish the version in force before retention drops it. The copy has a
    later offset but keeps its version; otherwise every operator who is preparing a
    change would get a conflict.
    """
    if last is None:
        return -1, -1
    offset, record = last
    return offset, int(record.get("version_of", offset))


async def apply_config(
    log: LogClient, config: dict[str, Any], base_version: int | None
) -> tuple[int, str]:
    """Publish ``config`` if the version in force is still ``base_version``.

    :param base_version: the version that the operator's change is based on;
        ``None`` for the version that is in force now.
    :returns: ``(version, "")`` on success, ``(-1, reason)`` otherwise.
    """
    for _ in range(_ATTEMPTS):
        match await log.last(CONFIG_STREAM):
            case Success(last):
                last_offset, in_force = _last_version(last)
            case Failure(_):
                await asyncio.sleep(_RETRY_S)
                continue
        if base_version is not None and base_version != in_force:
            return -1, (
                f"conflict: version {in_force} is in force, your change is "
                f"based on {base_version}; merge and apply again"
            )
        base = base_version = in_force
        record = config_record(config, base, time.time())
        match await log.append(CONFIG_STREAM, [record], last_offset + 1):
            case Success(appended):
                return appended.first_offset, ""
            case Failure(error) if error.kind is LogErrorKind.CONFLICT:
                # Another writer appended first. Read again: a republished copy of
                # the same version is harmless; another operator's change is a
                # conflict and is never merged silently.
                continue
            case Failure(error) if error.kind is LogErrorKind.UNKNOWN_OUTCOME:
                # The reply was lost: check whether our record is the last one.
                match await log.last(CONFIG_STREAM):
                    case Success((offset, found)) if found == record:
                        return offset, ""
        await asyncio.sleep(_RETRY_S)
    return -1, f"the platform log did not confirm the record in {_ATTEMPTS} attempts"


class ApplyCommand(Command):
    """Publish a configuration on the log."""

    name = "apply"
    description = "Publish a valid configuration; fail if another change came first."
    arguments = [argument("file", "Configuration JSON.")]
    options = [
        _SETTINGS,
        option("base-version", "b", "Version your change is based on.", flag=False),
    ]

    def handle(self) -> int:
        try:
            config = load_json(str(self.argument("file")), Config)
            fleet = load_json(str(self.option("settings")), FleetSettings)
        except SettingsError as exc:
            self.line_error(f"<error>invalid: {exc}</error>")
            return 2
        raw = json.loads(open(str(self.argument("file"))).read())
        base = self.option("base-version")
        base_version = int(base) if base is not None else None

        async def go() -> tuple[int, str]:
            log = LogClient(fleet.platform.log_address, "celerytrackctl")
            try:
                return await apply_config(log, raw, base_version)
            finally:
                await log.close()

        version, reason = asyncio.run(go())
        if version < 0:
            self.line_error(f"<error>{reason}</error>")
            return 3
        self.line(f"applied {config.deployment} as version {version}")
        return 0


async def topup(log: LogClient, account: str, tokens: int, topup_id: str) -> bool:
    """Append a top-up; return whether the log confirmed it.

    Retries use the same id, so that it is credited once.
    """
    record = {
        "type": "topup",
        "account": account,
        "tokens": tokens,
        "topup_id": topup_id,
    }
    for _ in range(_ATTEMPTS):
        match await log.append(LEDGER_STREAM, [record]):
            case Success(_):
                return True
        await asyncio.sleep(_RETRY_S)
    return False


class TopupCommand(Command):
    """Add tokens to an account's prepaid budget."""

    name = "topup"
    description = "Add tokens to an account's budget (idempotent by --topup-id)."
    arguments = [argument("account", "Account id."), argument("tokens", "Tokens.")]
    options = [
        _SETTINGS,
        option("topup-id", None, "Idempotency id; random by default.", flag=False),
    ]

    def handle(self) -> int:
        fleet = load_json(str(self.option("settings")), FleetSettings)
        topup_id = str(self.option("topup-id") or uuid.uuid4().hex)

        async def go() -> bool:
            log = LogClient(fleet.platform.log_address, "celerytrackctl")
            try:
                return await topup(
                    log,
                    str(self.argument("account")),
                    int(self.argument("tokens")),
                    topup_id,
                )
            finally:
                await log.close()

        if not asyncio.run(go()):
            self.line_error(
                "<error>the platform log did not confirm the record "
                f"in {_ATTEMPTS} attempts</error>"
            )
            return 3
        self.line(f"topped up {self.argument('account')} by {self.argument('tokens')}")
        return 0


async def start_drain(fleet: FleetSettings, target: str) -> list[str]:
    """Mark ``target`` as leaving in the instance list; drain it if it is an entry.

    Both requests are sent at once, so that an unresponsive instance list does not
    delay the entry's drain, nor the reverse.

    :returns: the receivers that did not confirm.
    """
    calls = {
        "the instance list": (
            f"http://{fleet.platform.instances_address}/instances/{target}",
            {"state": "leaving"},
        )
    }
    for spec in fleet.entries:
        if spec.entry_id == target:
            calls[target] = (f"http://{spec.address}/admin/drain", {})
    async with aiohttp.ClientSession() as http:
        oks = await asyncio.gather(*(_post(http, *call) for call in calls.values()))
    return [name for name, ok in zip(calls, oks, strict=True) if not ok]


async def _post(http: aiohttp.ClientSession, url: str, body: dict[str, Any]) -> bool:
    timeout = aiohttp.ClientTimeout(total=_DRAIN_TIMEOUT_S)
    try:
        async with http.post(url, json=body, timeout=timeout) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, TimeoutError):
        return False


class DrainCommand(Command):
    """Take an entry or a replica out of service without aborting requests."""

    name = "drain"
    description = "Mark an entry or replica as leaving; an entry is also drained."
    arguments = [argument("instance", "Entry or replica id.")]
    options = [_SETTINGS]

    def handle(self) -> int:
        fleet = load_json(str(self.option("settings")), FleetSettings)
        target = str(self.argument("instance"))

        failed = asyncio.run(start_drain(fleet, target))
        if failed:
            self.line_error(
                f"<error>no confirmation from: {', '.join(failed)}; "
                "run the command again</error>"
            )
            return 3
        self.line(f"{target} is leaving")
        return 0


class StatusCommand(Command):
    """Show each entry's configuration version, held tokens and ledger backlog."""

    name = "status"
    description = "Show every entry's status."
    options = [_SETTINGS, option("json", None, "Print JSON.")]

    def handle(self) -> int:
        fleet = load_json(str(self.option("settings")), FleetSettings)

        async def one(http: aiohttp.ClientSession, address: str) -> dict[str, Any]:
            try:
                timeout = aiohttp.ClientTimeout(total=2.0)
                async with http.get(f"http://{address}/status", timeout=timeout) as r:
                    return dict(await r.json())
            except (aiohttp.ClientError, TimeoutError):
                return {"error": "unreachable"}

        async def go() -> list[dict[str, Any]]:
            async with aiohttp.ClientSession() as http:
                return list(
                    await asyncio.gather(*(one(http, e.address) for e in fleet.entries))
                )

        rows = asyncio.run(go())
        if self.option("json"):
            self.line(json.dumps(rows))
            return 0
        for spec, row in zip(fleet.entries, rows, strict=True):
            if "error" in row:
                self.line(f"{spec.entry_id:10} {spec.zone:12} unreachable")
                continue
            self.line(
                f"{spec.entry_id:10} {spec.zone:12} config v{row['config_version']}"
                f" held {row['held_tokens']:>7} in_flight {row['in_flight']:>3}"
                f" records queued {row['ledger_backlog']:>3}"
                f"{' draining' if row['draining'] else ''}"
                f"{_limits_text(row.get('limits', {}))}"
                f"{_backoffs_text(row.get('backoffs_s', {}))}"
                f"{_names_text('leaving', row.get('leaving_replicas', []))}"
                f"{_names_text('brittle', row.get('brittle', {}))}"
                f"{_names_text('no links to', row.get('links_down', []))}"
                f"{_versions_text(row.get('versions', {}))}"
            )
        return 0


def _limits_text(limits: dict[str, float]) -> str:
    named = (f"{replica} {limit:g}/s" for replica, limit in sorted(limits.items()))
    return f" limited: {', '.join(named)}" if limits else ""


def _backoffs_text(backoffs_s: dict[str, float]) -> str:
    left = (
        f"{replica} {left_s:.1f} s" for replica, left_s in sorted(backoffs_s.items())
    )
    return f" backing off: {', '.join(left)}" if backoffs_s else ""


def _versions_text(versions: dict[str, dict[str, int]]) -> str:
    """The models whose replicas are of several versions."""
    named = (
        f"{model} {', '.join(f'{v} x{n}' for v, n in sorted(counts.items()))}"
        for model, counts in sorted(versions.items())
        if len(counts) > 1
    )
    text = "; ".join(named)
    return f" versions: {text}" if text else ""


def _names_text(label: str, names: Collection[str]) -> str:
    return f" {label}: {', '.join(sorted(names))}" if names else ""


def main() -> int:
    """Console script entry point."""
    app = Application("celerytrackctl", "0.1.0")
    for command in (
        ValidateCommand(),
        ApplyCommand(),
        TopupCommand(),
        DrainCommand(),
        StatusCommand(),
        ExplainCommand(),
        SummaryCommand(),
        LimitsCommand(),
        NoticesCommand(),
        SloCommand(),
        SuspectsCommand(),
        LiftCommand(),
    ):
        app.add(command)
    return app.run()
