"""Whether a fleet comes to one generation once all faults have ended."""

from petrellane.config_consensus.coordinator import CoordinatorState
from tests.unit.config_consensus.fleet_steps import Step, StepKind
from tests.unit.config_consensus.simulated_fleet import SimulatedFleet
from tests.unit.config_consensus.simulated_processes import CrashPoint

ROUNDS = 40  # far more than a fleet without faults needs


def heal(fleet: SimulatedFleet) -> str | None:
    """End all faults and let the fleet come to rest; return what stays wrong, in a line."""
    control = _restart(fleet)
    for _ in range(ROUNDS):
        if fleet.coordinator(control).state == CoordinatorState.DEPOSED:  # staff start it again
            fleet.take(Step(StepKind.START_COORDINATOR, control))
        fleet.run_round(control)
        if violation := fleet.violation():
            return violation
    _poll_peers(fleet)
    return _difference(fleet, control)


def _restart(fleet: SimulatedFleet) -> str:
    """Start all gateways that are down, and one control process alone; return its name."""
    for participant in fleet.participants.values():
        if not participant.is_running:
            participant.start()
    for control in fleet.coordinators:
        fleet.crash_coordinator(control)
    first = next(iter(fleet.coordinators))
    fleet.journals[first].crash_point = CrashPoint.NONE
    fleet.take(Step(StepKind.START_COORDINATOR, first))
    return first


def _poll_peers(fleet: SimulatedFleet) -> None:
    """Let each gateway that admits nothing yet ask all others once more."""
    for participant in fleet.participants.values():
        if participant.admits_under() is not None:
            continue
        for peer in fleet.participants.values():
            if peer is not participant:
                participant.poll_peer(peer)


def _difference(fleet: SimulatedFleet, control: str) -> str | None:
    """Return how the gateways differ in what is in force, or that one admits nothing."""
    states = {
        (participant.state.in_force.ballot, len(participant.state.prepared))
        for participant in fleet.participants.values()
    }
    if len(states) != 1 or next(iter(states))[1]:
        coordinator = fleet.coordinator(control)
        return (
            f"not at one generation after a heal: {sorted(states)}, "
            f"control {coordinator.state} {coordinator.epoch} {coordinator.reason}"
        )
    if not all(participant.admits_under() for participant in fleet.participants.values()):
        return "a gateway stays out of service"
    return None
