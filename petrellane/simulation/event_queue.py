"""The event queue of the simulation, without wall clock or threads.

The queue makes calls that are scheduled for the same time in the order of their scheduling.
"""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple


class ScheduledCall(NamedTuple):
    """A scheduled call; `order` is unique, so a comparison never reaches `function`."""

    time: float
    order: int
    function: Callable[..., object]
    arguments: tuple[object, ...]


class EventQueue:
    """The clock and the scheduled calls of one run; `FleetSimulation` owns it.

    Attributes:
        now: The current simulated time, in seconds since the start of the run.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[ScheduledCall] = []
        self._count = 0

    def schedule_after(
        self, delay: float, function: Callable[..., object], *arguments: object
    ) -> None:
        """Schedule a call after a delay in seconds; a negative delay counts as 0."""
        self._count += 1
        time = self.now + max(0.0, delay)
        heapq.heappush(self._calls, ScheduledCall(time, self._count, function, arguments))

    def schedule_at(self, time: float, function: Callable[..., object], *arguments: object) -> None:
        """Schedule a call at a simulated time; a time in the past counts as now."""
        self.schedule_after(time - self.now, function, *arguments)

    def run_until(self, end: float) -> None:
        """Make all calls up to and including a time, then set the clock to that time."""
        calls = self._calls
        while calls and calls[0].time <= end:
            call = heapq.heappop(calls)
            self.now = call.time
            call.function(*call.arguments)
        self.now = end


def seeded_random(*parts: object) -> random.Random:
    """Return a random stream seeded by the parts.

    Each component has its own stream, so its draws do not change those of other components.
    """
    return random.Random(" ".join(map(str, parts)))
