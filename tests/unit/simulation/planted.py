"""Faults planted in the source of the decisions, and the search for scenarios that reveal them.

`python -m tests.unit.simulation.planted SEED...` prints how many scenarios the search needs to
reveal each fault, starting from each of these seeds.
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
# The simulation shares instances of these modules' classes with the decisions, so a run with a
# planted fault uses the original modules.
SHARED_MODULES = {"actions", "types"}


@dataclass(frozen=True)
class PlantedFault:
    """A fault that replaces one piece of source text in the decisions.

    Attributes:
        name: A description of the fault.
        module: The module of the decisions that contains the text.
        before: The original text, which occurs in the module exactly once.
        after: The replacement.
        rule: The rule that the fault breaks.
        seeds: The number of scenarios to search.
        first: The seed of the first scenario.
        missed: Whether the fault is known to stay unrevealed in `seeds` scenarios.
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
    """Return the controller class from a copy of the decisions that contains the fault."""
    path = DECISIONS / f"{fault.module}.py"
    text = path.read_text()
    assert text.count(fault.before) == 1, (
        f"{fault.name}: its text must occur in {path.name} exactly once"
    )
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
    """Return the number of scenarios played until one reveals the fault; None if none does.

    Args:
        fault: The planted fault.
        first: The seed of the first scenario; 0 for `fault.first`.
    """
    controller = faulty_controller(fault)
    first_seed = first or fault.first
    for number in range(fault.seeds):
        run = FleetSimulation(generate_scenario(first_seed + number), controller).play()
        if fault.rule in run.verdict.counts:
            return number + 1
    return None


def main() -> None:
    """Print how many scenarios reveal each fault, from each of the first seeds in the arguments."""
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
