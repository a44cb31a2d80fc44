"""Straight lines through the figures of runs: what a figure grows by when one size does.

Free of I/O; all randomness comes from a seed.

A figure is measured at several points of a size, in several runs each. The line is a weighted
least-squares fit to the points' medians (Aitken 1935; Draper and Smith, Applied Regression
Analysis, section 9.2). Runs of a figure differ by a fraction of it rather than by an amount, so
each point weighs by 1 over its median squared, and what is minimised is the squared error relative
to the median. Otherwise the largest point alone would decide on the intercept.

- *Spread* of a slope: the smallest and the largest slope of the lines through each run's own
  points (the first run of every point, the second, ...).
- *Whether it is a line*: it must pass every point's median within TOLERANCE of it, or within the
  range of the point's runs; this is an informal lack-of-fit test. Where it does not, the note has
  the point at which the error is largest, and how the figure grows by the exponent of a power of
  the size, over all points and between the last two.
- *A prediction* is the line's value at a size that was not run; it holds where the median of the
  runs there lies within TOLERANCE of it. So one tolerance serves both: a line that passes its
  points by no more than that can be used for predictions.
"""

from __future__ import annotations

import math
import random
import statistics
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple, TypeVar

MINIMUM_POINTS = 4
TOLERANCE = 0.2  # of a point's median, or of what was predicted
WEIGHT_FLOOR = 0.01  # of the largest median: a smaller one weighs as if it were this large
SIGNIFICANT_DIGITS = 4

Job = TypeVar("Job")

Sample = tuple[float, int, float]
"""The value of the size, the number of the run, and the figure."""


class Point(NamedTuple):
    """A figure at one value of the size: the median and range of so many runs."""

    value: float
    median: float
    minimum: float
    maximum: float
    runs: int


class Fit(NamedTuple):
    """A line through the points of a figure.

    Attributes:
        intercept: The line's value at size 0.
        slope: What it grows by for each unit of the size.
        spread: The smallest and the largest slope of the runs apart.
        is_line: Whether the line passes all points.
        note: What else is to be known; may be empty.
        points: The points.
    """

    intercept: float
    slope: float
    spread: tuple[float, float]
    is_line: bool
    note: str
    points: tuple[Point, ...]

    def predict(self, value: float) -> float:
        """Return the line's value at a value of the size."""
        return self.intercept + self.slope * value


class _Miss(NamedTuple):
    """A point that the line misses: by what fraction, and the line's value there."""

    error: float
    point: Point
    predicted: float


def group_points(samples: Iterable[Sample]) -> tuple[Point, ...]:
    """Return the points of samples, in order of the size."""
    by_value: defaultdict[float, list[float]] = defaultdict(list)
    for value, _, figure in samples:
        by_value[value].append(figure)
    return tuple(
        Point(value, statistics.median(figures), min(figures), max(figures), len(figures))
        for value, figures in sorted(by_value.items())
    )


def relative_scales(figures: Sequence[float]) -> list[float]:
    """Return what an error at each figure is divided by: its size, or the floor."""
    largest = max(map(abs, figures))
    return [max(abs(figure), WEIGHT_FLOOR * largest) or 1.0 for figure in figures]


def fit_straight_line(rows: Sequence[tuple[float, float]]) -> tuple[float, float]:
    """Fit a line by least squares of the error relative to the figure.

    Args:
        rows: Values of the size, each with its figure.

    Returns:
        The intercept and the slope.

    Raises:
        ValueError: There are fewer than two values of the size.
    """
    value_count = len({value for value, _ in rows})
    if value_count < 2:
        raise ValueError(f"expected two values of the size or more, found {value_count}")
    weights = [1 / scale**2 for scale in relative_scales([figure for _, figure in rows])]
    weighted = [
        (weight, value, figure) for weight, (value, figure) in zip(weights, rows, strict=True)
    ]
    total = math.fsum(weights)
    mean_value = math.fsum(weight * value for weight, value, _ in weighted) / total
    mean_figure = math.fsum(weight * figure for weight, _, figure in weighted) / total
    variance = math.fsum(weight * (value - mean_value) ** 2 for weight, value, _ in weighted)
    covariance = math.fsum(
        weight * (value - mean_value) * (figure - mean_figure) for weight, value, figure in weighted
    )
    slope = covariance / variance
    return mean_figure - slope * mean_value, slope


def growth_exponent(rows: Sequence[tuple[float, float]]) -> float | None:
    """Return the power of the size by which a figure grows.

    It is the slope of the figure's logarithm over that of the size; None where a value or a figure
    has no logarithm, or where there are fewer than two.
    """
    if len(rows) < 2 or any(value <= 0 or figure <= 0 for value, figure in rows):
        return None
    values = [math.log(value) for value, _ in rows]
    figures = [math.log(figure) for _, figure in rows]
    return statistics.linear_regression(values, figures).slope


def fit(samples: Iterable[Sample]) -> Fit:
    """Fit a line to samples.

    Raises:
        ValueError: There are fewer than MINIMUM_POINTS values of the size.
    """
    samples = list(samples)
    points = group_points(samples)
    if len(points) < MINIMUM_POINTS:
        raise ValueError(f"expected {MINIMUM_POINTS} points or more, found {len(points)}")
    intercept, slope = fit_straight_line([(point.value, point.median) for point in points])
    slopes = _slopes_of_runs(samples, len(points)) or [slope]
    misses = _misses(points, intercept, slope)
    note = ""
    if misses:
        note = _miss_note(points, max(misses))
    elif min(slopes) <= 0 <= max(slopes) and len(slopes) > 1:
        note = "flat"
    return Fit(intercept, slope, (min(slopes), max(slopes)), not misses, note, points)


def _slopes_of_runs(samples: Iterable[Sample], point_count: int) -> list[float]:
    """Return the slope of each run that has a sample at every point."""
    by_run: defaultdict[int, list[tuple[float, float]]] = defaultdict(list)
    for value, run, figure in samples:
        by_run[run].append((value, figure))
    return [fit_straight_line(rows)[1] for rows in by_run.values() if len(rows) == point_count]


def _misses(points: Sequence[Point], intercept: float, slope: float) -> list[_Miss]:
    """Return the points that the line misses."""
    misses = []
    scales = relative_scales([point.median for point in points])
    for point, scale in zip(points, scales, strict=True):
        predicted = intercept + slope * point.value
        error = abs(predicted - point.median)
        if error > TOLERANCE * scale and not point.minimum <= predicted <= point.maximum:
            misses.append(_Miss(error / scale, point, predicted))
    return misses


def _miss_note(points: Sequence[Point], miss: _Miss) -> str:
    """Return what is noted of a figure that is no line."""
    note = (
        f"not a line: at {miss.point.value:g} found {miss.point.median:.4g}, "
        f"the line has {miss.predicted:.4g}"
    )
    rows = [(point.value, point.median) for point in points]
    overall = growth_exponent(rows)
    last = growth_exponent(rows[-2:])
    if overall is None or last is None:
        return note
    return f"{note}; grows as size^{overall:.2f}, between the last two points as size^{last:.2f}"


def prediction_error(predicted: float, figures: Sequence[float]) -> tuple[float, bool]:
    """Compare a prediction with runs at its size.

    Args:
        predicted: The line's value.
        figures: What the runs have; one or more.

    Returns:
        By what fraction of the prediction the median is off, and whether that is within TOLERANCE.
        A prediction of 0 is off by infinity, unless the median is 0.
    """
    median = statistics.median(figures)
    error = 0.0
    if predicted:
        error = (median - predicted) / abs(predicted)
    elif median:
        error = math.copysign(math.inf, median)
    return error, abs(error) <= TOLERANCE


def shuffled(jobs: Iterable[Job], seed: int) -> list[Job]:
    """Return all jobs in a random order, so that no point or build has a time of its own."""
    order = list(jobs)
    random.Random(seed).shuffle(order)
    return order


def round_to_significant(value: float) -> float:
    """Round a value to four significant digits; infinity and NaN stay."""
    if not math.isfinite(value):
        return value
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")
