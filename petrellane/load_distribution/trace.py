"""The trace that the figures are computed from, and its windows and slots. Free of I/O.

A trace holds when each gateway sent how many attempts to each host, and when each host was ready
with which capacity, in any unit that all hosts share. Times are seconds of one clock. A window is
judged for the hosts that were ready in all of it; what went to other hosts is left out.
"""

from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

Id = Hashable  # of a gateway or a host

# Slack for float steps: one that ends at a window's border belongs to it.
WINDOW_TOLERANCE_S = 1e-9
BORDER_TOLERANCE_S = 1e-12


class SentAttempts(NamedTuple):
    """At `at` seconds, a gateway has sent `number` attempts to a host."""

    at: float
    gateway: Id
    host: Id
    number: int


class ReadyPeriod(NamedTuple):
    """A host was ready from `since` to `until`, in seconds, with this capacity."""

    since: float
    until: float
    capacity: float


class HostLoad(NamedTuple):
    """The attempts that a host got in a window, and those that were due by its capacity."""

    sent: float
    due: float


WindowLoad = dict[Id, HostLoad]
SlotCounts = dict[Id, dict[Id, list[int]]]


@dataclass
class LoadTrace:
    """The attempts and ready hosts of a run, from `since` to `until`, in seconds of one clock.

    Owned by whoever reads a source; the figures do not change it.
    """

    since: float
    until: float
    sent: list[SentAttempts] = field(default_factory=list)
    ready: dict[Id, list[ReadyPeriod]] = field(default_factory=dict)


def ready_capacities(trace: LoadTrace, since: float, until: float) -> dict[Id, float]:
    """Return the capacity of each host that was ready in all of the time from since to until."""
    return {
        host: capacity
        for host, periods in trace.ready.items()
        for start, end, capacity in periods
        if start <= since and end >= until and capacity > 0
    }


def sort_by_time(trace: LoadTrace) -> list[SentAttempts]:
    """Return the sent attempts in the order of time; ties keep their order."""
    return sorted(trace.sent, key=lambda sent: sent[0])


def windows(
    trace: LoadTrace, seconds: float, step: float | None = None
) -> Iterator[tuple[float, WindowLoad]]:
    """Yield the start and the load by host of each complete window with attempts.

    Windows in which fewer than two hosts were ready are left out.

    Args:
        trace: What was sent, and which hosts were ready.
        seconds: The length of a window.
        step: Seconds from one start to the next; None for windows end to end.
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
    """Count the attempts by gateway, host and complete slot of so many seconds.

    Returns:
        For each gateway and host the attempts of each slot, and the number of slots.
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
