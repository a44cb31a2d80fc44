"""Runs each scenario file of a complete gateway once, on loopback sockets."""

import pathlib

import pytest

from tests.integration.gateway.scenario import GatewayScenario
from tests.scenario_files import play_with_seeds, scenario_files

FOLDER = pathlib.Path(__file__).parent / "scenarios"
SEEDS = 1
SEED_NAMES = {"discovery-response-without-length": "discovery-endless.txt"}
"""The names that seed renamed files whose checks do not hold for every seed."""


@pytest.mark.parametrize("path", scenario_files(FOLDER), ids=lambda path: path.stem)
def test_scenario(path: pathlib.Path) -> None:
    """All checks of the scenario file pass."""
    play_with_seeds(path, GatewayScenario, SEEDS, SEED_NAMES.get(path.stem, ""))
