"""Statistics over short sequences of floats, summed in the order of the sequence."""

from collections.abc import Iterable, Sequence


def mean(values: Iterable[float]) -> float:
    """Return the arithmetic mean; 0 for an empty sequence."""
    numbers = list(values)
    return sum(numbers) / len(numbers) if numbers else 0.0


def variance(values: Sequence[float]) -> float:
    """Return the population variance; 0 for an empty sequence."""
    center = mean(values)
    return mean((value - center) ** 2 for value in values)


def autocorrelation(values: Sequence[float], lag: int) -> float:
    """Return the mean product of deviations `lag` values apart, divided by the variance.

    The result is 0 for a constant series.
    """
    center = mean(values)
    total_variance = variance(values)
    if not total_variance:
        return 0.0
    pairs = zip(values, values[lag:], strict=False)
    return mean((value - center) * (later - center) for value, later in pairs) / total_variance
