"""Numeric helpers of the decisions."""

from hypothesis import given
from hypothesis import strategies as st

from petrellane.decisions.numeric import SlidingMaximum

WINDOW = 5.0


@given(st.lists(st.tuples(st.floats(0, 3), st.integers(0, 9)), max_size=40))
def test_sliding_maximum_is_that_of_all_values_in_the_window(
    steps: list[tuple[float, int]],
) -> None:
    """The maximum is that of a walk over all values."""
    sliding = SlidingMaximum(WINDOW)
    now = 0.0
    values: list[tuple[float, int]] = []
    for pause, value in steps:
        now += pause
        sliding.add(now, value)
        values.append((now, value))
        expected = max(value for time, value in values if now - time <= WINDOW)
        assert sliding.maximum(now) == expected
