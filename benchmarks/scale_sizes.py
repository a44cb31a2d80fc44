"""What `scale.py` varies: sizes with their points, hard cases, and the units of figures."""

import pathlib
from typing import Any, NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
VERSION = 1  # of the file's form
MAXIMUM_JOBS = 3  # runs side by side

# What one run is made of, as JSON for its process; the keys are those of `scale_play.py`.
Shape = dict[str, Any]

MODULE: Shape = {
    "kind": "module",
    "hosts": 52,
    "customers": 200,
    "methods": 40,
    "rpcs": 78.0,
    "seconds": 20.0,
    "budget": 4.0,
}
HOLLOW: Shape = {
    "kind": "hollow",
    "hollow": 120,
    "hosts": 50,
    "methods": 4,
    "customers": 200,
    "seconds": 4.0,
}
# Units by the end of a figure's name; the first that fits counts.
UNITS = (
    ("_ms", "ms"),
    ("_mb", "MB"),
    ("_mb_each", "MB"),
    ("_cpu_s", "cores"),
    ("_s", "s"),
    ("cores", "cores"),
    ("adds_per_rpc", "adds an RPC"),
    ("_messages_in", "messages a second"),
    ("_messages_out", "messages a second"),
    ("_bytes_in", "bytes a second"),
    ("_bytes_out", "bytes a second"),
)
# Ends of figures that say what a run had; no line goes through them.
COUNT_ENDINGS = ("rpcs_measured", "_number", "_changes", "_committed", "_reached")


class Size(NamedTuple):
    """One size that varies while all others stay.

    Attributes:
        key: Its name in a run's shape.
        rest: The rest of that shape.
        points: Its values.
        maximum_runs: Runs for each point, at most.
        side_by_side: How many runs of such sizes are played at once.
    """

    key: str
    rest: Shape
    points: tuple[float, ...]
    maximum_runs: int = 5
    side_by_side: int = MAXIMUM_JOBS

    @property
    def is_module(self) -> bool:
        """Whether it is a size of the module alone, which other checkouts are played with too."""
        return bool(self.rest["kind"] == "module")


SIZES = {
    "hosts": Size("hosts", MODULE, (50, 400, 1_600, 6_500, 13_000)),
    "customers": Size("customers", MODULE | {"seconds": 30.0}, (200, 2_000, 12_000, 47_000)),
    "methods": Size("methods", MODULE, (40, 400, 1_600, 4_100)),
    "rpcs": Size("rpcs", MODULE | {"hosts": 1_300}, (20, 78, 150, 300)),
    "gateways": Size(
        "hollow",
        HOLLOW | {"agreement": True, "list_changes": 1.0, "settings_rate": 0.25},
        (30, 120, 400, 1_200),
        5,
        1,
    ),
    "list_changes": Size("list_changes", HOLLOW | {"seconds": 3.0}, (1, 4, 16, 50), 5, 2),
    "settings_changes": Size(
        "settings_rate", HOLLOW | {"agreement": True}, (0.25, 0.5, 1, 1.5), 5, 2
    ),
    "fleet_rpcs": Size("rpcs", HOLLOW | {"seconds": 3.0}, (100, 300, 600, 1_000), 5, 2),
}
LARGE = MODULE | {"hosts": 13_000, "methods": 4_100, "budget": 25.0}
SPREAD: Shape = {"kind": "spread", "hosts": 12, "rpcs": 900.0, "seconds": 20.0, "budget": 25.0}
CASES: dict[str, Shape] = {
    "half of 13,000 hosts replaced in a minute": LARGE | {"kind": "replaced"},
    "a zone of twelve gone and back cold": LARGE | {"kind": "zone"},
    "47,000 customers each seen once a minute": MODULE
    | {"kind": "seen_once", "customers": 47_000, "budget": 30.0},
    "list changes fifty times a second": LARGE | {"kind": "fifty"},
    "a customer at 3 gateways": SPREAD | {"gateways": 3},
    "a customer at 1,200 gateways": SPREAD | {"gateways": 1_200},
}
SUBSET_CASES: dict[str, Shape] = {
    "hosts in use over gateways": {
        "kind": "sets",
        "gateways": 120,
        "hosts": 1_300,
        "rpcs": 78.0,
        "each": 100,
    }
}


def unit_of(figure: str) -> str:
    """Return the unit of a figure by its name; empty where it has none."""
    return next((unit for ending, unit in UNITS if figure.endswith(ending)), "")


def is_fitted(figure: str) -> bool:
    """Return whether a line is fitted to a figure."""
    return not figure.endswith(COUNT_ENDINGS)
