"""Faults planted in one line of the decisions, and how many scenarios find each.

`python -m tests.unit.simulation.planted SEED...` prints how many each needs from these seeds on.
"""

import importlib
import itertools
import os
import pathlib
import sys
import tomllib
import types
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from unittest import mock

from petrellane import decisions
from petrellane.decisions.controller import AdmissionController
from petrellane.simulation.fleet import FleetSimulation
from petrellane.simulation.scenario_generation import generate_scenario

DECISIONS = pathlib.Path(decisions.__file__).parent
# What the simulation makes and looks at itself: a run with a planted fault uses the real ones.
SHARED_MODULES = {"actions", "types"}


@dataclass(frozen=True)
class PlantedFault:
    """A change of one place in the decisions.

    Attributes:
        name: What is wrong then.
        module: The module of the decisions that is changed.
        before: The text in it, which must stand there once.
        after: What stands in its place.
        rule: The rule that is broken.
        seeds: Within how many scenarios it is found.
        first: The seed of the first of them.
        missed: Whether so few scenarios do not find it.
    """

    name: str
    module: str
    before: str
    after: str
    rule: str = ""
    seeds: int = 0
    first: int = 1
    missed: bool = False


FAULTS = [
    PlantedFault(**row)
    for row in tomllib.loads(pathlib.Path(__file__).with_suffix(".toml").read_text())["change"]
]


def faulty_controller(fault: PlantedFault) -> type[AdmissionController]:
    """Return the controller's class out of a copy of all decisions that has the fault."""
    path = DECISIONS / f"{fault.module}.py"
    text = path.read_text()
    assert text.count(fault.before) == 1, f"{fault.name}: its line must stand in {path.name} once"
    code = compile(text.replace(fault.before, fault.after), fault.name, "exec")
    package = decisions.__name__
    module = types.ModuleType(f"{package}.{fault.module}")
    with mock.patch.dict(sys.modules), mock.patch.dict(vars(decisions)):
        for other in DECISIONS.glob("*.py"):
            if other.stem not in SHARED_MODULES:
                sys.modules.pop(f"{package}.{other.stem}", None)
                vars(decisions).pop(other.stem, None)
        sys.modules[module.__name__] = module
        setattr(decisions, fault.module, module)
        exec(code, module.__dict__)
        return importlib.import_module(f"{package}.controller").AdmissionController


def scenarios_needed(fault: PlantedFault, first: int = 0) -> int | None:
    """Return the number of the first scenario that shows the fault; None where none of them does.

    Args:
        fault: What is planted.
        first: The seed of the first scenario; 0 for the fault's own.
    """
    controller = faulty_controller(fault)
    first_seed = first or fault.first
    for number in range(fault.seeds):
        run = FleetSimulation(generate_scenario(first_seed + number), controller).play()
        if fault.rule in run.verdict.counts:
            return number + 1
    return None


def main() -> None:
    """Print how many scenarios each fault needs, from a few first seeds."""
    first_seeds = [int(argument) for argument in sys.argv[1:]] or [0]
    jobs = list(itertools.product(FAULTS, first_seeds))
    with ProcessPoolExecutor(os.cpu_count()) as pool:
        results = pool.map(scenarios_needed, *zip(*jobs, strict=True))
        for (fault, first), number in zip(jobs, results, strict=True):
            print(
                f"{fault.rule:9} {fault.name:60} from {first}: {number} of {fault.seeds}",
                flush=True,
            )


if __name__ == "__main__":
    main()
