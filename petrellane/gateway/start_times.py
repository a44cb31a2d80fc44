"""The start times of endpoints on the gateway's own clock.

Discovery tells Unix times. The gateway's clock runs on while the system's clock is stepped, and an
endpoint may have started before the step or after it. An endpoint that warms up must not be taken
for a warm one, so the latest start that is possible counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from petrellane.config import StartTime

if TYPE_CHECKING:
    from petrellane.config import EndpointEntry

MIN_STEP_S = 0.5  # a smaller difference is drift
MAX_STEPS = 8  # the last steps are kept


class StartTimes:
    """The start times of the known endpoints that are not from long ago; owned by the executor.

    Attributes:
        steps: The seconds by which the system's clock was ahead of the gateway's, oldest first.
    """

    def __init__(self) -> None:
        self.steps = [0.0]
        self._by_name: dict[str, StartTime] = {}

    def on_clock_read(self, step: float) -> None:
        """Record by how much the system's clock is ahead of the gateway's, in seconds."""
        if abs(step - self.steps[-1]) > MIN_STEP_S:
            self.steps = [*self.steps[1 - MAX_STEPS :], step]

    def forget(self, name: str) -> None:
        """Forget an endpoint that is gone."""
        self._by_name.pop(name, None)

    def get(self, name: str) -> StartTime | None:
        """Return the start time of an endpoint; None for long ago."""
        return self._by_name.get(name)

    def adopt(self, name: str, start: StartTime) -> None:
        """Take over a start time from another process, which may know of more clock steps."""
        before = self._by_name.get(name)
        if before is None or before.listed != start.listed:
            self._by_name[name] = start

    def local_start(self, entry: EndpointEntry, now: float) -> float:
        """Return the start time of an endpoint on the gateway's clock; 0 for long ago."""
        listed = entry.started_at
        if not listed:
            return listed
        before = self._by_name.get(entry.name)
        if before is None or before.listed != listed:
            before = StartTime(listed, self._latest_possible(listed, now))
            self._by_name[entry.name] = before
        return before.local

    def _latest_possible(self, listed: float, now: float) -> float:
        if len(self.steps) == 1:
            return listed
        return max((listed - step for step in self.steps if listed - step <= now), default=now)
