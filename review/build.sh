#!/usr/bin/env bash
# The stand-ins of the cases need nothing but the Python of the deploy file's build (.venv-run): nothing is built here.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x .venv-run/bin/python || { echo "run the build of deploy/balancer.toml first" >&2; exit 1; }
.venv-run/bin/python -m compileall -q review
