"""Straight lines through the figures of runs: what a figure grows by when one size does. Free of I/O; all chance comes from
a seed.

A figure is measured at several points of a size, in several runs each. The line is a weighted least-squares fit to the
points' medians (Aitken 1935; Draper and Smith, Applied Regression Analysis, section 9.2): runs of a figure differ by a share
of it rather than by an amount, so each point weighs by 1 over its median squared, and what is minimised is the squared error
relative to what was found. Else the largest point alone would decide on the intercept.

- *Spread* of a slope: the least and the most slope of the lines through each run's own points (the first run of every point,
  the second, ...).
- *Whether it is a line*: it must pass every point's median within NEAR of it, or within the reach of the point's runs;
  a lack-of-fit test in plain words. Where it does not, the note says at which point it is off the most, and how the figure
  grows by the exponent of a power of the size, over all points and between the last two.
- *A prediction* is the line at a size that it has not seen; it holds where the median found lies within NEAR of it. So one
  figure says both: a line that passes its points by no more than that is one to predict with.
"""

import math
import random
import statistics
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

LEAST_POINTS = 4
NEAR = 0.2  # of what was found: what a line may miss a point by; of what was stated: how far off a prediction may be
FLOOR = 0.01  # of the largest median: what a point counts as at least, where shares of it are taken


class Point(NamedTuple):
    """A figure at one value of the size: the median, least and most of so many runs."""

    value: float
    median: float
    least: float
    most: float
    runs: int


class Fit(NamedTuple):
    """A line, its slope's least and most over the runs apart, and whether it is one; the note is empty or says more."""

    intercept: float
    slope: float
    spread: tuple[float, float]
    line: bool
    note: str
    points: tuple[Point, ...]

    def at(self, value: float) -> float:
        """The line's word on a value of the size."""
        return self.intercept + self.slope * value


def points(found: Iterable[tuple[float, int, float]]) -> tuple[Point, ...]:
    """Points from (value, run, figure), in order of value."""
    by_value = defaultdict(list)
    for value, _, figure in found:
        by_value[value].append(figure)
    return tuple(
        Point(value, statistics.median(figures), min(figures), max(figures), len(figures))
        for value, figures in sorted(by_value.items())
    )


def weighed(figures: Sequence[float]) -> list[float]:
    """What each figure counts as where shares of it are taken: its size, or FLOOR of the largest."""
    top = max(map(abs, figures))
    return [max(abs(figure), FLOOR * top) or 1.0 for figure in figures]


def straight(rows: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Intercept and slope through (value, figure), by least squares of the error relative to the figure. Raises ValueError
    where the rows have fewer than two values of the size."""
    if len({value for value, _ in rows}) < 2:
        raise ValueError(
            f"expected two values of the size or more, found {len({value for value, _ in rows})}"
        )
    weights = [1 / one**2 for one in weighed([figure for _, figure in rows])]
    total = math.fsum(weights)
    middle = (
        math.fsum(weight * value for weight, (value, _) in zip(weights, rows, strict=True)) / total
    )
    mean = (
        math.fsum(weight * figure for weight, (_, figure) in zip(weights, rows, strict=True))
        / total
    )
    across = math.fsum(
        weight * (value - middle) ** 2 for weight, (value, _) in zip(weights, rows, strict=True)
    )
    along = math.fsum(
        weight * (value - middle) * (figure - mean)
        for weight, (value, figure) in zip(weights, rows, strict=True)
    )
    return mean - along / across * middle, along / across


def exponent(rows: Sequence[tuple[float, float]]) -> float | None:
    """The power of the size by which a figure grows: the slope of its logarithm over that of the size. None where a value
    or a figure has no logarithm."""
    if len(rows) < 2 or any(value <= 0 or figure <= 0 for value, figure in rows):
        return None
    return statistics.linear_regression(
        *zip(*((math.log(value), math.log(figure)) for value, figure in rows), strict=True)
    ).slope


def fit(found: Iterable[tuple[float, int, float]]) -> Fit:
    """The line through (value, run, figure). Raises ValueError for fewer than LEAST_POINTS values of the size."""
    found = list(found)
    told = points(found)
    if len(told) < LEAST_POINTS:
        raise ValueError(f"expected {LEAST_POINTS} points or more, found {len(told)}")
    intercept, slope = straight([(point.value, point.median) for point in told])
    apart = defaultdict(list)
    for value, run, figure in found:
        apart[run].append((value, figure))
    slopes = [straight(rows)[1] for rows in apart.values() if len(rows) == len(told)] or [slope]
    off = []
    for point, size in zip(told, weighed([point.median for point in told]), strict=True):
        line = intercept + slope * point.value
        if abs(line - point.median) > NEAR * size and not point.least <= line <= point.most:
            off.append((abs(line - point.median) / size, point, line))
    note = "flat" if min(slopes) <= 0 <= max(slopes) and len(slopes) > 1 else ""
    if off:
        _, point, line = max(off)
        note = f"not a line: at {point.value:g} found {point.median:.4g}, the line has {line:.4g}"
        rows = [(one.value, one.median) for one in told]
        powers = exponent(rows), exponent(rows[-2:])
        if None not in powers:
            note += f"; grows as size^{powers[0]:.2f}, between the last two points as size^{powers[1]:.2f}"
    return Fit(intercept, slope, (min(slopes), max(slopes)), not off, note, told)


def judged(stated: float, found: Sequence[float]) -> tuple[float, bool]:
    """By what share of it the median found is off what was stated, and whether that is near enough. What was stated as 0 is
    off by infinity, unless 0 was found."""
    middle = statistics.median(found)
    off = (
        (middle - stated) / abs(stated)
        if stated
        else math.copysign(math.inf, middle)
        if middle
        else 0.0
    )
    return off, abs(off) <= NEAR


def interleaved(jobs: Iterable, seed: int) -> list:
    """All jobs in an order drawn from the seed: no point of a size, and no build, has a time of its own."""
    jobs = list(jobs)
    random.Random(seed).shuffle(jobs)
    return jobs


def rounded(value: float) -> float:
    """To four significant digits."""
    return float(f"{value:.4g}") if math.isfinite(value) else value
