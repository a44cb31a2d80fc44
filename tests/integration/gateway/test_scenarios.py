"""Each scenario file of a whole gateway on loopback sockets is played once."""

import pathlib

import pytest

from tests.integration.gateway.scenario import GatewayScenario
from tests.scenario_files import play_with_seeds, scenario_files

FOLDER = pathlib.Path(__file__).parent / "scenarios"
SEEDS = 1
SEED_NAMES = {"discovery-response-without-length": "discovery-endless.txt"}
"""Former names of files whose checks do not hold for every seed: their seeds follow from these."""


@pytest.mark.parametrize("path", scenario_files(FOLDER), ids=lambda path: path.stem)
def test_scenario(path: pathlib.Path) -> None:
    """What the file expects holds."""
    play_with_seeds(path, GatewayScenario, SEEDS, SEED_NAMES.get(path.stem, ""))
