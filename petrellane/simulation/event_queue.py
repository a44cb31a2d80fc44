"""Simulated time: one queue of scheduled calls, no wall clock and no thread.

Promises that calls for the same time are made in the order in which they were scheduled.
"""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple


class ScheduledCall(NamedTuple):
    """A call to make; `order` is unique, so that no two entries compare beyond it."""

    time: float
    order: int
    function: Callable[..., object]
    arguments: tuple[object, ...]


class EventQueue:
    """The clock and the scheduled calls of one run.

    Attributes:
        now: The time of the call that is being made, in seconds of the run.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._calls: list[ScheduledCall] = []
        self._count = 0

    def schedule_after(
        self, delay: float, function: Callable[..., object], *arguments: object
    ) -> None:
        """Schedule a call so many seconds from now; a negative delay counts as none."""
        self._count += 1
        time = self.now + max(0.0, delay)
        heapq.heappush(self._calls, ScheduledCall(time, self._count, function, arguments))

    def schedule_at(self, time: float, function: Callable[..., object], *arguments: object) -> None:
        """Schedule a call at a time; one that has passed counts as now."""
        self.schedule_after(time - self.now, function, *arguments)

    def run_until(self, end: float) -> None:
        """Make all calls up to a time, and leave the clock there."""
        calls = self._calls
        while calls and calls[0].time <= end:
            call = heapq.heappop(calls)
            self.now = call.time
            call.function(*call.arguments)
        self.now = end


def seeded_random(*parts: object) -> random.Random:
    """A random stream of its own, so that what one party draws never shifts what another does."""
    return random.Random(" ".join(map(str, parts)))
