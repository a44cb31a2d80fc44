"""A value that carries the runs it comes from through all arithmetic, and values as text.

A figure that was not measured stays "not measured" whatever it is combined with, so that no cell
of the page hides a gap.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

DAY_S = 86_400.0
HOUR_S = 3600.0
MS_PER_S = 1e3
KILOBYTE = 1e3
MEGABYTE = 1e6
GIGABYTE = 1e9
MEGABYTES_PER_MIB = 2**20 / MEGABYTE  # a run reports memory in units of 2^20 bytes
NOT_MEASURED = "not measured"
SIGNIFICANT_DIGITS = 3


class CapacityError(Exception):
    """An input or a page that cannot be used; the text is one line."""


@dataclass(frozen=True)
class Figure:
    """A value with its sources.

    Attributes:
        value: The value; None where something that it rests on was not measured.
        sources: The runs, messages and estimates that it rests on, in order, each once.
    """

    value: float | None
    sources: tuple[str, ...] = ()

    def _combine(self, other: Figure | float, operation: Callable[[float, float], float]) -> Figure:
        operand = other if isinstance(other, Figure) else Figure(float(other))
        sources = tuple(dict.fromkeys((*self.sources, *operand.sources)))
        if self.value is None or operand.value is None:
            return Figure(None, sources)
        return Figure(operation(self.value, operand.value), sources)

    def __add__(self, other: Figure | float) -> Figure:
        return self._combine(other, lambda left, right: left + right)

    def __sub__(self, other: Figure | float) -> Figure:
        return self._combine(other, lambda left, right: left - right)

    def __mul__(self, other: Figure | float) -> Figure:
        return self._combine(other, lambda left, right: left * right)

    def __truediv__(self, other: Figure | float) -> Figure:
        return self._combine(other, lambda left, right: left / right if right else math.nan)

    __radd__ = __add__
    __rmul__ = __mul__

    def with_maximum(self, limit: Figure | float) -> Figure:
        """Return this, or `limit` where that is smaller."""
        return self._combine(limit, min)

    def with_minimum(self, limit: Figure | float) -> Figure:
        """Return this, or `limit` where that is larger."""
        return self._combine(limit, max)


def format_value(value: float | None, unit: str = "") -> str:
    """Format a value with three significant digits and its unit.

    Args:
        value: The value; None or NaN is "not measured".
        unit: Appended after a space; nothing where it is empty.
    """
    if value is None or math.isnan(value):
        return NOT_MEASURED
    if value and abs(value) < 10 ** (SIGNIFICANT_DIGITS - 1):
        digits = max(0, SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value))))
        text = f"{value:.{digits}f}"
        text = text.rstrip("0").rstrip(".") if "." in text else text
    else:
        text = _format_large(value)
    return f"{text} {unit}".rstrip()


def _format_large(value: float) -> str:
    """Format zero, or a value of 100 and more, without decimals."""
    step = 1
    if value:
        step = 10 ** max(0, math.floor(math.log10(abs(value))) - SIGNIFICANT_DIGITS + 1)
    return f"{round(value / step) * step:,.0f}"


def format_sources(figure: Figure) -> str:
    """Return the sources of a figure as one cell; "plan" where it rests on the plan alone."""
    return ", ".join(figure.sources) or "plan"
