"""Seeded runs detect each fault that is planted in the rules."""

import pytest

from tests.unit.config_consensus.exploration import play_seed
from tests.unit.config_consensus.planted import FAULTS, planted

SEED_COUNT = 12_000


@pytest.mark.parametrize("fault", FAULTS)
def test_a_planted_fault_is_found(fault: str) -> None:
    """With the fault, at least one seeded run violates a guarantee."""
    with planted(fault):
        assert any(play_seed(seed) for seed in range(SEED_COUNT)), "no seed detects it"
