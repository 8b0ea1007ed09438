#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$case_folder/../.." || exit 2
PYTHONPATH=target/deps exec python3 "$case_folder/run.py"
