#!/bin/sh
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x .venv/bin/python ] || { echo "could not run: no .venv, run the build of the deploy file"; exit 2; }
exec .venv/bin/python review/10/case.py
