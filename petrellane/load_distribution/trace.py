"""The input of the figures: a trace, and its division into windows and slots. Performs no I/O.

A trace holds the times and numbers of attempts from each gateway to each host, and the periods in
which each host was ready, with its capacity in a unit common to all hosts. Times are seconds of one
clock. A window covers the hosts that were ready throughout it and ignores attempts to other hosts.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

Id = Hashable  # identifies a gateway or a host

# Tolerances for float rounding: a window that ends at the end of the trace is complete, and an
# attempt at the border of two windows belongs to the later one.
WINDOW_TOLERANCE_S = 1e-9
BORDER_TOLERANCE_S = 1e-12


class SentAttempts(NamedTuple):
    """A number of attempts that a gateway sent to a host at `at`, in seconds."""

    at: float
    gateway: Id
    host: Id
    number: int


class ReadyPeriod(NamedTuple):
    """A period from `since` to `until`, in seconds, in which a host was ready with `capacity`."""

    since: float
    until: float
    capacity: float


class HostLoad(NamedTuple):
    """The attempts sent to a host in a window, and the number due to it by its capacity."""

    sent: float
    due: float


WindowLoad = dict[Id, HostLoad]
SlotCounts = dict[Id, dict[Id, list[int]]]


@dataclass
class LoadTrace:
    """The attempts and ready hosts of a run, from `since` to `until`, in seconds of one clock.

    Owned by the reader of a source; the figures do not change it.
    """

    since: float
    until: float
    sent: list[SentAttempts] = field(default_factory=list)
    ready: dict[Id, list[ReadyPeriod]] = field(default_factory=dict)


def ready_capacities(trace: LoadTrace, since: float, until: float) -> dict[Id, float]:
    """Return the capacity of each host that was ready throughout `since` to `until`."""
    return {
        host: capacity
        for host, periods in trace.ready.items()
        for start, end, capacity in periods
        if start <= since and end >= until and capacity > 0
    }


def sort_by_time(trace: LoadTrace) -> list[SentAttempts]:
    """Return the sent attempts ordered by time; the sort is stable."""
    return sorted(trace.sent, key=lambda sent: sent[0])


def windows(
    trace: LoadTrace, seconds: float, step: float | None = None
) -> Iterator[tuple[float, WindowLoad]]:
    """Yield the start and the load by host of each complete window with attempts.

    Windows with fewer than two hosts that were ready throughout are skipped.

    Args:
        trace: The attempts and the ready periods of the hosts.
        seconds: The length of a window, in seconds.
        step: The seconds between the starts of two windows; None for adjacent windows.
    """
    stride = step or seconds
    sent = sort_by_time(trace)
    times = [at for at, _, _, _ in sent]
    start = trace.since
    while start + seconds <= trace.until + WINDOW_TOLERANCE_S:
        capacities = ready_capacities(trace, start, start + seconds)
        first = bisect_right(times, start - BORDER_TOLERANCE_S)
        end = bisect_right(times, start + seconds - BORDER_TOLERANCE_S)
        counts: Counter[Id] = Counter()
        for _, _, host, number in sent[first:end]:
            if host in capacities:
                counts[host] += number
        total = sum(counts.values())
        fleet_capacity = sum(capacities.values())
        if total and len(capacities) > 1:
            yield (
                start,
                {
                    host: HostLoad(counts[host], total * capacity / fleet_capacity)
                    for host, capacity in capacities.items()
                },
            )
        start += stride


def count_by_slot(trace: LoadTrace, seconds: float) -> tuple[SlotCounts, int]:
    """Count the attempts by gateway, host and complete slot of `seconds`.

    Returns:
        The attempts in each slot by gateway and host, and the number of slots.
    """
    slot_count = int((trace.until - trace.since) / seconds + WINDOW_TOLERANCE_S)
    counts: SlotCounts = defaultdict(dict)
    for at, gateway, host, number in trace.sent:
        slot = int((at - trace.since) / seconds)
        if 0 <= slot < slot_count:
            row = counts[gateway].get(host)
            if row is None:
                row = [0] * slot_count
                counts[gateway][host] = row
            row[slot] += number
    return counts, slot_count
