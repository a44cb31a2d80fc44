#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python and use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins_2.py petrellane/testbed
