"""Command line of the soak of processes."""

import argparse
import asyncio
import pathlib
import shutil
import sys
import tempfile

from tests.gateway_processes import ROOT
from tests.process_soak.calls import Found
from tests.process_soak.endpoint import STUTTERS
from tests.process_soak.plan import FAULTS, OUT_OF_STEP
from tests.process_soak.site import Options
from tests.process_soak.soak import soak


def _names(text: str) -> tuple[str, ...]:
    return tuple(name for name in text.split(",") if name)


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="python -m tests.process_soak")
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--entries", type=int, default=3)
    parser.add_argument("--endpoints", type=int, default=5)
    parser.add_argument("--faults", type=_names, default=FAULTS + OUT_OF_STEP)
    parser.add_argument("--stutters", type=_names, default=STUTTERS)
    parser.add_argument("--framed", action="store_true", help="each answer is")
    parser.add_argument("--tree", type=pathlib.Path, default=ROOT)
    parser.add_argument("--keep", type=pathlib.Path, help="folder for what is kept")
    return parser.parse_args(arguments)


def _table(found: Found) -> str:
    rows = [f"{count:7}  {name}" for name, count in sorted(found.counts.items())]
    rows += [f"{n:7}  WRONG {name}" for name, n in sorted(found.wrong.items())]
    rows += [f"{len(found.mixed):7}  streams of two versions"]
    return "\n".join(rows)


def main(arguments: list[str]) -> int:
    """Play one seed; keep what shows a broken promise."""
    given = _parse(arguments)
    folder = pathlib.Path(
        tempfile.mkdtemp(prefix=f"process-soak-{given.seed}-", dir=given.keep)
    )
    options = Options(
        seed=given.seed,
        seconds=given.seconds,
        entries=given.entries,
        endpoints=given.endpoints,
        faults=given.faults,
        stutters=given.stutters,
        tree=given.tree.resolve(),
        folder=folder,
        unframed=not given.framed,
    )
    found = asyncio.run(soak(options))
    print(f"seed {given.seed}, {given.seconds:g} s")
    print(_table(found))
    if found.wrong:
        print(f"kept: {folder}")
        return 1
    shutil.rmtree(folder)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
