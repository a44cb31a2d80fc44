"""Figures of evenness, each defined here and nowhere else. Free of I/O; all chance comes from a seed.

What is told is when which gateway sent how many call-outs to which host, and when which host was ready with which capacity,
in any unit that all hosts share. A host's *part* of a time is its capacity over that of all hosts ready in it; its *due* is
its part of all call-outs of that time. With n(h, w) the call-outs to host h in window w, and due(h, w) what was due:

- *peak* of a span: in each whole window of so many seconds, the most of n / due over the hosts ready in all of it; the mean
  over windows, and the worst. *Trough*: the least, likewise. 1 is even.
- *by chance*: the same of independent draws in step with capacity, as many in each window as there were. *Excess*: peak over
  peak by chance. Below 1 is more even than plain chance can be.
- *idle*: times of at least five seconds in which a ready host got nothing, though its due was one a second or more.
- *herd*: with x(g, h, s) the call-outs of gateway g to host h in slot s, less g's call-outs of the slot times h's share
  of all that g sent: the variance over s of their sum over g, over the sum over g of their variances, at the mean of all
  hosts, less 1. 0: gateways move by themselves; above: together; below: they make up for each other. *Herd by chance* is
  the most of nineteen times the same with each gateway's slots shuffled: one in twenty is above it without a herd.
- *swing*: of a host's n / due by slots, the autocorrelation at each lag up to a third of the run, at the mean over hosts.
  Its highest top after it first falls below zero is the period; amplitude is the root of two of its value times the
  variance that chance does not explain. No period where the top is lower than what is left by chance, 2 / sqrt(slots times
  hosts).
"""

import math
import random
from bisect import bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any, NamedTuple

SPANS = (1.0, 5.0, 30.0)  # seconds over which peak and trough are told
IDLE = 5.0  # seconds without a call-out that make a host idle
DUE = 1.0  # call-outs a second that were due to it then
SLOT = 1.0  # seconds of a slot, for herd and swing
DRAWS = 300_000  # draws made for what chance gives, at most, of one span
SHUFFLES = 19


@dataclass
class Told:
    """What the figures are made of. `sent` holds (at, gateway, host, number), `ready` maps a host to its times of being
    ready, as (since, until, capacity); `since` and `until` bound what is looked at. Seconds of one clock."""

    since: float
    until: float
    sent: list = field(default_factory=list)
    ready: dict[Any, list] = field(default_factory=dict)


class Span(NamedTuple):
    """Peak and trough of a span of so many seconds: means over windows and the worst; the same by chance."""

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
        """The peak over what chance gives; 1 where nothing was sent."""
        return self.peak / self.chance_peak if self.chance_peak else 1.0


class Idle(NamedTuple):
    """A host that got nothing from `since` for so many seconds, and what was due to it."""

    host: Any
    since: float
    seconds: float
    due: float


class Figures(NamedTuple):
    """All figures of one run. `herd_by_chance` bounds what a herd of none shows; `period` is None where nothing swings."""

    call_outs: int
    gateways: int
    hosts: int
    spans: tuple[Span, ...]
    idle: tuple[Idle, ...]
    herd: float
    herd_by_chance: float
    period: float | None
    amplitude: float


def capacities(told: Told, since: float, until: float) -> dict:
    """The capacity of each host that was ready in all of a time."""
    return {
        host: size
        for host, times in told.ready.items()
        for start, end, size in times
        if start <= since and end >= until and size > 0
    }


def windows(told: Told, seconds: float, step: float | None = None):
    """Whole windows: (since, {host: (sent, due)}) for hosts ready in all of each; call-outs to others are left out."""
    step, sent = step or seconds, sorted(told.sent, key=lambda one: one[0])
    times, at = [one[0] for one in sent], told.since
    while at + seconds <= told.until + 1e-9:
        sizes = capacities(told, at, at + seconds)
        counts = Counter()
        for _, _, host, number in sent[
            bisect_right(times, at - 1e-12) : bisect_right(times, at + seconds - 1e-12)
        ]:
            counts[host] += number if host in sizes else 0
        total, size = sum(counts.values()), sum(sizes.values())
        if total and len(sizes) > 1:
            yield at, {host: (counts[host], total * part / size) for host, part in sizes.items()}
        at += step


def extremes(row) -> tuple[float, float]:
    """The most and the least of sent over due."""
    shares = [count / due for count, due in row.values()]
    return max(shares), min(shares)


def span(told: Told, seconds: float, seed: Any = 0) -> Span | None:
    """Peak and trough over so many seconds; None where the run has no whole window with call-outs."""
    rows = [row for _, row in windows(told, seconds)]
    if not rows:
        return None
    chance, found = random.Random(f"{seed} {seconds}"), [extremes(row) for row in rows]
    total = sum(sum(count for count, _ in row.values()) for row in rows)
    drawn = [
        extremes(draw(row, chance))
        for row in rows
        for _ in range(max(1, min(40, int(DRAWS / max(1, total)))))
    ]
    (peaks, troughs), (most, least) = zip(*found, strict=True), zip(*drawn, strict=True)
    return Span(
        seconds,
        len(rows),
        mean(peaks),
        mean(troughs),
        max(peaks),
        min(troughs),
        mean(most),
        mean(least),
    )


def draw(row, chance):
    """As many independent draws in step with what was due."""
    hosts, dues = list(row), [due for _, due in row.values()]
    counts = Counter(chance.choices(hosts, dues, k=round(sum(count for count, _ in row.values()))))
    return {host: (counts[host], due) for host, due in zip(hosts, dues, strict=True)}


def mean(values) -> float:
    """The mean; 0 of nothing."""
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def variance(values) -> float:
    middle = mean(values)
    return mean((value - middle) ** 2 for value in values)


def idle(told: Told, seconds: float = IDLE, due: float = DUE) -> list[Idle]:
    """Times of at least so many seconds in which a ready host got nothing though `due` a second was its part."""
    found, sent = [], sorted(told.sent, key=lambda one: one[0])
    by_host, at, total, size = defaultdict(list), [0.0], [0], 0
    for when, _, host, number in sent:
        if number:
            by_host[host].append(when)
        size += number
        at.append(when)
        total.append(size)
    for host, times in told.ready.items():
        for since, until, capacity in times:
            marks = [max(since, told.since), *by_host[host], min(until, told.until)]
            marks = sorted(
                mark for mark in marks if max(since, told.since) <= mark <= min(until, told.until)
            )
            for begin, end in zip(marks, marks[1:], strict=False):
                if end - begin < seconds:
                    continue
                others = capacities(told, begin, end)
                sent_then = total[bisect_right(at, end) - 1] - total[bisect_right(at, begin) - 1]
                part = sent_then * capacity / max(1e-9, sum(others.values()))
                if part >= due * (end - begin):
                    found.append(Idle(host, begin, end - begin, part))
    return sorted(found, key=lambda one: one.since)


def slots(told: Told, seconds: float = SLOT):
    """Call-outs by gateway and host in each whole slot: {gateway: {host: [number by slot]}}, and the number of slots."""
    length = int((told.until - told.since) / seconds + 1e-9)
    table = defaultdict(dict)
    for when, gateway, host, number in told.sent:
        slot = int((when - told.since) / seconds)
        if 0 <= slot < length:
            row = table[gateway].get(host)
            if row is None:
                row = table[gateway][host] = [0] * length
            row[slot] += number
    return table, length


def herd(told: Told, seconds: float = SLOT, seed: Any = 0) -> tuple[float, float]:
    """How much gateways move together, and the most that nineteen shuffles of a herd of none show."""
    table, length = slots(told, seconds)
    always = capacities(told, told.since, told.since + length * seconds)
    moves = {}  # gateway -> {host: what was sent beyond its usual share of the slot}
    for gateway, rows in table.items():
        totals = [sum(column) for column in zip(*rows.values(), strict=True)]
        whole = sum(totals)
        moves[gateway] = {
            host: [
                count - total * sum(row) / whole for count, total in zip(row, totals, strict=True)
            ]
            for host, row in rows.items()
            if host in always
        }
    if length < 3 or not moves:
        return 0.0, 0.0
    chance, orders = random.Random(f"{seed} herd"), {}
    found = together(moves, length, orders)
    shuffled = []
    for _ in range(SHUFFLES):
        orders = {gateway: chance.sample(range(length), length) for gateway in moves}
        shuffled.append(together(moves, length, orders))
    return found, max(shuffled)


def together(moves, length, orders) -> float:
    """The variance of sums over the sum of variances, less 1, at the mean over hosts; slots in each gateway's order."""
    sums, alone = defaultdict(lambda: [0.0] * length), Counter()
    for gateway, rows in moves.items():
        order = orders.get(gateway)
        for host, row in rows.items():
            total = sums[host]
            for at, value in enumerate(row if order is None else map(row.__getitem__, order)):
                total[at] += value
            alone[host] += variance(row)
    return (
        mean(variance(sums[host]) / alone[host] for host in sums if alone[host] > 0) - 1
        if any(alone.values())
        else 0.0
    )


def swing(told: Told, seconds: float = SLOT) -> tuple[float | None, float]:
    """The period in seconds, None where nothing swings, and the amplitude as a share of what is due."""
    rows = [row for _, row in windows(told, seconds)]
    hosts = [host for host in told.ready if all(host in row for row in rows)]
    if len(rows) < 6 or not hosts:
        return None, 0.0
    series = [[row[host][0] / row[host][1] for row in rows] for host in hosts]
    by_chance = mean(mean(1 / row[host][1] for row in rows) for host in hosts)
    spread = mean(map(variance, series))
    lags = [mean(correlation(one, lag) for one in series) for lag in range(1, len(rows) // 3 + 1)]
    below = next((at for at, value in enumerate(lags) if value < 0), None)
    if below is None or below + 1 >= len(lags):
        return None, 0.0
    top = max(range(below, len(lags)), key=lags.__getitem__)
    if lags[top] < 2 / math.sqrt(len(rows) * len(hosts)) or spread <= by_chance:
        return None, 0.0
    return (top + 1) * seconds, math.sqrt(2 * lags[top] * (spread - by_chance))


def correlation(values, lag: int) -> float:
    """The autocorrelation at a lag; 0 for what never changes."""
    middle, whole = mean(values), variance(values)
    pairs = zip(values, values[lag:], strict=False)
    return mean((one - middle) * (other - middle) for one, other in pairs) / whole if whole else 0.0


def figures(told: Told, seed: Any = 0) -> Figures:
    """All figures of what was told."""
    spans = tuple(filter(None, (span(told, seconds, seed) for seconds in SPANS)))
    moving, chance = herd(told, seed=seed)
    period, amplitude = swing(told)
    gateways = len({gateway for _, gateway, _, _ in told.sent})
    return Figures(
        sum(one[3] for one in told.sent),
        gateways,
        len(told.ready),
        spans,
        tuple(idle(told)),
        moving,
        chance,
        period,
        amplitude,
    )
