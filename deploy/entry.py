"""Starts one entry from a checkout: puts ``src`` on the path, then runs it."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from celerytrack.cli.gateway import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
