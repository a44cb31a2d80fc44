"""The figures that a gateway process logs once a second."""

from __future__ import annotations

import time
from collections import Counter
from typing import TYPE_CHECKING, Any

from petrellane.gateway.memory_account import KIBIBYTE
from petrellane.gateway.process_memory import peak_resident_memory, resident_memory
from petrellane.net.buffers import mapped_bytes

if TYPE_CHECKING:
    from petrellane.decisions.shared_limits import PeerUsage
    from petrellane.gateway.process import GatewayProcess


def collect_figures(process: GatewayProcess) -> dict[str, Any]:
    """Return what was counted since the last call, and what stands now; nothing without counts.

    The counts begin anew. Times are in seconds.
    """
    executor = process.executor
    counts = executor.counts
    executor.counts = Counter()
    for service in (process.endpoint_pools, process.client_listener):
        counts.update(service.counts)
        service.counts.clear()
    figures: dict[str, Any] = dict(counts)
    if executor.attempts_by_address is not None:
        figures["to"] = dict(executor.attempts_by_address)
        executor.attempts_by_address = Counter()
    if figures:
        figures |= _current_figures(process)
    return figures


def _current_figures(process: GatewayProcess) -> dict[str, Any]:
    """Return the figures of the present state."""
    pools = process.endpoint_pools.pools.values()
    controller = process.executor.controller
    lease_manager = controller.lease_manager
    memory = process.memory
    return {
        "cpu": round(time.process_time(), 3),
        "turn": round(process.scheduler.longest_turn, 3),
        "clients": len(process.client_listener.clients),
        "connections": process.endpoint_pools.open_connections,
        "busy": sum(len(pool.busy) for pool in pools),
        "pressure": round(controller.overload, 3),
        "crowded": int(lease_manager.counter.is_degraded(process.scheduler.now())),
        "resident_kb": resident_memory() // KIBIBYTE,
        "peak_kb": peak_resident_memory() // KIBIBYTE,
        "mapped_kb": mapped_bytes() // KIBIBYTE,
        "held_kb": memory.used() // KIBIBYTE,
        "capacity_kb": memory.capacity // KIBIBYTE,
        "input_kb": (memory.input.used + memory.bodies.used) // KIBIBYTE,
        "output_kb": memory.output.used // KIBIBYTE,
        "leases": len(lease_manager.leases),
    } | _peer_figures(memory.peers.usage)


def _peer_figures(peers: PeerUsage) -> dict[str, Any]:
    """Return what the other processes of the gateway hold; nothing without one."""
    if not peers.processes:
        return {}
    return {
        "peers": peers.processes,
        "peers_kb": peers.resident // KIBIBYTE,
        "peers_descriptors": peers.descriptors,
    }
