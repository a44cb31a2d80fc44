"""The memory of this process, as the kernel counts it.

The kernel keeps both files for each process; see proc(5).
"""

from __future__ import annotations

import os

from petrellane.gateway.memory_account import KIBIBYTE

STATM = "/proc/self/statm"
STATUS = "/proc/self/status"
PEAK_RESIDENT_FIELD = b"VmHWM:"


def resident_memory() -> int:
    """Return the resident memory of this process, in bytes; 0 where the system does not tell it."""
    try:
        with open(STATM, "rb") as file:  # noqa: PTH123 - pathlib slows down the start
            return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return 0


def peak_resident_memory() -> int:
    """Return the most resident memory since the start, in bytes; 0 if the system does not tell."""
    try:
        with open(STATUS, "rb") as file:  # noqa: PTH123 - pathlib slows down the start
            for line in file:
                if line.startswith(PEAK_RESIDENT_FIELD):
                    return int(line.split()[1]) * KIBIBYTE
    except (OSError, ValueError, IndexError):
        pass
    return 0
