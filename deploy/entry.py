"""Starts one entry from a checkout: puts ``src`` on the path, then runs it."""

import pathlib
import signal
import sys

# The settings are read once all is loaded; until then news of them ends nothing.
signal.signal(signal.SIGHUP, signal.SIG_IGN)
sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from celerytrack.cli.gateway import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
