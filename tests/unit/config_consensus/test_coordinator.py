"""Changes that a coordinator accepts, decides and rejects, in a simulated fleet without faults."""

import pytest

from petrellane.config_consensus import errors, messages, participant
from petrellane.config_consensus.changes import ChangeOutcome
from petrellane.config_consensus.coordinator import Coordinator
from tests.unit.config_consensus.fleet_steps import Step, StepKind
from tests.unit.config_consensus.settings_examples import (
    NEW_SETTINGS,
    OLD_SETTINGS,
    OTHER_SETTINGS,
)
from tests.unit.config_consensus.simulated_fleet import SimulatedFleet
from tests.unit.config_consensus.simulated_processes import CrashInWriteError, CrashPoint

ROUNDS = 30  # more than a change needs


@pytest.fixture
def fleet() -> SimulatedFleet:
    """Return three gateways and a control process that leads."""
    fleet = SimulatedFleet(3, ("a",))
    fleet.take(Step(StepKind.START_COORDINATOR, "a"))
    run_rounds(fleet)
    return fleet


@pytest.fixture
def coordinator(fleet: SimulatedFleet) -> Coordinator:
    """Return the coordinator of the fleet."""
    return fleet.coordinator("a")


def run_rounds(fleet: SimulatedFleet) -> None:
    """Run enough rounds for the control process to send all due requests."""
    for _ in range(ROUNDS):
        fleet.run_round("a")


def exchange_with_all(fleet: SimulatedFleet, coordinator: Coordinator) -> None:
    """Send each gateway its due request, and handle its answer."""
    for name, gateway in fleet.participants.items():
        request = coordinator.build_message(name, fleet.now)
        assert request is not None
        answer = messages.decode_answer(request, gateway.handle(request.to_dict()))
        coordinator.handle_answer(name, request, answer, fleet.now)


def test_an_excluded_gateway_that_answers_ends_the_change(
    fleet: SimulatedFleet, coordinator: Coordinator
) -> None:
    """A change aborts if a gateway that its proposer excluded as down answers a request."""
    change = coordinator.propose(NEW_SETTINGS, ("g2",), "staff", fleet.now)
    run_rounds(fleet)
    expected = (ChangeOutcome.ABORTED, "g2 was counted out, and answers")
    assert (change.outcome, change.reason) == expected


def test_an_excluded_gateway_may_have_stalled(
    fleet: SimulatedFleet, coordinator: Coordinator
) -> None:
    """A change without an excluded gateway commits only after the gateway could detect a stall."""
    started_at = fleet.now
    fleet.participants["g2"].crash()
    change = coordinator.propose(NEW_SETTINGS, ("g2",), "staff", fleet.now)
    while change.outcome == ChangeOutcome.PREPARING:
        fleet.run_round("a")
    assert change.outcome == ChangeOutcome.COMMITTED
    assert fleet.now - started_at >= 2 * participant.STALL_LIMIT_S


@pytest.mark.parametrize("excluded", [("nobody",), ("g0", "g1")])
def test_gateways_that_can_not_be_excluded(
    fleet: SimulatedFleet, coordinator: Coordinator, excluded: tuple[str, ...]
) -> None:
    """Neither an unknown gateway nor a majority can be excluded; no change begins."""
    with pytest.raises(errors.ProposalRejected):
        coordinator.propose(NEW_SETTINGS, excluded, "staff", fleet.now)
    assert coordinator.change is None


def test_one_change_at_a_time(fleet: SimulatedFleet, coordinator: Coordinator) -> None:
    """During a change, other settings are rejected, and the same settings return the same change.

    The same settings return the change after its commit as well.
    """
    change = coordinator.propose(NEW_SETTINGS, (), "staff", fleet.now)
    assert coordinator.propose(dict(NEW_SETTINGS), (), "staff", fleet.now) is change
    with pytest.raises(errors.ProposalRejected):
        coordinator.propose(OTHER_SETTINGS, (), "staff", fleet.now)
    run_rounds(fleet)
    assert change.outcome == ChangeOutcome.COMMITTED
    assert coordinator.propose(dict(NEW_SETTINGS), (), "staff", fleet.now) is change


def test_nothing_is_decided_that_the_journal_does_not_take(
    fleet: SimulatedFleet, coordinator: Coordinator
) -> None:
    """The old settings stay in force until the decision is durable."""
    change = coordinator.propose(NEW_SETTINGS, (), "staff", fleet.now)
    fleet.journals["a"].crash_point = CrashPoint.BEFORE_WRITE
    with pytest.raises(CrashInWriteError):
        exchange_with_all(fleet, coordinator)
    assert change.outcome == ChangeOutcome.PREPARING
    assert coordinator.in_force is not None
    assert coordinator.in_force.content == OLD_SETTINGS
    fleet.journals["a"].crash_point = CrashPoint.NONE
    coordinator.try_to_decide(fleet.now)
    assert coordinator.history[change.ballot].outcome == ChangeOutcome.COMMITTED


def test_control_processes_of_one_name_claim_different_epochs() -> None:
    """Guards against a shared epoch: a process that replaces another one has an empty journal."""
    fleet = SimulatedFleet(3, ("a", "b"), shared_name="a")
    for control in ("a", "b"):
        fleet.take(Step(StepKind.START_COORDINATOR, control))
    first, second = fleet.coordinator("a").epoch, fleet.coordinator("b").epoch
    assert first.number == second.number == 1
    assert first != second
