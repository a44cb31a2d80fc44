"""Starts of single processes for `start_up_time.py`, without others beside them."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
from typing import Any

from benchmarks.start_up_rounds import ROOT
from petrellane.testbed.endpoint_rows import build_endpoint_row
from petrellane.testbed.fleet_spec import SettingsSpec, build_settings

KNOWN_HOSTS = 200
STARTED = b'"started"'
BARE_COMMAND = ["-c", "print('\"started\"', flush=True)"]
PROGRAM_COMMAND = ["-m", "petrellane", "serve"]
# Methods beyond the basic ones; None is the bare interpreter.
CASES = (("interpreter", None), ("6 methods", 3), ("1000 methods", 997))


def build_config(extra_methods: int) -> dict[str, Any]:
    """Return a configuration with 200 known endpoints."""
    endpoints = [
        build_endpoint_row(f"h{number}", f"127.99.0.1:{3000 + number}")
        for number in range(KNOWN_HOSTS)
    ]
    names = [f"m{number}" for number in range(extra_methods)]
    return {
        "name": "g",
        "listen": "127.99.0.1:2000",
        "discovery": "127.99.0.1:2001",
        "counter": "127.99.0.1:2002",
        "seed": "1",
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "settings": build_settings(SettingsSpec(200, extra_methods=names)),
    }


def measure_start(command: list[str], config_path: pathlib.Path) -> tuple[float, float]:
    """Start a process and kill it once it has started; return CPU milliseconds and MB."""
    process = subprocess.Popen(
        [sys.executable, *command],
        stdout=subprocess.PIPE,
        cwd=ROOT,
        env={**os.environ, "PROXY_CONFIG": str(config_path)},
    )
    output = process.stdout
    if output is None:
        raise RuntimeError("start: expected a pipe to its output, found none")
    next(line for line in output if STARTED in line)
    os.kill(process.pid, signal.SIGKILL)
    _, _, usage = os.wait4(process.pid, 0)
    process.returncode = 0
    output.close()
    return (usage.ru_utime + usage.ru_stime) * 1e3, usage.ru_maxrss / 1024


def measure_single_starts(times: int) -> dict[str, list[float]]:
    """Return the median CPU milliseconds and MB of starts up to `started`, by case."""
    medians = {}
    with tempfile.TemporaryDirectory() as folder:
        config_path = pathlib.Path(folder) / "config.json"
        for name, extra_methods in CASES:
            config_path.write_text(json.dumps(build_config(extra_methods or 0)))
            command = BARE_COMMAND if extra_methods is None else PROGRAM_COMMAND
            costs = sorted(measure_start(command, config_path) for _ in range(times))
            medians[name] = [round(value, 1) for value in costs[times // 2]]
    return medians
