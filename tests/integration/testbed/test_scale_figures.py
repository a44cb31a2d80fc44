"""What a scale run computes from the lines that its processes log."""

from typing import Any

import pytest

from petrellane.testbed.scale.report import propagation_times
from petrellane.testbed.scale_process import ScaleProcess

TOLERANCE = 5e-8


def process_with(meter_lines: list[dict[str, Any]]) -> ScaleProcess:
    """Return a process that was never started, with what its meter has logged."""
    process = ScaleProcess.__new__(ScaleProcess)
    process.meter_lines = meter_lines
    return process


def test_the_usage_of_a_process_is_that_of_the_steady_part() -> None:
    process = process_with(
        [
            {
                "at": second,
                "cpu": second * 0.1,
                "by": {"counter": [2 * second, second, 20 * second, 10 * second]},
            }
            for second in range(20)
        ]
    )
    total, by_service = process.usage(5.0, 15.0)
    assert list(total) == pytest.approx([0.1, 2, 1, 20, 10], rel=0, abs=TOLERANCE)
    assert list(by_service["counter"]) == pytest.approx([2, 1, 20, 10], rel=0, abs=TOLERANCE)
    assert process.usage(30.0, 40.0) == ([0.0] * 5, {})


@pytest.mark.parametrize(
    ("began", "logged_for"),
    [pytest.param(10.0, range(1, 6), id="begins"), pytest.param(0.0, range(11), id="ends")],
)
def test_a_process_that_begins_or_ends_within_counts_for_its_part(
    began: float, logged_for: range
) -> None:
    process = process_with(
        [{"at": began + second, "cpu": float(second), "by": {}} for second in logged_for]
    )
    total, _ = process.usage(5.0, 15.0)
    assert total[0] == pytest.approx(0.5, rel=0, abs=TOLERANCE)  # 5 s of CPU in 10


def test_times_of_propagation_are_those_of_all_changes() -> None:
    times = propagation_times([(10.0, [10.1, 10.2, 10.6]), (20.0, [20.3, 20.4, 20.5]), (30.0, [])])
    rounded = {name: round(seconds, 3) for name, seconds in times.items()}
    assert rounded == {"first_s": 0.2, "median_s": 0.3, "last_s": 0.6}


def test_without_a_change_there_are_no_times_of_propagation() -> None:
    assert propagation_times([]) == {"first_s": None, "median_s": None, "last_s": None}
