"""Fault handlers for gateways: crashes, pauses, second processes and hot restarts."""

from __future__ import annotations

from collections.abc import Mapping

from petrellane.simulation.fault_handlers import EndFault, FaultContext, FaultHandler, end_all

SUCCESS_BELOW = 1 / 3  # the hot restart succeeds at lower magnitudes
HANDOFF_LOST_BELOW = 2 / 3  # the handoff is lost at lower magnitudes, down to SUCCESS_BELOW


def kill_gateway(context: FaultContext) -> EndFault:
    """Kill a gateway, and start a new process at the end of the fault."""
    gateway = context.gateway()
    gateway.kill()
    return gateway.start


def kill_gateways(context: FaultContext) -> EndFault:
    """Kill a fraction of the gateways simultaneously."""
    gateways = context.sample(context.simulation.gateways)
    for gateway in gateways:
        gateway.kill()
    return end_all([gateway.start for gateway in gateways])


def pause_gateway(context: FaultContext) -> EndFault:
    """Pause a gateway process."""
    gateway = context.gateway()
    gateway.pause()
    return gateway.resume


def run_second_process(context: FaultContext) -> EndFault:
    """Run a second process under the name of a gateway, and kill it at the end of the fault.

    The load balancer in front distributes new RPCs evenly over the processes of one name.
    """
    number = context.fault.target % len(context.simulation.gateways)
    return context.simulation.add_second_process(number).kill


def hot_restart_gateway(context: FaultContext) -> EndFault | None:
    """Replace a gateway process by a successor.

    The magnitude selects the result. Below `SUCCESS_BELOW` the hot restart succeeds. Below
    `HANDOFF_LOST_BELOW` the leases are lost in the handoff and the predecessor continues to serve.
    Above it the successor dies at the end of the fault.
    """
    simulation = context.simulation
    number = context.fault.target % len(simulation.gateways)
    predecessor = simulation.gateways[number]
    if not predecessor.is_alive or predecessor.is_paused:
        return None
    if SUCCESS_BELOW <= context.fault.magnitude < HANDOFF_LOST_BELOW:
        predecessor.export_leases()
        predecessor.resume_leases()
        return None
    successor = simulation.hot_restart(predecessor)
    succeeds = context.fault.magnitude < SUCCESS_BELOW

    def end() -> None:
        if not succeeds and simulation.gateways[number] is successor:
            successor.kill()
            simulation.undo_hot_restart(predecessor, successor)

    return end


HANDLERS: Mapping[str, FaultHandler] = {
    "gateway killed": kill_gateway,
    "gateways killed": kill_gateways,
    "gateway paused": pause_gateway,
    "gateway twice": run_second_process,
    "gateway followed": hot_restart_gateway,
}
