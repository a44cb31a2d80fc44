"""Figures of evenness, each defined here and nowhere else. Free of I/O; chance comes from a seed.

The *part* of a host in a time is its capacity over that of all hosts that were ready in it; its
*due* is its part of all attempts of that time. With n(h, w) the attempts sent to host h in window
w, and due(h, w) what was due to it:

- *peak* of a span: in each complete window of so many seconds, the maximum of n / due over the
  hosts ready in all of it; the mean over windows, and the worst. *Trough*: the minimum, likewise.
  1 is even.
- *by chance*: the same for independent draws weighted by capacity, as many in each window as there
  were attempts. *Excess*: peak over peak by chance. Below 1 is more even than chance can be.
- *idle*: periods of at least five seconds in which a ready host got nothing, though one attempt a
  second or more was due to it.
- *herd*: x(g, h, s) is the number of attempts of gateway g to host h in slot s, less the attempts
  of g in that slot times the share of h in all that g sent. Herd is the variance over s of the sum
  of x over g, over the sum over g of the variances of x, at the mean of all hosts, less 1. 0:
  gateways move independently; above: together; below: they compensate for each other. *Herd by
  chance* is the maximum of nineteen times the same with the slots of each gateway shuffled: without
  a herd, one run in twenty is above it.
- *swing*: of a host's n / due by slots, the autocorrelation at each lag up to a third of the run,
  at the mean over hosts. Its highest value after it first falls below zero is at the period; the
  amplitude is the square root of 2 * that value * the variance that chance does not explain. There
  is no period where the value is below what chance leaves, 2 / sqrt(slots * hosts).
"""

import math
import random
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Hashable, Iterator, Mapping, Sequence
from itertools import pairwise
from typing import NamedTuple

from petrellane.load_distribution.numeric import autocorrelation, mean, variance
from petrellane.load_distribution.trace import (
    HostLoad,
    Id,
    LoadTrace,
    ReadyPeriod,
    SlotCounts,
    WindowLoad,
    count_by_slot,
    ready_capacities,
    sort_by_time,
    windows,
)

SPANS_S = (1.0, 5.0, 30.0)  # the spans of peak and trough
IDLE_S = 5.0  # seconds without an attempt that make a host idle
IDLE_DUE_PER_S = 1.0  # attempts a second that are due to an idle host at least
SLOT_S = 1.0  # seconds of a slot, for herd and swing
MAXIMUM_DRAWS = 300_000  # attempts drawn at random for one span
MAXIMUM_REPEATS = 40  # times that one window is drawn
SHUFFLES = 19  # so that one run in twenty without a herd is above all of them
MINIMUM_HERD_SLOTS = 3
MINIMUM_SWING_WINDOWS = 6

Moves = dict[Id, dict[Id, list[float]]]


class Span(NamedTuple):
    """Peak and trough of a span of so many seconds: means over windows, worst, and by chance."""

    seconds: float
    windows: int
    peak: float
    trough: float
    worst_peak: float
    worst_trough: float
    chance_peak: float
    chance_trough: float

    @property
    def excess(self) -> float:
        """The peak over the peak by chance; 1 where nothing was sent."""
        return self.peak / self.chance_peak if self.chance_peak else 1.0


class IdlePeriod(NamedTuple):
    """A host got nothing for so many seconds from `since`, though `due` attempts were due to it."""

    host: Id
    since: float
    seconds: float
    due: float


class Figures(NamedTuple):
    """All figures of one run.

    `herd_by_chance` bounds what a run without a herd shows; `period` is in seconds, None where
    nothing swings; `amplitude` is a share of what is due.
    """

    attempts: int
    gateways: int
    hosts: int
    spans: tuple[Span, ...]
    idle: tuple[IdlePeriod, ...]
    herd: float
    herd_by_chance: float
    period: float | None
    amplitude: float


class Extremes(NamedTuple):
    """The maximum and the minimum of sent over due in one window."""

    peak: float
    trough: float


def compute_figures(trace: LoadTrace, seed: Hashable = 0) -> Figures:
    """Compute all figures of a trace; `seed` feeds the draws of what chance gives."""
    spans = tuple(
        span for seconds in SPANS_S if (span := measure_span(trace, seconds, seed)) is not None
    )
    herd, herd_by_chance = measure_herd(trace, seed=seed)
    period, amplitude = measure_swing(trace)
    return Figures(
        attempts=sum(number for _, _, _, number in trace.sent),
        gateways=len({gateway for _, gateway, _, _ in trace.sent}),
        hosts=len(trace.ready),
        spans=spans,
        idle=tuple(find_idle_periods(trace)),
        herd=herd,
        herd_by_chance=herd_by_chance,
        period=period,
        amplitude=amplitude,
    )


def measure_span(trace: LoadTrace, seconds: float, seed: Hashable = 0) -> Span | None:
    """Measure peak and trough; None where no complete window has attempts."""
    loads = [load for _, load in windows(trace, seconds)]
    if not loads:
        return None
    generator = random.Random(f"{seed} {seconds}")
    measured = [_extremes(load) for load in loads]
    total = sum(sum(sent for sent, _ in load.values()) for load in loads)
    repeats = max(1, min(MAXIMUM_REPEATS, int(MAXIMUM_DRAWS / max(1, total))))
    drawn = [_extremes(_draw(load, generator)) for load in loads for _ in range(repeats)]
    return Span(
        seconds=seconds,
        windows=len(loads),
        peak=mean(window.peak for window in measured),
        trough=mean(window.trough for window in measured),
        worst_peak=max(window.peak for window in measured),
        worst_trough=min(window.trough for window in measured),
        chance_peak=mean(window.peak for window in drawn),
        chance_trough=mean(window.trough for window in drawn),
    )


def _extremes(load: WindowLoad) -> Extremes:
    shares = [sent / due for sent, due in load.values()]
    return Extremes(max(shares), min(shares))


def _draw(load: WindowLoad, generator: random.Random) -> WindowLoad:
    """Draw as many attempts as the window had, each host with the probability of its due."""
    hosts = list(load)
    dues = [due for _, due in load.values()]
    attempts = round(sum(sent for sent, _ in load.values()))
    counts = Counter(generator.choices(hosts, dues, k=attempts))
    return {host: HostLoad(counts[host], due) for host, due in zip(hosts, dues, strict=True)}


def find_idle_periods(
    trace: LoadTrace, seconds: float = IDLE_S, due_per_s: float = IDLE_DUE_PER_S
) -> list[IdlePeriod]:
    """Find the periods in which a ready host got nothing, in the order of their start.

    Args:
        trace: What was sent, and which hosts were ready.
        seconds: The length of a period at least.
        due_per_s: Attempts a second that were due to the host at least.
    """
    times_by_host: dict[Id, list[float]] = defaultdict(list)
    times = [0.0]
    totals = [0]
    for at, _, host, number in sort_by_time(trace):
        if number:
            times_by_host[host].append(at)
        times.append(at)
        totals.append(totals[-1] + number)
    periods = []
    for host, ready_periods in trace.ready.items():
        for ready in ready_periods:
            for begin, end in _gaps(trace, ready, times_by_host[host]):
                if end - begin < seconds:
                    continue
                fleet_capacity = sum(ready_capacities(trace, begin, end).values())
                sent = totals[bisect_right(times, end) - 1] - totals[bisect_right(times, begin) - 1]
                _, _, capacity = ready
                due = sent * capacity / max(1e-9, fleet_capacity)
                if due >= due_per_s * (end - begin):
                    periods.append(IdlePeriod(host, begin, end - begin, due))
    return sorted(periods, key=lambda period: period.since)


def _gaps(
    trace: LoadTrace, ready: ReadyPeriod, times: Sequence[float]
) -> Iterator[tuple[float, float]]:
    """Yield the begin and end of each time between two attempts while a host was ready."""
    ready_since, ready_until, _ = ready
    since = max(ready_since, trace.since)
    until = min(ready_until, trace.until)
    borders = sorted(at for at in (since, *times, until) if since <= at <= until)
    yield from pairwise(borders)


def measure_herd(
    trace: LoadTrace, seconds: float = SLOT_S, seed: Hashable = 0
) -> tuple[float, float]:
    """Measure how much gateways move together.

    Args:
        trace: What was sent, and which hosts were ready.
        seconds: The length of a slot.
        seed: Of the shuffles.

    Returns:
        The herd, and the herd by chance; zeros for a run that is too short.
    """
    counts, slot_count = count_by_slot(trace, seconds)
    always_ready = ready_capacities(trace, trace.since, trace.since + slot_count * seconds)
    moves = _moves(counts, always_ready)
    if slot_count < MINIMUM_HERD_SLOTS or not moves:
        return 0.0, 0.0
    generator = random.Random(f"{seed} herd")
    measured = _herd_of(moves, slot_count, {})
    shuffled = []
    for _ in range(SHUFFLES):
        orders = {gateway: generator.sample(range(slot_count), slot_count) for gateway in moves}
        shuffled.append(_herd_of(moves, slot_count, orders))
    return measured, max(shuffled)


def _moves(counts: SlotCounts, hosts: Mapping[Id, float]) -> Moves:
    """Return by gateway and host what was sent beyond the host's usual share of each slot."""
    moves: Moves = {}
    for gateway, rows in counts.items():
        slot_totals = [sum(column) for column in zip(*rows.values(), strict=True)]
        total = sum(slot_totals)
        moves[gateway] = {
            host: [
                count - slot_total * sum(row) / total
                for count, slot_total in zip(row, slot_totals, strict=True)
            ]
            for host, row in rows.items()
            if host in hosts
        }
    return moves


def _herd_of(moves: Moves, slot_count: int, orders: Mapping[Id, Sequence[int]]) -> float:
    """Return the variance of sums over the sum of variances, less 1, at the mean over hosts.

    `orders` gives the order of each gateway's slots; a gateway that it lacks keeps its own.
    """
    sums: dict[Id, list[float]] = defaultdict(lambda: [0.0] * slot_count)
    separate: dict[Id, float] = defaultdict(float)
    for gateway, rows in moves.items():
        order = orders.get(gateway)
        for host, row in rows.items():
            total = sums[host]
            values = row if order is None else map(row.__getitem__, order)
            for slot, value in enumerate(values):
                total[slot] += value
            separate[host] += variance(row)
    if not any(separate.values()):
        return 0.0
    return mean(variance(sums[host]) / separate[host] for host in sums if separate[host] > 0) - 1


def measure_swing(trace: LoadTrace, seconds: float = SLOT_S) -> tuple[float | None, float]:
    """Measure the swing by slots of so many seconds.

    Returns:
        The period in seconds, None where nothing swings, and the amplitude as a share of what is
        due.
    """
    loads = [load for _, load in windows(trace, seconds)]
    hosts = [host for host in trace.ready if all(host in load for load in loads)]
    if len(loads) < MINIMUM_SWING_WINDOWS or not hosts:
        return None, 0.0
    series = [[load[host].sent / load[host].due for load in loads] for host in hosts]
    chance_variance = mean(mean(1 / load[host].due for load in loads) for host in hosts)
    total_variance = mean(map(variance, series))
    maximum_lag = len(loads) // 3
    correlations = [
        mean(autocorrelation(values, lag) for values in series) for lag in range(1, maximum_lag + 1)
    ]
    negative = next((index for index, value in enumerate(correlations) if value < 0), None)
    if negative is None or negative + 1 >= len(correlations):
        return None, 0.0
    top = max(range(negative, len(correlations)), key=correlations.__getitem__)
    by_chance = 2 / math.sqrt(len(loads) * len(hosts))
    if correlations[top] < by_chance or total_variance <= chance_variance:
        return None, 0.0
    amplitude = math.sqrt(2 * correlations[top] * (total_variance - chance_variance))
    return (top + 1) * seconds, amplitude
