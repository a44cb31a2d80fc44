"""Plays one run of `scale.py` in a process of its own.

    python benchmarks/scale_play.py JSON

JSON is the run's shape, whose `kind` names one of KINDS; the figures come back as one JSON line.
The build that is played is the one that PYTHONPATH names.

A module run has a whole gateway without sockets' peers, on a simulated clock. RPCs of made-up
customers come at random times and are answered after 10 to 100 ms (one in a hundred attempts finds
its endpoint full), and a counter without faults answers within 2 ms. A run ends at its simulated
length or once it has used its CPU seconds, whichever is first. Memory is by how much the resident
size of the process grew.
"""

import json
import pathlib
import sys
from collections.abc import Callable
from typing import Any

HERE = pathlib.Path(__file__).resolve().parent
sys.path.append(str(HERE.parent))  # after the build that PYTHONPATH names

import benchmarks

# The script's own modules come from beside it, also where PYTHONPATH names another build.
benchmarks.__path__ = [str(HERE)]

from benchmarks import scale_fleet_runs, scale_module_runs

KINDS: dict[str, Callable[[dict[str, Any]], dict[str, Any]]] = {
    "module": scale_module_runs.run_module,
    "replaced": scale_module_runs.run_replaced,
    "zone": scale_module_runs.run_zone,
    "seen_once": scale_module_runs.run_seen_once,
    "fifty": scale_module_runs.run_fifty,
    "spread": scale_fleet_runs.run_spread,
    "sets": scale_fleet_runs.run_sets,
    "hollow": scale_fleet_runs.run_hollow,
}


def main(text: str) -> None:
    """Play the run of a shape and print its figures."""
    shape = json.loads(text)
    print(json.dumps(KINDS[shape["kind"]](shape)))


if __name__ == "__main__":
    main(sys.argv[1])
