"""Fault handlers for endpoints: crashes, partitions, hangs, slowness, errors and drains."""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

from petrellane.decisions.types import DRAINING, GONE, READY
from petrellane.simulation.endpoints import SimulatedEndpoint
from petrellane.simulation.fault_handlers import EndFault, FaultContext, FaultHandler, end_all

if TYPE_CHECKING:
    from petrellane.simulation.fleet import FleetSimulation

ISOLATED_DETECTION_FACTOR = 2.0  # an isolated endpoint resets no connection: slower to detect
RESTART_S = 0.5  # seconds between the exit of a drained endpoint and the start of its new process


def kill_endpoint(context: FaultContext) -> EndFault:
    """Kill the process of an endpoint, and start a cold one at the end of the fault."""
    endpoint = context.endpoint()
    discovery = context.simulation.discovery
    endpoint.kill()
    discovery.detect(endpoint, GONE)

    def end() -> None:
        endpoint.start()
        discovery.detect(endpoint, READY)

    return end


def isolate_endpoint(context: FaultContext) -> EndFault:
    """Disconnect an endpoint from the network; its process continues to run."""
    endpoint = context.endpoint()
    discovery = context.simulation.discovery
    endpoint.is_unreachable = True
    discovery.detect(endpoint, GONE, ISOLATED_DETECTION_FACTOR)

    def end() -> None:
        endpoint.is_unreachable = False
        discovery.detect(endpoint, READY)

    return end


def hang_endpoint(context: FaultContext) -> EndFault:
    """Make an endpoint queue attempts without executing them."""
    endpoint = context.endpoint()
    endpoint.is_hanging = True

    def end() -> None:
        endpoint.is_hanging = False
        endpoint.start_waiting()

    return end


def slow_endpoint(context: FaultContext) -> EndFault:
    """Increase the execution time of attempts at an endpoint."""
    endpoint = context.endpoint()
    factor = max(1.0, context.fault.magnitude)
    endpoint.slowdown *= factor

    def end() -> None:
        endpoint.slowdown /= factor

    return end


def fail_endpoint(context: FaultContext) -> EndFault:
    """Make an endpoint answer a fraction of its attempts with an error."""
    endpoint = context.endpoint()
    before = endpoint.error_rate
    endpoint.error_rate = min(1.0, context.fault.magnitude)

    def end() -> None:
        endpoint.error_rate = before

    return end


def drain_endpoint(context: FaultContext) -> EndFault:
    """Drain an endpoint, kill it at the end of the fault, and start a cold process afterwards."""
    return _drain(context.simulation, context.endpoint())


def drain_endpoints(context: FaultContext) -> EndFault:
    """Drain a fraction of the endpoints simultaneously."""
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
    """Kill all endpoints of a zone, and start cold processes at the end of the fault."""
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
    """Drop a fraction of the answers of all endpoints."""
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
