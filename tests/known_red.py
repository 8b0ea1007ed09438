"""Which failures of a test run are listed in ``KNOWN-RED.txt``.

Used by ``scripts/test``: ``python -m tests.known_red OUTPUT`` reads what the test
runner printed, names each failure that is listed and each listed test that did not
fail, and prints last how many failures are listed.
"""

import pathlib
import re
import sys

LIST = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"
_TEST = r"(tests\.[\w.]+(?::\d+)?)"
# A row of a table prints its parameters on a line of their own before the test's id.
_FAILURE = re.compile(rf"^(?:FAIL|ERROR): \S+(?:\n[^\n]*?)? \({_TEST}", re.M)
_ENTRY = re.compile(rf"^{_TEST}: ", re.M)


def judge(output: str, listed: str) -> tuple[list[str], int]:
    """Lines to print, and how many failures are listed.

    :param output: what the test runner printed.
    :param listed: the text of the list: a line an entry, the test's id first; of a
        table of parameters the row's number too.
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
    """Print the judgement of one run's output."""
    listed = LIST.read_text() if LIST.exists() else ""
    lines, known = judge(pathlib.Path(path).read_text(errors="replace"), listed)
    print(*lines, known, sep="\n")


if __name__ == "__main__":
    main(sys.argv[1])
