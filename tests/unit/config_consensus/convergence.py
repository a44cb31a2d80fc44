"""Checks that a fleet converges to one generation once all faults have ended."""

from petrellane.config_consensus.coordinator import CoordinatorState
from tests.unit.config_consensus.fleet_steps import Step, StepKind
from tests.unit.config_consensus.simulated_fleet import SimulatedFleet
from tests.unit.config_consensus.simulated_processes import CrashPoint

ROUNDS = 40  # far more than a fleet without faults needs to converge


def heal(fleet: SimulatedFleet) -> str | None:
    """End all faults, run the fleet and return in one line what is still wrong, if anything."""
    control = _restart_processes(fleet)
    for _ in range(ROUNDS):
        if fleet.coordinator(control).state == CoordinatorState.DEPOSED:  # staff restart it
            fleet.take(Step(StepKind.START_COORDINATOR, control))
        fleet.run_round(control)
        if violation := fleet.violation():
            return violation
    _poll_peers(fleet)
    return _describe_divergence(fleet, control)


def _restart_processes(fleet: SimulatedFleet) -> str:
    """Start all gateways that are down and a single control process; return its name."""
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
    """Let each gateway that does not admit yet poll all other gateways once."""
    for participant in fleet.participants.values():
        if participant.admits_under() is not None:
            continue
        for peer in fleet.participants.values():
            if peer is not participant:
                participant.poll_peer(peer)


def _describe_divergence(fleet: SimulatedFleet, control: str) -> str | None:
    """Return how the gateways differ, or that one does not admit; None if they converged."""
    states = {
        (
            participant.state.in_force.ballot,
            participant.state.in_force.digest,
            len(participant.state.prepared),
        )
        for participant in fleet.participants.values()
    }
    if len(states) != 1 or next(iter(states))[-1]:
        coordinator = fleet.coordinator(control)
        return (
            f"gateways differ after healing: (in force, digest, prepared count) {sorted(states)}, "
            f"coordinator {coordinator.state} in {coordinator.epoch}: {coordinator.reason}"
        )
    if not all(participant.admits_under() for participant in fleet.participants.values()):
        return "a gateway does not admit after healing"
    return None
