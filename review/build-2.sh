#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start: Python files of the standard library alone.
# The project's own stand-ins are not used.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2.py review/6 review/7 review/8 review/9 review/10
