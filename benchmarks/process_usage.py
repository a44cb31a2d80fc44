"""What a process uses of the machine, as the kernel counts it."""

import os
import pathlib
from collections.abc import Sequence
from typing import NamedTuple

USER_TIME_FIELD = 11  # of /proc/PID/stat, counted from the state behind the command's name
SYSTEM_TIME_FIELD = 12


class ProcessUsage(NamedTuple):
    """Memory and processor time of one process up to now."""

    resident_bytes: int
    cpu_s: float


def read_usage(pid: int) -> ProcessUsage:
    """Return what a process uses."""
    folder = pathlib.Path(f"/proc/{pid}")
    pages = int((folder / "statm").read_text().split()[1])
    fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
    ticks = int(fields[USER_TIME_FIELD]) + int(fields[SYSTEM_TIME_FIELD])
    return ProcessUsage(pages * os.sysconf("SC_PAGE_SIZE"), ticks / os.sysconf("SC_CLK_TCK"))


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value below which this share of the values lies; NaN where there are none."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]
