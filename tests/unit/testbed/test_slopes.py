"""Fitted lines of cost, through points whose truth is known."""

import random
import re
from collections.abc import Callable

import pytest

from petrellane.testbed import slopes
from tests.unit.testbed.tolerance import almost

SIZES = (50, 400, 1_600, 6_500, 13_000)


def runs(
    figure: Callable[[float], float],
    values: tuple[int, ...] = SIZES,
    noise: float = 0.0,
    seed: int = 1,
) -> list[tuple[int, int, float]]:
    """Return (value, run, figure) of five runs a value, each off by a share of `noise` at most."""
    generator = random.Random(seed)
    return [
        (value, run, figure(value) * (1 + generator.uniform(-noise, noise)))
        for value in values
        for run in range(1, 6)
    ]


def test_a_line_is_found_as_it_was_made() -> None:
    line = slopes.fit(runs(lambda value: 0.5 + 0.01 * value))
    assert line.intercept == almost(0.5)
    assert line.slope == almost(0.01)
    assert line.predict(9_000) == almost(90.5)
    assert (line.is_line, line.note) == (True, "")
    assert [(point.value, point.runs) for point in line.points] == [(size, 5) for size in SIZES]


@pytest.mark.parametrize("seed", range(20))
def test_a_small_intercept_is_not_lost_under_a_large_point(seed: int) -> None:
    line = slopes.fit(runs(lambda value: 0.5 + 0.01 * value, noise=0.05, seed=seed))
    assert line.intercept == almost(0.5, delta=0.1)
    assert line.slope == almost(0.01, delta=0.0008)


def test_a_line_with_noise_is_a_line_and_its_spread_holds_the_truth() -> None:
    spreads_with_truth = 0
    for seed in range(20):
        line = slopes.fit(runs(lambda value: 2.0 + 0.004 * value, noise=0.08, seed=seed))
        minimum, maximum = line.spread
        assert line.is_line, line.note
        assert minimum < maximum
        spreads_with_truth += minimum <= 0.004 <= maximum
    assert spreads_with_truth >= 17


def test_the_spread_is_of_the_runs_apart() -> None:
    rows = [(value, run, run * 0.01 * value) for value in (10, 20, 30, 40) for run in (1, 2, 3)]
    line = slopes.fit(rows)
    assert line.slope == almost(0.02)
    assert line.spread[0] == almost(0.01)
    assert line.spread[1] == almost(0.03)


def test_growth_with_the_square_is_no_line_and_the_note_says_so() -> None:
    line = slopes.fit(runs(lambda value: 1e-5 * value**2, (40, 400, 1_600, 4_100), noise=0.02))
    assert not line.is_line
    assert re.search(
        r"^not a line: at \d+ found [\d.e-]+, the line has [\d.e-]+; grows as size\^2\.0\d, "
        r"between the last two points as size\^2\.0\d$",
        line.note,
    )


def test_a_figure_that_levels_off_is_no_line() -> None:
    assert not slopes.fit(runs(lambda value: min(value, 1_600), noise=0.02)).is_line


def test_a_step_in_the_middle_is_no_line() -> None:
    assert not slopes.fit(runs(lambda value: 1.0 if value < 1_000 else 2.0, noise=0.02)).is_line


def test_a_figure_that_does_not_grow_is_a_flat_line() -> None:
    line = slopes.fit(runs(lambda _: 3.0, noise=0.05))
    assert (line.is_line, line.note) == (True, "flat")
    assert slopes.fit(runs(lambda _: 0.0))[:2] == (0.0, 0.0)


def test_a_run_that_failed_is_missing_in_the_spread_alone() -> None:
    rows = [row for row in runs(lambda value: 1 + value) if row[:2] != (400, 2)]
    line = slopes.fit(rows)
    assert line.slope == almost(1.0)
    assert line.points[1].runs == 4


def test_three_points_are_too_few() -> None:
    with pytest.raises(ValueError, match=r"^expected 4 points or more, found 3$"):
        slopes.fit(runs(lambda value: value, (1, 2, 3)))
    with pytest.raises(ValueError, match=r"^expected two values"):
        slopes.fit_straight_line([(1.0, 2.0), (1.0, 3.0)])


def test_a_prediction_is_judged_by_the_median_found() -> None:
    error, is_within = slopes.prediction_error(10.0, [11.0, 30.0, 11.9])
    assert error == almost(0.19)
    assert is_within
    error, is_within = slopes.prediction_error(10.0, [7.9])
    assert error == almost(-0.21)
    assert not is_within
    assert slopes.prediction_error(0.0, [0.0]) == (0.0, True)
    assert not slopes.prediction_error(0.0, [0.1])[1]


@pytest.mark.parametrize(
    ("value", "rounded"), [(123_456.0, 123_500.0), (0.00123456, 0.001235), (0.0, 0.0)]
)
def test_values_are_rounded_to_four_digits(value: float, rounded: float) -> None:
    assert slopes.round_to_significant(value) == rounded
