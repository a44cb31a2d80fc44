"""Faults of gateways: processes that die, stand still, run twice or are replaced."""

from __future__ import annotations

from collections.abc import Mapping

from petrellane.simulation.fault_handlers import EndFault, FaultContext, FaultHandler, end_all

CLEAN_BELOW = 1 / 3  # magnitudes of a hot restart in which all goes well
LOST_BELOW = 2 / 3  # magnitudes above that in which what is handed over is lost


def kill_gateway(context: FaultContext) -> EndFault:
    """A gateway dies, and a new process starts when the fault ends."""
    gateway = context.gateway()
    gateway.kill()
    return gateway.start


def kill_gateways(context: FaultContext) -> EndFault:
    """A fraction of the gateways dies at once."""
    gateways = context.sample(context.simulation.gateways)
    for gateway in gateways:
        gateway.kill()
    return end_all([gateway.start for gateway in gateways])


def pause_gateway(context: FaultContext) -> EndFault:
    """A gateway stands still."""
    gateway = context.gateway()
    gateway.pause()
    return gateway.resume


def run_gateway_twice(context: FaultContext) -> EndFault:
    """A second process under one name gets half of what comes in, until it is killed."""
    number = context.fault.target % len(context.simulation.gateways)
    return context.simulation.add_second_process(number).kill


def hot_restart_gateway(context: FaultContext) -> EndFault | None:
    """Another process takes over from a gateway.

    In the first third of magnitudes all goes well. In the second what is handed over is lost, and
    the predecessor goes on; in the last the successor dies when the fault ends.
    """
    simulation = context.simulation
    number = context.fault.target % len(simulation.gateways)
    predecessor = simulation.gateways[number]
    if not predecessor.is_alive or predecessor.is_paused:
        return None
    if CLEAN_BELOW <= context.fault.magnitude < LOST_BELOW:
        predecessor.export_leases()
        predecessor.resume_leases()
        return None
    successor = simulation.hot_restart(predecessor)
    is_clean = context.fault.magnitude < CLEAN_BELOW

    def end() -> None:
        if not is_clean and simulation.gateways[number] is successor:
            successor.kill()
            simulation.undo_hot_restart(predecessor, successor)

    return end


HANDLERS: Mapping[str, FaultHandler] = {
    "gateway killed": kill_gateway,
    "gateways killed": kill_gateways,
    "gateway paused": pause_gateway,
    "gateway twice": run_gateway_twice,
    "gateway followed": hot_restart_gateway,
}
