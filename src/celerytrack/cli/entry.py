"""``celerytrack-entry``: run one entry instance."""

import logging

from aiohttp import web
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from celerytrack.callers.sites import CallerSite
from celerytrack.cli._serve import run, serve
from celerytrack.entry.app import make_app
from celerytrack.entry.relay_server import open_relay
from celerytrack.entry.state import EntryState
from celerytrack.entry.stopping import LISTENER_S, finish_by
from celerytrack.events import Event, log_event, setup_logging
from celerytrack.settings import FleetSettings, SettingsError, load_json

_log = logging.getLogger("celerytrack.entry")


class RunCommand(Command):
    """Run one entry of a fleet."""

    name = "run"
    description = "Run one entry instance until SIGTERM (which drains it)."
    options = [
        option("settings", "s", "Fleet settings JSON.", flag=False),
        option("entry-id", "e", "Id of this entry in the settings.", flag=False),
        option("log-level", None, "Logging level.", flag=False, default="INFO"),
    ]

    def handle(self) -> int:
        entry_id = str(self.option("entry-id"))
        setup_logging(f"entry:{entry_id}", str(self.option("log-level")))
        try:
            fleet = load_json(str(self.option("settings")), FleetSettings)
            fleet.entry(entry_id)
        except SettingsError as exc:
            self.line_error(f"<error>settings: {exc}</error>")
            return 2
        entry = EntryState(fleet, entry_id)

        async def main() -> None:
            relay: list[web.AppRunner | None] = []

            async def start() -> None:
                await entry.start()
                relay.append(await open_relay(entry))

            async def stop(runner: web.AppRunner) -> None:
                await _stop(entry, runner, relay[0])

            def make_site(runner: web.AppRunner, address: str) -> web.BaseSite:
                table = entry.callers.table("front")
                return CallerSite(runner, address, table)

            await serve(
                make_app(entry),
                entry.spec.address,
                start,
                stop,
                LISTENER_S / 2,
                make_site,
            )

        run(main)
        return 0


async def _stop(
    entry: EntryState, runner: web.AppRunner, relay: web.AppRunner | None
) -> None:
    log_event(_log, Event.PROCESS_STOPPING, entry=entry.entry_id)
    times = await entry.stop()
    # Answers in flight still need the connections.
    await finish_by(times.listener_until_s, runner.cleanup())
    if relay is not None:
        await finish_by(times.listener_until_s, relay.cleanup())
    entry.log_stage("listener closed", times)
    await finish_by(times.connections_until_s, entry.close())
    log_event(
        _log,
        Event.PROCESS_STOPPED,
        entry=entry.entry_id,
        in_flight=entry.in_flight,
        ledger_backlog=entry.grant_manager.writer.backlog,
    )


def main() -> int:
    """Console script entry point."""
    app = Application("celerytrack-entry", "0.1.0")
    app.add(RunCommand())
    return app.run()
