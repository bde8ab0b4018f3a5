#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python programs, so this checks that they can be run; the gateway
# is built by the line `build` of deploy/system.toml.
cd "$(dirname "$0")/.." || exit 1
set -e
for it in review/lib-2/*.py review/7/run.py review/8/run.py review/9/run.py review/10/run.py tests/platform/standin_server.py tests/platform/standin_store.py; do
  [ -f "$it" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$it"
done
test -x target/bin/gentianloom-gateway
