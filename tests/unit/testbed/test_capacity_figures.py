"""The arithmetic of the page of capacity, on made-up slopes."""

from typing import Any

import pytest

from petrellane.decisions.leases import HEADROOM, LEASE_AHEAD, WINDOW_FILLS
from petrellane.testbed.capacity import report, slope_tables, tables, workload
from petrellane.testbed.capacity.costs import Cost
from petrellane.testbed.capacity.figures import NOT_MEASURED, Figure, format_value
from petrellane.testbed.capacity.measurements import Measurements
from tests.unit.testbed.tolerance import almost


def slope_row(
    slope: float, sizes: tuple[int, ...], intercept: float = 0.0, *, is_line: bool = True
) -> dict[str, Any]:
    """Return a slope through points at these sizes, in the form that the scale runs write."""
    return {
        "unit": "ms",
        "intercept": intercept,
        "slope": slope,
        "spread": [slope, slope],
        "line": is_line,
        "note": "",
        "points": [[size, intercept + slope * size, 0.0, 0.0, 5] for size in sizes],
    }


PLAN = {
    "sizes": {
        name: {"value": value, "what": name}
        for name, value in (
            ("hosts", 13_000),
            ("customers", 400),
            ("gateways", 10),
            ("rpcs", 100),
            ("changes", 8640),
        )
    },
    "budgets": {"fast": {"value": 2.0, "unit": "ms", "what": "to be fast", "by": "operators"}},
    "estimates": {"window_s": {"value": 8.0, "unit": "s", "basis": "made up"}},
    "rates": {},
    "shown": {"hosts": ["decision_p99_ms", "absent_ms"]},
}
SCALE = {
    "slopes": {
        "this": {
            "hosts": {"decision_p99_ms": slope_row(0.001, (50, 400, 1600), 0.5)},
            "customers": {"decision_p99_ms": slope_row(0.01, (100, 200, 300, 400))},
        }
    }
}
MESSAGES = {
    "figures": {"list_bytes": {"value": 2000, "unit": "bytes", "what": "a list", "runs": 1}}
}


def inputs() -> Measurements:
    """Return the figures of the made-up files."""
    return Measurements(PLAN, SCALE, MESSAGES)


def test_a_measured_point_is_preferred_to_the_line() -> None:
    assert inputs().figure_at("hosts", "decision_p99_ms", 400) == Figure(
        0.9, ("scale this/hosts decision_p99_ms",)
    )
    assert inputs().figure_at("hosts", "decision_p99_ms", 13_000) == Figure(
        13.5, ("scale this/hosts decision_p99_ms, by its slope",)
    )
    assert inputs().figure_at("hosts", "absent_ms", 400) == Figure(
        None, ("scale this/hosts absent_ms",)
    )
    assert inputs().figure_at("unheard", "absent_ms", 400).value is None


def test_a_figure_that_is_no_line_says_so() -> None:
    scale = {"slopes": {"this": {"hosts": {"x": slope_row(1.0, (1, 2), is_line=False)}}}}
    figure = Measurements(PLAN, scale, MESSAGES).figure_at("hosts", "x", 9)
    assert figure.sources == ("scale this/hosts x, by its slope (no line)",)


def test_sizes_together_add_what_each_adds_to_its_smallest_point() -> None:
    figure = inputs().combined_figure("decision_p99_ms", ("hosts", "customers"))
    assert figure.value == almost(13.5 + 0.01 * (400 - 100))
    assert len(figure.sources) == 2


MEASURED = Figure(2.0, ("a",))
UNMEASURED = Figure(None, ("b",))


@pytest.mark.parametrize(
    ("figure", "sources"),
    [
        (MEASURED + UNMEASURED, ("a", "b")),
        (UNMEASURED - MEASURED, ("b", "a")),
        (MEASURED * UNMEASURED, ("a", "b")),
        (UNMEASURED / MEASURED, ("b", "a")),
        (UNMEASURED.with_minimum(1.0), ("b",)),
        (UNMEASURED.with_maximum(1.0), ("b",)),
    ],
    ids=["sum", "difference", "product", "quotient", "minimum", "maximum"],
)
def test_arithmetic_keeps_not_measured(figure: Figure, sources: tuple[str, ...]) -> None:
    assert figure == Figure(None, sources)


def test_arithmetic_lists_sources_once() -> None:
    result = (MEASURED + MEASURED * 3.0) / MEASURED
    assert result == Figure(4.0, ("a",))
    assert MEASURED.with_minimum(5.0).value == 5.0
    assert MEASURED.with_maximum(1.0).value == 1.0


@pytest.mark.parametrize(
    ("value", "verdict"),
    [
        (1.0, "met, 50% of it"),
        (2.0, "met, 100% of it"),
        (5.0, "**missed**, 2.5 times"),
        (1e-6, "met, under 0.1% of it"),
        (None, "not measured"),
    ],
)
def test_a_verdict_has_its_factor(value: float | None, verdict: str) -> None:
    assert Cost("r", "w", Figure(value), "ms", "fast").verdict(inputs()) == verdict


def test_a_row_without_a_budget_has_no_verdict() -> None:
    assert Cost("r", "w", Figure(1.0), "ms").verdict(inputs()) == ""


def test_adds_an_rpc_fall_with_a_customers_demand_at_one_gateway() -> None:
    # 100 RPCs of 400 customers: 25 a second at each hundredth of a gateway
    adds = workload.counter_adds_per_rpc(inputs(), 0.01)
    demand = 25.0 * 8.0 * WINDOW_FILLS * LEASE_AHEAD * HEADROOM
    assert adds.value == almost(1 / demand)
    assert workload.counter_adds_per_rpc(inputs(), 100.0).value == 1.0  # never more than one


def test_a_figure_of_a_complete_run_is_taken_by_its_path_and_by_process() -> None:
    run = {"roles": {"real": {"number": 4, "cpu_s": 2.0}}, "list": {"last_s": None}}
    with_run = Measurements(PLAN, SCALE, MESSAGES, run)
    assert with_run.run_figure_per_process("real", "cpu_s") == Figure(
        0.5, ("run roles real cpu_s", "run roles real number")
    )
    assert with_run.run_figure("list", "last_s") == Figure(None, ("run list last_s",))
    assert with_run.run_figure("roles", "none", "x").value is None
    assert inputs().run_figure("list", "last_s").value is None


def test_changes_each_are_those_of_a_day() -> None:
    assert workload.settings_changes_per_second(inputs()).value == almost(0.1)


def test_missing_slopes_are_shown_as_such() -> None:
    rows = slope_tables.slope_table(inputs()).rows
    assert [row[1] for row in rows] == ["decision_p99_ms", "absent_ms"]
    assert rows[1][3:7] == (NOT_MEASURED,) * 4


def test_missed_budgets_are_listed_worst_first_then_unmeasured_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def role(_: Measurements) -> list[Cost]:
        return [
            Cost("r", name, Figure(value), "ms", budget)
            for name, value, budget in (
                ("near", 2.5, "fast"),
                ("open", None, "fast"),
                ("far", 20.0, "fast"),
                ("met", 2.0, "fast"),
                ("free", 9.0, ""),
            )
        ]

    monkeypatch.setattr(report, "ROLES", {"r": role})
    assert [
        (row[1], row[-2], row[-1])
        for row in tables.missed_budget_table(report.all_costs(inputs()), inputs()).rows
    ] == [
        ("far", "operators", "10"),
        ("near", "operators", "1.25"),
        ("open", "operators", "not measured"),
    ]


@pytest.mark.parametrize(
    ("value", "text"),
    [
        (0, "0"),
        (0.0612, "0.0612"),
        (1.0, "1"),
        (12.345, "12.3"),
        (99.96, "100"),
        (1234.5, "1,230"),
        (2_015_916, "2,020,000"),
        (None, "not measured"),
        (float("nan"), "not measured"),
    ],
)
def test_values_are_shown_with_three_digits(value: float | None, text: str) -> None:
    assert format_value(value) == text


def test_a_value_is_shown_with_its_unit() -> None:
    assert format_value(0.5, "ms") == "0.5 ms"
