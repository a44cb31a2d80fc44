"""Figures of how evenly load is distributed. Performs no I/O; random draws come from a seed.

The *part* of a host in an interval is its capacity divided by the capacity of all hosts that were
ready throughout the interval; its *due* is its part of all attempts in the interval. n(h, w) is the
number of attempts sent to host h in window w, and due(h, w) the number due to it:

- *peak* of a span: the maximum of n / due over the hosts that were ready throughout a complete
  window of the span's length, as the mean over windows and as the worst window. *Trough*: the same
  with the minimum. Both are 1 for an even distribution.
- *by chance*: the mean peak and trough of independent draws weighted by capacity, with as many
  draws in each window as attempts. *Excess*: the peak divided by the peak by chance. A value
  below 1 is more even than independent draws.
- *idle*: periods of at least five seconds in which a ready host received no attempts although at
  least one attempt per second was due to it.
- *herd*: x(g, h, s) is the number of attempts of gateway g to host h in slot s, minus the
  attempts of g in that slot times the share of h in all attempts of g. Herd is the variance over s
  of the sum of x over g, divided by the sum over g of the variances of x, averaged over all hosts,
  minus 1. At 0 the gateways act independently, above 0 they act together, and below 0 they
  compensate for each other. *Herd by chance* is the maximum of nineteen values computed with the
  slots of each gateway shuffled: without a herd, one run in twenty exceeds it.
- *swing*: the autocorrelation of a host's n / due by slots at each lag up to a third of the run,
  averaged over hosts. The period is the lag of its highest value after it first falls below zero;
  the amplitude is the square root of 2 * that value * the variance that chance does not explain.
  There is no period if the value is below the noise level, 2 / sqrt(slots * hosts).
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

SPANS_S = (1.0, 5.0, 30.0)  # window lengths for peak and trough
IDLE_S = 5.0  # minimum length of an idle period
IDLE_DUE_PER_S = 1.0  # minimum rate of attempts due to an idle host
SLOT_S = 1.0  # slot length for herd and swing
MAXIMUM_DRAWS = 300_000  # random draws for one span
MAXIMUM_REPEATS = 40  # repetitions of the draws for one window
SHUFFLES = 19  # without a herd, one run in twenty has a higher herd value than all its shuffles
MINIMUM_HERD_SLOTS = 3
MINIMUM_SWING_WINDOWS = 6

Deviations = dict[Id, dict[Id, list[float]]]


class Span(NamedTuple):
    """Peak and trough in windows of `seconds`: the means, the worst values and those by chance."""

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
        """The peak divided by the peak by chance; 1 if the peak by chance is 0."""
        return self.peak / self.chance_peak if self.chance_peak else 1.0


class IdlePeriod(NamedTuple):
    """A period of `seconds` from `since` without attempts to a host, although `due` were due."""

    host: Id
    since: float
    seconds: float
    due: float


class Figures(NamedTuple):
    """All figures of one run.

    `herd_by_chance` is the threshold above which `herd` indicates a herd. `period` is in seconds,
    or None without a swing; `amplitude` is a share of the attempts due.
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
    """The maximum and minimum over hosts of sent divided by due in one window."""

    peak: float
    trough: float


def compute_figures(trace: LoadTrace, seed: Hashable = 0) -> Figures:
    """Compute all figures of a trace; `seed` seeds the random draws and shuffles."""
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
    """Return peak and trough in windows of `seconds`; None if no complete window has attempts."""
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
    """Draw as many attempts as the window had, with each host weighted by its due."""
    hosts = list(load)
    dues = [due for _, due in load.values()]
    attempts = round(sum(sent for sent, _ in load.values()))
    counts = Counter(generator.choices(hosts, dues, k=attempts))
    return {host: HostLoad(counts[host], due) for host, due in zip(hosts, dues, strict=True)}


def find_idle_periods(
    trace: LoadTrace, seconds: float = IDLE_S, due_per_s: float = IDLE_DUE_PER_S
) -> list[IdlePeriod]:
    """Return the periods in which a ready host received no attempts, ordered by their start.

    Args:
        trace: The attempts and the ready periods of the hosts.
        seconds: The minimum length of a period, in seconds.
        due_per_s: The minimum rate of attempts due to the host, per second.
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
    """Yield the start and end of each interval without attempts in a ready period of a host."""
    ready_since, ready_until, _ = ready
    since = max(ready_since, trace.since)
    until = min(ready_until, trace.until)
    boundaries = sorted(at for at in (since, *times, until) if since <= at <= until)
    yield from pairwise(boundaries)


def measure_herd(
    trace: LoadTrace, seconds: float = SLOT_S, seed: Hashable = 0
) -> tuple[float, float]:
    """Measure how strongly the gateways change their choice of hosts together.

    Args:
        trace: The attempts and the ready periods of the hosts.
        seconds: The length of a slot, in seconds.
        seed: The seed of the shuffles.

    Returns:
        The herd and the herd by chance; zeros if the run is too short.
    """
    counts, slot_count = count_by_slot(trace, seconds)
    always_ready = ready_capacities(trace, trace.since, trace.since + slot_count * seconds)
    deviations = _deviations(counts, always_ready)
    if slot_count < MINIMUM_HERD_SLOTS or not deviations:
        return 0.0, 0.0
    generator = random.Random(f"{seed} herd")
    measured = _herd(deviations, slot_count, {})
    shuffled = []
    for _ in range(SHUFFLES):
        orders = {
            gateway: generator.sample(range(slot_count), slot_count) for gateway in deviations
        }
        shuffled.append(_herd(deviations, slot_count, orders))
    return measured, max(shuffled)


def _deviations(counts: SlotCounts, hosts: Mapping[Id, float]) -> Deviations:
    """Return each slot's deviation from the host's usual share, by gateway and host."""
    deviations: Deviations = {}
    for gateway, rows in counts.items():
        slot_totals = [sum(column) for column in zip(*rows.values(), strict=True)]
        total = sum(slot_totals)
        deviations[gateway] = {
            host: [
                count - slot_total * sum(row) / total
                for count, slot_total in zip(row, slot_totals, strict=True)
            ]
            for host, row in rows.items()
            if host in hosts
        }
    return deviations


def _herd(deviations: Deviations, slot_count: int, orders: Mapping[Id, Sequence[int]]) -> float:
    """Return the variance of sums divided by the sum of variances, minus 1, averaged over hosts.

    `orders` holds the order of each gateway's slots; a gateway without an entry keeps its order.
    """
    sums: dict[Id, list[float]] = defaultdict(lambda: [0.0] * slot_count)
    separate: dict[Id, float] = defaultdict(float)
    for gateway, rows in deviations.items():
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
    """Measure the swing in slots of `seconds`.

    Returns:
        The period in seconds, or None without a swing, and the amplitude as a share of the
        attempts due.
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
