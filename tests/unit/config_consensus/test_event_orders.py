"""The guarantees of config consensus in a simulated network.

The tests execute all orders of requests, losses, duplicates and crashes in small fleets, and orders
that a seed or hypothesis determines in larger ones.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tests.unit.config_consensus.convergence import heal
from tests.unit.config_consensus.exploration import SHARED_NAME, explore, play_seed
from tests.unit.config_consensus.fleet_steps import Budget
from tests.unit.config_consensus.simulated_fleet import SimulatedFleet

MAX_DEPTH = 99
MAX_STATES = 10_000
SEED_COUNT = 2_500


@pytest.mark.parametrize(
    ("participant_count", "controls", "budget", "minimum_states"),
    [
        pytest.param(2, ("a",), Budget(), 2_000, id="two-gateways"),
        pytest.param(3, ("a",), Budget(faults=0), 3_000, id="three-gateways"),
        pytest.param(2, ("a", "b"), Budget(crashes=0, faults=0), 2_000, id="two-control-processes"),
    ],
)
def test_all_orders_of_events(
    participant_count: int, controls: tuple[str, ...], budget: Budget, minimum_states: int
) -> None:
    """No order of events violates a guarantee, and the exploration reaches many states."""
    fleet = SimulatedFleet(participant_count, controls, budget)
    state_count, violation = explore(fleet, MAX_DEPTH, MAX_STATES)
    assert violation is None
    assert state_count > minimum_states


def test_a_control_process_that_loses_its_journal() -> None:
    """A control process that restarts with an empty journal violates no guarantee."""
    fleet = SimulatedFleet(3, ("a",), Budget(crashes=2, faults=0, journal_losses=1))
    assert explore(fleet, MAX_DEPTH, max_states=12_000).violation is None


@pytest.mark.parametrize("crashes", [0, 1])
def test_a_control_process_that_is_replaced_under_its_name(crashes: int) -> None:
    """Guards against two contents under one ballot.

    A control process is replaced by one with an empty journal and the same name, and goes on.
    """
    budget = Budget(proposals=2, crashes=crashes, faults=0)
    fleet = SimulatedFleet(2, ("a", "b"), budget, SHARED_NAME)
    state_count, violation = explore(fleet, MAX_DEPTH, MAX_STATES)
    assert violation is None
    assert state_count > 2_000


def test_seeded_runs_of_up_to_five_gateways() -> None:
    """No run of random steps violates a guarantee."""
    for seed in range(SEED_COUNT):
        assert play_seed(seed) is None, seed


class LargerFleet(RuleBasedStateMachine):
    """Six gateways and two control processes, whose steps hypothesis chooses; healed at the end."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = SimulatedFleet(6, ("a", "b"), Budget(proposals=3, crashes=6, faults=12))

    @rule(choice=st.integers(0, 10_000))
    def step(self, choice: int) -> None:
        """Take one of the possible steps."""
        steps = self.fleet.available_steps()
        if steps:
            self.fleet.take(steps[choice % len(steps)])

    @invariant()
    def guarantee_holds(self) -> None:
        """Check that one generation allows everything that the gateways admit."""
        assert self.fleet.violation() is None

    def teardown(self) -> None:
        """Heal the fleet and check that it converges."""
        assert heal(self.fleet) is None


class ReplacedControlProcess(LargerFleet):
    """Three gateways, and two control processes that share a name and have a journal each."""

    def __init__(self) -> None:
        super().__init__()
        budget = Budget(proposals=3, crashes=2, faults=4)
        self.fleet = SimulatedFleet(3, ("a", "b"), budget, SHARED_NAME)


@pytest.mark.parametrize("machine", [LargerFleet, ReplacedControlProcess])
def test_larger_fleets(machine: type[LargerFleet]) -> None:
    """No run of a larger fleet violates a guarantee."""
    run_state_machine_as_test(
        machine,
        settings=settings(max_examples=60, stateful_step_count=60, derandomize=True, deadline=None),
    )
