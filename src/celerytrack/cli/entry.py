"""``celerytrack-entry``: run one entry instance."""

import logging

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from celerytrack.cli._serve import run, serve
from celerytrack.entry.app import make_app
from celerytrack.entry.state import EntryState
from celerytrack.events import Event, log_event, setup_logging
from celerytrack.settings import FleetSettings, SettingsError, load_json

_log = logging.getLogger("celerytrack.entry")


class RunCommand(Command):
    """Serve callers as one entry of a fleet."""

    name = "run"
    description = "Run one entry instance until SIGTERM (which drains it)."
    options = [
        option("settings", "s", "Fleet settings JSON.", flag=False),
        option("entry-id", "e", "Which entry of the settings this is.", flag=False),
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
            async def stop() -> None:
                log_event(_log, Event.PROCESS_STOPPING, entry=entry_id)
                await entry.drain()
                await entry.stop()

            await serve(make_app(entry), entry.spec.address, entry.start, stop)
            log_event(_log, Event.PROCESS_STOPPED, entry=entry_id)

        run(main)
        return 0


def main() -> int:
    """Console script entry point."""
    app = Application("celerytrack-entry", "0.1.0")
    app.add(RunCommand())
    return app.run()
