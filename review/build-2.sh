#!/usr/bin/env bash
# Checks the stand-ins of the second review: all of them are Python and run in .venv-run, which the deploy file's build
# makes, so that there is nothing else to build. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv-run/bin/python - <<'PYTHON'
import pathlib

for path in sorted(pathlib.Path("review/stand_ins_2").glob("*.py")) + sorted(pathlib.Path("review").glob("[0-9]*/case.py")):
    compile(path.read_bytes(), str(path), "exec")
import msgspec  # noqa: E402, F401

import rackhub.net.tds.codec  # noqa: E402, F401
import review.stand_ins_2.tds  # noqa: E402, F401

print("stand-ins of the second review: ready")
PYTHON
