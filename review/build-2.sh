#!/bin/sh
# Compiles the stand-ins of cases 6 to 10: the store, the replicas and the callers, which
# use the interpreter's own library alone. The scripts start no other program but the
# system's own, which the build of the deploy file makes.
set -e
cd "$(dirname "$0")/.."
exec python3 -m py_compile review/parts_2.py review/[6-9]/case.py review/10/case.py
