"""Named figures of `messages.py`: collected, and printed as they come."""

import statistics
import time
from collections.abc import Callable
from typing import Any, NamedTuple

REPEATS = 5
LONG_STEP_S = 5.0  # a step that takes longer is run once


class StepTime(NamedTuple):
    """Processor time of one step: the median, and over how many runs."""

    milliseconds: float
    runs: int


class FigureTable:
    """Figures by name; lives for one run of the command."""

    def __init__(self) -> None:
        self.figures: dict[str, dict[str, Any]] = {}

    def add(self, name: str, value: float, unit: str, what: str, runs: int = 1) -> None:
        """Keep a figure and print it.

        Args:
            name: The figure's name in the JSON line.
            value: The value, rounded to four digits after the point.
            unit: What it is counted in.
            what: A short description.
            runs: Over how many runs the value was taken.
        """
        self.figures[name] = {"value": round(value, 4), "unit": unit, "what": what, "runs": runs}
        print(f"{name:32} {value:14,.3f} {unit:6}  {what}", flush=True)

    def add_bytes(self, name: str, size: int, what: str) -> None:
        """Keep a size in bytes and print it."""
        self.add(name, size, "bytes", what)


def time_step(step: Callable[[], object], repeats: int = REPEATS) -> StepTime:
    """Measure the processor time of a step; a long one is run once."""
    times: list[float] = []
    for _ in range(repeats):
        started = time.process_time()
        step()
        times.append((time.process_time() - started) * 1e3)
        if times[-1] > LONG_STEP_S * 1e3:
            break
    return StepTime(statistics.median(times), len(times))
