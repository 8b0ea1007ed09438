#!/bin/sh
# Prepares the stand-ins of this review. They are Python and need nothing but what the deploy
# file's own build has put under target/deps; compiling them shows that they can be read.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps python3 -m compileall -q tests/keyed_log.py review > /dev/null || exit 1
PYTHONPATH=target/deps python3 -c "import sys; sys.path.insert(0, 'review'); import standins"
