#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH=. timeout -k 3 110 .venv-run/bin/python review/3/case.py
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
