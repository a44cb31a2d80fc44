"""Tables of the scale runs: slopes, the build before, predictions and single cases.

The plan names the figures that are shown; the file of the scale runs has all of them.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterator, Sequence

from petrellane.testbed.capacity.figures import NOT_MEASURED, format_value
from petrellane.testbed.capacity.measurements import (
    PREVIOUS_BUILD,
    JsonObject,
    Measurements,
    Slope,
    SlopePoint,
)
from petrellane.testbed.capacity.tables import Cells, Table

SLOPE_HEADINGS = (
    "by",
    "figure",
    "unit",
    "at none",
    "for each more",
    "spread",
    "a line",
    "points",
    "note",
)
WITHIN_TEXTS: dict[bool | None, str] = {True: "yes", False: "no", None: NOT_MEASURED}


def _shown_figures(inputs: Measurements) -> Iterator[tuple[str, str]]:
    """Yield each size and figure that the plan shows."""
    for size, figures in inputs.plan["shown"].items():
        for figure in figures:
            yield size, figure


def slope_table(inputs: Measurements) -> Table:
    """Return the table of the slopes that the plan names as shown."""
    rows = tuple(
        _slope_row(size, figure, inputs.slope(size, figure))
        for size, figure in _shown_figures(inputs)
    )
    return Table("slopes", SLOPE_HEADINGS, rows)


def _slope_row(size: str, figure: str, slope: Slope | None) -> Cells:
    points: list[SlopePoint] = []
    if slope is not None:
        points = [point for point in slope.points if point.median is not None]
    if slope is None or not points:
        return (size, figure, "", *[NOT_MEASURED] * 4, "", "")
    minimum, maximum = slope.spread
    return (
        size,
        figure,
        slope.unit,
        format_value(slope.intercept),
        _format_slope(slope.slope),
        f"{_format_slope(minimum)} to {_format_slope(maximum)}",
        "yes" if slope.is_line else "no",
        _format_points(points),
        slope.note,
    )


def _format_slope(value: float | None) -> str:
    return NOT_MEASURED if value is None else f"{value:.3g}"


def _format_points(points: Sequence[SlopePoint]) -> str:
    return "; ".join(f"{point.size_value:,g}: {format_value(point.median)}" for point in points)


def comparison_table(inputs: Measurements) -> Table:
    """Return the table of the build before and this one, at the first and the last point."""
    rows: list[Cells] = []
    for size, figure in _shown_figures(inputs):
        before = inputs.slope(size, figure, PREVIOUS_BUILD)
        after = inputs.slope(size, figure)
        if before is None or after is None or not before.points or not after.points:
            continue
        rows.extend(_comparison_rows(size, figure, before, after))
    return Table(
        "before",
        ("size", "at", "figure", "before", "this build", "before over this"),
        tuple(rows),
    )


def _comparison_rows(size: str, figure: str, before: Slope, after: Slope) -> Iterator[Cells]:
    """Yield a row for the first and the last point where both builds were measured."""
    for point in (before.points[0], before.points[-1]):
        same_size = [
            candidate for candidate in after.points if candidate.size_value == point.size_value
        ]
        if not same_size or point.median is None or same_size[0].median is None:
            continue
        median = same_size[0].median
        yield (
            size,
            f"{point.size_value:,g}",
            figure,
            format_value(point.median, before.unit),
            format_value(median, before.unit),
            format_value(point.median / median) if median else NOT_MEASURED,
        )


def prediction_table(inputs: Measurements) -> Table:
    """Return the table of predictions by slopes, beside the runs that tested them."""
    shown = inputs.plan["shown"]
    return Table(
        "predictions",
        ("by", "at", "figure", "stated", "found", "off", "within"),
        tuple(
            _prediction_row(prediction)
            for prediction in inputs.scale.get("predictions", ())
            if prediction["figure"] in shown.get(prediction["size"], ())
        ),
    )


def _prediction_row(prediction: JsonObject) -> Cells:
    error = prediction.get("off")
    return (
        prediction["size"],
        f"{prediction['value']:,g}",
        prediction["figure"],
        format_value(prediction["stated"]),
        format_value(_median(prediction["found"])),
        NOT_MEASURED if error is None else f"{error * 100:+.0f}%",
        WITHIN_TEXTS[prediction.get("within")],
    )


def _median(values: Sequence[float] | float | None) -> float | None:
    """Return the median of some runs; None of none, and a single value as it is."""
    if isinstance(values, Sequence):
        return statistics.median(values) if values else None
    return values


def case_table(inputs: Measurements) -> Table:
    """Return the table of hard cases and of the evenness of subsets."""
    cases = [*(inputs.scale.get("hard") or ()), *(inputs.scale.get("sets") or ())]
    return Table(
        "cases",
        ("case", "build", "figures"),
        tuple(
            (
                case["case"],
                case["build"],
                "; ".join(
                    f"{name} {format_value(value)}" for name, value in case["figures"].items()
                ),
            )
            for case in cases
        ),
    )
