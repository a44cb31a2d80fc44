"""What the handlers of faults have in common.

A handler begins a fault and returns what ends it, or None where there is nothing to end.
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
    """A fault that begins, the run that it befalls, and random numbers of its own."""

    simulation: FleetSimulation
    fault: Fault
    rng: random.Random

    def gateway(self) -> SimulatedGateway:
        """The gateway that it befalls."""
        return self.simulation.gateways[self.fault.target % len(self.simulation.gateways)]

    def endpoint(self) -> SimulatedEndpoint:
        """The endpoint that it befalls."""
        return self.simulation.endpoints[self.fault.target % len(self.simulation.endpoints)]

    def zone(self) -> int:
        """The zone that it befalls."""
        return self.fault.target % self.simulation.world.zones

    def sample(self, population: Sequence[T]) -> list[T]:
        """A random part of a population, of the size that the fault's magnitude says."""
        size = round(self.fault.magnitude * len(population))
        return self.rng.sample(population, max(1, min(len(population), size)))


FaultHandler = Callable[[FaultContext], EndFault | None]


def end_all(ends: Sequence[EndFault]) -> EndFault:
    """What ends several faults, in their order."""

    def end() -> None:
        for end_one in ends:
            end_one()

    return end
