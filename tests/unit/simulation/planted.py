"""Rules broken on purpose by one line of the decisions: how many scenarios the hunt needs to find each."""

import importlib
import os
import pathlib
import sys
import tomllib
import types
from concurrent.futures import ProcessPoolExecutor
from unittest import mock

from petrellane import decisions
from petrellane.simulation.fleet import FleetSimulation
from petrellane.simulation.scenario_generation import generate_scenario

CHANGES = tomllib.loads((pathlib.Path(__file__).parent / "planted.toml").read_text())["change"]


ROOT = pathlib.Path(decisions.__file__).parent
# What the simulation makes and looks at itself: a planted run uses the real ones.
SHARED = {"actions", "types"}


def planted(change):
    """The controller's class out of a copy of all decisions in which one line of one module is changed."""
    path = ROOT / f"{change['module']}.py"
    text = path.read_text()
    assert text.count(change["before"]) == 1, (
        f"{change['name']}: its line must stand in {path.name} once"
    )
    package = decisions.__name__
    module = types.ModuleType(f"{package}.{change['module']}")
    with mock.patch.dict(sys.modules), mock.patch.dict(vars(decisions)):
        for other in ROOT.glob("*.py"):
            if other.stem not in SHARED:
                sys.modules.pop(f"{package}.{other.stem}", None)
                vars(decisions).pop(other.stem, None)
        sys.modules[module.__name__] = module
        setattr(decisions, change["module"], module)
        exec(
            compile(text.replace(change["before"], change["after"]), change["name"], "exec"),
            module.__dict__,
        )
        return importlib.import_module(f"{package}.controller").AdmissionController


def needed(change, first=0):
    """The number of the first scenario that shows the break, or None within its seeds; `first` is the change's or 1."""
    gateway, first = planted(change), first or change.get("first", 1)
    for seed in range(first, first + change["seeds"]):
        if (
            change["rule"]
            in FleetSimulation(generate_scenario(seed), gateway).play().verdict.counts
        ):
            return seed - first + 1
    return None


def main():
    """Print what each needs, from a few first seeds."""
    firsts = [int(word) for word in sys.argv[1:]] or [0]
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        jobs = [(change, first) for change in CHANGES for first in firsts]
        for (change, first), result in zip(
            jobs, pool.map(needed, *zip(*jobs, strict=True)), strict=True
        ):
            print(
                f"{change['rule']:9} {change['name']:60} from {first}: {result} of {change['seeds']}",
                flush=True,
            )


if __name__ == "__main__":
    main()
