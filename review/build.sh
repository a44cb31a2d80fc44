#!/bin/sh
# Builds every stand-in that the cases start: Python files of the standard library alone.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
