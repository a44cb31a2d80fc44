"""Reads the scenario files in `scenarios/`, which `petrellane replay FILE` plays as well."""

import pathlib

from petrellane.simulation.scenario import Scenario
from petrellane.simulation.scenario_files import parse_scenario

SCENARIOS = pathlib.Path(__file__).parent / "scenarios"
SCENARIO_NAMES = sorted(path.stem for path in SCENARIOS.glob("*.ndjson"))


def read_scenario(name: str) -> Scenario:
    """Return the scenario of a file, given the file's name without its suffix."""
    path = SCENARIOS / f"{name}.ndjson"
    return parse_scenario(path.read_text(), path.name)
