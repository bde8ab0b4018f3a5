#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python, so they are only checked. The gateway itself comes from
# the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out="$(mktemp -d)"
trap 'rm -rf "$out"' EXIT
python3 - "$out" review/lib/*.py review/[0-9]/*.py tests/platform/standin_server.py tests/platform/standin_store.py <<'CHECK'
import py_compile
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or later is needed")
for n, it in enumerate(sys.argv[2:]):
    py_compile.compile(it, cfile=f"{sys.argv[1]}/{n}.pyc", doraise=True)
CHECK
echo "stand-ins are ready"
