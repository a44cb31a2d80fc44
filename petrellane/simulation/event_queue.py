"""Simulated time: one heap of calls to make, no wall clock and no thread."""

import heapq
import random


class Heap:
    """`now` is the time of the call that runs; calls at one time are made in the order in which they were asked for."""

    def __init__(self):
        self.now, self.calls, self.count = 0.0, [], 0

    def after(self, delay: float, call, *words) -> None:
        """Make a call so many seconds from now; a negative delay counts as none."""
        self.count += 1
        heapq.heappush(self.calls, (self.now + max(0.0, delay), self.count, call, words))

    def at(self, time: float, call, *words) -> None:
        """Make a call at a time; one that has passed is now."""
        self.after(time - self.now, call, *words)

    def run(self, until: float) -> None:
        """Make all calls up to a time, and stand there."""
        calls = self.calls
        while calls and calls[0][0] <= until:
            self.now, _, call, words = heapq.heappop(calls)
            call(*words)
        self.now = until


def chance(*words) -> random.Random:
    """A stream of chance of its own, so that what one party draws never shifts what another does."""
    return random.Random(" ".join(map(str, words)))
