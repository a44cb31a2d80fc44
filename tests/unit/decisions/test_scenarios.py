"""Each scenario file of the decisions is played with five seeds."""

import pathlib

import pytest

from tests.scenario_files import play_with_seeds, scenario_files
from tests.unit.decisions.scenario import DecisionScenario

FOLDER = pathlib.Path(__file__).parent / "scenarios"
SEEDS = 5


@pytest.mark.parametrize("path", scenario_files(FOLDER), ids=lambda path: path.stem)
def test_scenario(path: pathlib.Path) -> None:
    """What the file expects holds with each seed."""
    play_with_seeds(path, DecisionScenario, SEEDS)
