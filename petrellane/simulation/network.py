"""Links between zones: slow, or cut in one or both directions.

A message over a cut link is lost, and nobody is notified.
"""

import random
from typing import ClassVar

from petrellane.simulation.scenario import World

Place = int | str
"""The number of a zone, or `Network.COUNTER`."""

COUNTER_ZONE = 0


class Network:
    """The links of one run.

    Attributes:
        extra_delay: Maximum of the seconds that a message takes beyond the usual.
    """

    COUNTER: ClassVar[str] = "counter"
    """The place of the counter: it stands in zone 0, and its own links can be cut alone."""

    def __init__(self, world: World) -> None:
        self.extra_delay = 0.0
        self._world = world
        self._cuts: dict[tuple[Place, Place], int] = {}

    def change_cuts(self, sender: Place, receiver: Place, change: int) -> None:
        """Cut a link once more (a change of 1), or take one cut back (-1)."""
        link = (sender, receiver)
        self._cuts[link] = self._cuts.get(link, 0) + change

    def delay(self, sender: Place, receiver: Place, rng: random.Random) -> float | None:
        """Seconds that a message takes; None when it is lost."""
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

    def _is_cut(self, sender: Place, receiver: Place) -> bool:
        """Whether a link is cut between the places themselves or their zones."""
        return any(
            self._cuts.get((start, end), 0) > 0
            for start in (sender, _zone_of(sender))
            for end in (receiver, _zone_of(receiver))
        )


def _zone_of(place: Place) -> Place:
    if place == Network.COUNTER:
        return COUNTER_ZONE
    return place
