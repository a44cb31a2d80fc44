"""The simulated network links between zones, with delays and partitions.

A link can be cut in one direction or in both. The network drops messages on a cut link without
notifying the sender.
"""

import random
from typing import ClassVar

from petrellane.simulation.scenario import World

Location = int | str
"""The number of a zone, or `Network.COUNTER`."""

COUNTER_ZONE = 0


class Network:
    """The links of one run; `FleetSimulation` owns it.

    Attributes:
        extra_delay: The maximum delay that faults add to a message, in seconds.
    """

    COUNTER: ClassVar[str] = "counter"
    """The location of the counter: it runs in zone 0, but its links can be cut separately."""

    def __init__(self, world: World) -> None:
        self.extra_delay = 0.0
        self._world = world
        self._cuts: dict[tuple[Location, Location], int] = {}

    def change_cuts(self, sender: Location, receiver: Location, change: int) -> None:
        """Add a cut to a link (a change of 1) or remove a cut (a change of -1)."""
        link = (sender, receiver)
        self._cuts[link] = self._cuts.get(link, 0) + change

    def delay(self, sender: Location, receiver: Location, rng: random.Random) -> float | None:
        """Return the delay of a message, in seconds; None if the network drops the message."""
        if self._cuts and self._is_cut(sender, receiver):
            return None
        links = 1
        if _zone_of(sender) != _zone_of(receiver):
            links = 2
        extra = 0.0
        if self.extra_delay:
            extra = self.extra_delay * rng.random() ** 3
        jitter = 1 + self._world.jitter * rng.random()
        return self._world.latency * links * jitter + extra

    def _is_cut(self, sender: Location, receiver: Location) -> bool:
        """Return whether the link between two locations, or between their zones, is cut."""
        return any(
            self._cuts.get((start, end), 0) > 0
            for start in (sender, _zone_of(sender))
            for end in (receiver, _zone_of(receiver))
        )


def _zone_of(location: Location) -> Location:
    if location == Network.COUNTER:
        return COUNTER_ZONE
    return location
