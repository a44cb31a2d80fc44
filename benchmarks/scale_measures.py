"""Processor time and memory for the runs of `scale.py`.

What a call took is the thread's CPU time, so that a busy machine does not count.
"""

import gc
import pathlib
import resource
import time
from collections.abc import Callable, Sequence
from typing import Generic, NamedTuple, TypeVar

Result = TypeVar("Result")


class TimedCall(NamedTuple, Generic[Result]):
    """What a call returned, and the CPU milliseconds that it took."""

    result: Result
    milliseconds: float


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which this share of the values lies; 0 where there are none."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def resident_mb() -> float:
    """Return the resident megabytes (10^6 bytes) of this process after a garbage collection."""
    gc.collect()
    resident_pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return resident_pages * resource.getpagesize() / 1e6


def time_call(call: Callable[[], Result]) -> TimedCall[Result]:
    """Make a call and measure it."""
    started = time.thread_time()
    result = call()
    return TimedCall(result, (time.thread_time() - started) * 1e3)


class CallCosts:
    """CPU milliseconds of calls of the decisions, since they were last cleared."""

    def __init__(self, now: float) -> None:
        self.clear(now)

    def clear(self, now: float) -> None:
        """Forget all calls so far."""
        self.started_at = now
        self.total = 0.0
        self.longest = 0.0
        self.decisions: list[float] = []
        self.ended_attempts: list[float] = []
        self.counter_adds = 0
        self.rpcs = 0
        self.rejected = 0

    def add_call(self, milliseconds: float) -> None:
        """Count a call of any kind."""
        self.total += milliseconds
        self.longest = max(self.longest, milliseconds)

    def to_dict(self, now: float) -> dict[str, float]:
        """Return the figures by the names that the file gives them."""
        return {
            "decision_p50_ms": percentile(self.decisions, 0.5),
            "decision_p99_ms": percentile(self.decisions, 0.99),
            "decision_longest_ms": max(self.decisions, default=0.0),
            "call_longest_ms": self.longest,
            "again_p50_ms": percentile(self.ended_attempts, 0.5),
            "again_p99_ms": percentile(self.ended_attempts, 0.99),
            "cores": self.total / 1e3 / max(1e-9, now - self.started_at),
            "adds_per_rpc": self.counter_adds / max(1, self.rpcs),
            "pushed_back": self.rejected / max(1, self.rpcs),
            "rpcs_measured": self.rpcs,
        }
