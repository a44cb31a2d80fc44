"""Begins and ends the faults of a scenario.

`gateway_faults`, `endpoint_faults` and `service_faults` contain the fault handlers. Faults of the
same type may overlap.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING

from petrellane.simulation import endpoint_faults, gateway_faults, service_faults
from petrellane.simulation.event_queue import seeded_random
from petrellane.simulation.fault_handlers import EndFault, FaultContext, FaultHandler
from petrellane.simulation.scenario import FAULT_TYPES, Fault

if TYPE_CHECKING:
    from petrellane.simulation.fleet import FleetSimulation

HANDLERS: Mapping[str, FaultHandler] = {
    **gateway_faults.HANDLERS,
    **endpoint_faults.HANDLERS,
    **service_faults.HANDLERS,
}
"""The handler of each fault type in `FAULT_TYPES`."""


class FaultInjector:
    """Begins the faults of one run, and ends each of them after its `length`."""

    def __init__(self, simulation: FleetSimulation) -> None:
        self._simulation = simulation

    def schedule(self, faults: Iterable[Fault]) -> None:
        """Schedule the start of each fault."""
        seed = self._simulation.world.seed
        for number, fault in enumerate(faults):
            rng = seeded_random(seed, "fault", fault.type, fault.target, number)
            self._simulation.events.schedule_at(fault.at, self._begin, fault, rng)

    def _begin(self, fault: Fault, rng: random.Random) -> None:
        end = HANDLERS[fault.type](FaultContext(self._simulation, fault, rng))
        self._simulation.trace("", f"{describe_fault(fault)} begins")
        if end is not None:
            self._simulation.events.schedule_after(fault.length, self._end, fault, end)

    def _end(self, fault: Fault, end: EndFault) -> None:
        end()
        self._simulation.trace("", f"{describe_fault(fault)} ends")


def describe_fault(fault: Fault) -> str:
    """Return the name of a fault in the timeline, with its target as a letter and a number."""
    targets = FAULT_TYPES[fault.type].targets
    if not targets:
        return fault.type
    return f"{fault.type} ({targets[0]}{fault.target})"
