"""The types and helpers shared by the fault handlers.

A handler begins a fault and returns the function that ends it, or None if there is nothing to end.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING, NamedTuple, TypeVar

from petrellane.simulation.scenario import Fault

if TYPE_CHECKING:
    from petrellane.simulation.endpoints import SimulatedEndpoint
    from petrellane.simulation.fleet import FleetSimulation
    from petrellane.simulation.gateways import SimulatedGateway

EndFault = Callable[[], None]

T = TypeVar("T")


class FaultContext(NamedTuple):
    """The arguments of a fault handler: the simulation, the fault and its random stream."""

    simulation: FleetSimulation
    fault: Fault
    rng: random.Random

    def gateway(self) -> SimulatedGateway:
        """Return the target gateway of the fault."""
        return self.simulation.gateways[self.fault.target % len(self.simulation.gateways)]

    def endpoint(self) -> SimulatedEndpoint:
        """Return the target endpoint of the fault."""
        return self.simulation.endpoints[self.fault.target % len(self.simulation.endpoints)]

    def zone(self) -> int:
        """Return the number of the target zone of the fault."""
        return self.fault.target % self.simulation.world.zones

    def sample(self, population: Sequence[T]) -> list[T]:
        """Return a random sample; the magnitude of the fault is its fraction of the population."""
        size = round(self.fault.magnitude * len(population))
        return self.rng.sample(population, max(1, min(len(population), size)))


FaultHandler = Callable[[FaultContext], EndFault | None]


def end_all(ends: Sequence[EndFault]) -> EndFault:
    """Return a function that ends several faults in their order."""

    def end() -> None:
        for end_one in ends:
            end_one()

    return end
