"""Which failures of a test run are listed in ``KNOWN-RED.txt``.

Used by ``scripts/test``: ``python -m tests.known_red OUTPUT`` reads the output of the
test runner and prints each listed failure, each listed test that did not fail, and
last the number of listed failures.
"""

import pathlib
import re
import sys

LIST = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
_TEST = r"(tests\.[\w.]+(?::\d+)?)"
# For a parametrised test, the parameters are on a separate line before the test's id.
_FAILURE = re.compile(rf"^(?:FAIL|ERROR): \S+(?:\n[^\n]*?)? \({_TEST}", re.M)
_ENTRY = re.compile(rf"^{_TEST}: ", re.M)


def judge(output: str, listed: str) -> tuple[list[str], int]:
    """Lines to print, and the number of failures that are listed.

    :param output: output of the test runner.
    :param listed: text of the list: one entry a line that starts with the test's id,
        with the number of the parameter row for a parametrised test.
    """
    known = set(_ENTRY.findall(listed))
    failed = _FAILURE.findall(output)
    lines = [f"known red, passed over: {test}" for test in failed if test in known]
    lines += [
        f"known red, but it did not fail: {test}"
        for test in sorted(known - set(failed))
    ]
    return lines, sum(test in known for test in failed)


def main(path: str) -> None:
    """Print which failures in the output of a run are listed."""
    listed = LIST.read_text() if LIST.exists() else ""
    lines, known = judge(pathlib.Path(path).read_text(errors="replace"), listed)
    print(*lines, known, sep="\n")


if __name__ == "__main__":
    main(sys.argv[1])
