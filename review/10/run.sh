#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONDONTWRITEBYTECODE=1 timeout 110 python3 review/10/run.py
status=$?
[ "$status" -eq 0 ] || [ "$status" -eq 1 ] || exit 2
exit "$status"
