"""``celerytrack-gateway``: run one entry on the users' platform."""

import gc
import sys

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from celerytrack import STARTED_S
from celerytrack.cli._serve import run
from celerytrack.gateway.logs import setup_bounded_logging
from celerytrack.gateway.server import EntryServer
from celerytrack.gateway.state import Gateway
from celerytrack.platform.settings import SettingsError, load_settings, settings_path


class RunCommand(Command):
    """Run one entry on the users' platform."""

    name = "run"
    description = "Run one entry until SIGTERM (which drains it)."
    options = [
        option(
            "settings",
            "s",
            "Settings file; by default $CELERYTRACK_SETTINGS.",
            flag=False,
        )
    ]

    def handle(self) -> int:
        given = self.option("settings")
        path = type(settings_path())(str(given)) if given else settings_path()
        try:
            settings = load_settings(path)
        except SettingsError as exc:
            self.line_error(f"<error>settings: {exc}</error>")
            return 2
        setup_bounded_logging(settings.entry_id)
        status = 1

        async def main() -> None:
            nonlocal status
            status = await EntryServer(Gateway(settings, STARTED_S), path).run()

        run(main)
        # The process exits next: a garbage collection at exit would free nothing of
        # use and take a part of the grace time.
        gc.freeze()
        return status


def main() -> int:
    """Console script entry point."""
    app = Application("celerytrack-gateway", "0.1.0")
    app.add(RunCommand())
    return app.run()


if __name__ == "__main__":
    sys.exit(main())
