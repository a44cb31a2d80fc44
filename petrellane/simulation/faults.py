"""Begins and ends the faults of a scenario.

What each fault does is in `gateway_faults`, `endpoint_faults` and `service_faults`. Faults of a
type may overlap.
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
"""What begins the faults of each type of `FAULT_TYPES`."""


class FaultInjector:
    """Begins and ends the faults of one run; every one ends by itself, at its end at the latest."""

    def __init__(self, simulation: FleetSimulation) -> None:
        self._simulation = simulation

    def schedule(self, faults: Iterable[Fault]) -> None:
        """Schedule faults."""
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
    """A fault as a time line names it, with its target as a letter and a number."""
    targets = FAULT_TYPES[fault.type].targets
    if not targets:
        return fault.type
    return f"{fault.type} ({targets[0]}{fault.target})"
