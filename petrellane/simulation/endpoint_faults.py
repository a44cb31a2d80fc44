"""Faults of endpoints: they die, vanish, hang, get slow or fail, and drain."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from petrellane.decisions.types import DRAINING, GONE, READY
from petrellane.simulation.endpoints import SimulatedEndpoint
from petrellane.simulation.fault_handlers import EndFault, FaultContext, FaultHandler, end_all

if TYPE_CHECKING:
    from petrellane.simulation.fleet import FleetSimulation

VANISHED_DETECTION_FACTOR = 2.0  # discovery is slower to detect an endpoint that does not reset
RESTART_S = 0.5  # seconds from the end of a drained endpoint to its new process


def kill_endpoint(context: FaultContext) -> EndFault:
    """An endpoint's process dies, and a cold one starts when the fault ends."""
    endpoint = context.endpoint()
    discovery = context.simulation.discovery
    endpoint.kill()
    discovery.detect(endpoint, GONE)

    def end() -> None:
        endpoint.start()
        discovery.detect(endpoint, READY)

    return end


def isolate_endpoint(context: FaultContext) -> EndFault:
    """An endpoint is off the network with all it has; its process lives on."""
    endpoint = context.endpoint()
    discovery = context.simulation.discovery
    endpoint.is_unreachable = True
    discovery.detect(endpoint, GONE, VANISHED_DETECTION_FACTOR)

    def end() -> None:
        endpoint.is_unreachable = False
        discovery.detect(endpoint, READY)

    return end


def hang_endpoint(context: FaultContext) -> EndFault:
    """An endpoint accepts attempts and answers nothing."""
    endpoint = context.endpoint()
    endpoint.is_hanging = True

    def end() -> None:
        endpoint.is_hanging = False
        endpoint.start_waiting()

    return end


def slow_endpoint(context: FaultContext) -> EndFault:
    """An endpoint takes longer."""
    endpoint = context.endpoint()
    factor = max(1.0, context.fault.magnitude)
    endpoint.slowdown *= factor

    def end() -> None:
        endpoint.slowdown /= factor

    return end


def fail_endpoint(context: FaultContext) -> EndFault:
    """An endpoint answers a fraction of attempts with an error."""
    endpoint = context.endpoint()
    before = endpoint.error_rate
    endpoint.error_rate = min(1.0, context.fault.magnitude)

    def end() -> None:
        endpoint.error_rate = before

    return end


def drain_endpoint(context: FaultContext) -> EndFault:
    """An endpoint drains, ends when the fault ends, and comes back cold."""
    return _drain(context.simulation, context.endpoint())


def drain_endpoints(context: FaultContext) -> EndFault:
    """A fraction of the endpoints drains at once."""
    simulation = context.simulation
    return end_all(
        [_drain(simulation, endpoint) for endpoint in context.sample(simulation.endpoints)]
    )


def _drain(simulation: FleetSimulation, endpoint: SimulatedEndpoint) -> EndFault:
    discovery = simulation.discovery
    discovery.update(endpoint, DRAINING)

    def end() -> None:
        endpoint.kill()
        discovery.update(endpoint, GONE)
        simulation.events.schedule_after(RESTART_S, restart)

    def restart() -> None:
        endpoint.start()
        discovery.update(endpoint, READY)

    return end


def restart_zone(context: FaultContext) -> EndFault:
    """All endpoints of a zone die, and come back cold when the fault ends."""
    discovery = context.simulation.discovery
    zone = context.zone()
    endpoints = [endpoint for endpoint in context.simulation.endpoints if endpoint.zone == zone]
    for endpoint in endpoints:
        endpoint.kill()
        discovery.detect(endpoint, GONE)

    def end() -> None:
        for endpoint in endpoints:
            endpoint.start()
            discovery.detect(endpoint, READY)

    return end


def lose_answers(context: FaultContext) -> EndFault:
    """A fraction of the answers of all endpoints is lost."""
    simulation = context.simulation
    before = simulation.lost_answer_rate
    simulation.lost_answer_rate = min(1.0, context.fault.magnitude)

    def end() -> None:
        simulation.lost_answer_rate = before

    return end


HANDLERS: Mapping[str, FaultHandler] = {
    "host killed": kill_endpoint,
    "host vanished": isolate_endpoint,
    "host hangs": hang_endpoint,
    "host slow": slow_endpoint,
    "host fails": fail_endpoint,
    "host drains": drain_endpoint,
    "hosts drain": drain_endpoints,
    "zone restarts": restart_zone,
    "answers lost": lose_answers,
}
