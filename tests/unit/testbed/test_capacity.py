"""The page of capacity.

Its tables are those worked out from its files; the arithmetic is checked on made-up slopes; and a
page or a file that is out of form is refused in one line.
"""

import copy
import pathlib
import re
import tomllib
from collections.abc import Callable
from typing import Any, NamedTuple

import orjson
import pytest

from benchmarks import capacity as carrier
from petrellane.decisions.leases import HEADROOM, LEASE_AHEAD, WINDOW_FILLS
from petrellane.testbed.capacity import page as capacity_page
from petrellane.testbed.capacity import report, slope_tables, tables, workload
from petrellane.testbed.capacity.costs import Cost
from petrellane.testbed.capacity.figures import NOT_MEASURED, CapacityError, Figure, format_value
from petrellane.testbed.capacity.measurements import Measurements
from petrellane.testbed.capacity.tables import Table


def almost(value: float) -> Any:
    """Return what equals a float that differs by half of 1e-7 at most."""
    return pytest.approx(value, rel=0.0, abs=0.5e-7)


def line(
    slope: float, points: tuple[int, ...], intercept: float = 0.0, **more: Any
) -> dict[str, Any]:
    """Return a slope in the form in which the scale runs write it."""
    return {
        "unit": "ms",
        "intercept": intercept,
        "slope": slope,
        "spread": [slope, slope],
        "line": True,
        "note": "",
        "points": [[at, intercept + slope * at, 0.0, 0.0, 5] for at in points],
    } | more


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
            "hosts": {"decision_p99_ms": line(0.001, (50, 400, 1600), 0.5)},
            "customers": {"decision_p99_ms": line(0.01, (100, 200, 300, 400))},
        }
    }
}
MESSAGES = {
    "figures": {"list_bytes": {"value": 2000, "unit": "bytes", "what": "a list", "runs": 1}}
}


def inputs() -> Measurements:
    """Return the figures of the made-up files."""
    return Measurements(PLAN, SCALE, MESSAGES)


# The page as it stands, and its files.


class Capacity(NamedTuple):
    """The page and the contents of its files, which a test may change."""

    page: str
    plan: dict[str, Any]
    scale: dict[str, Any]
    messages: dict[str, Any]
    run: dict[str, Any]

    def tables(self) -> list[Table]:
        """Work out the tables from the files."""
        return report.build_tables(self.plan, self.scale, self.messages, self.run)

    def differs(self) -> str | None:
        """Return the page's first difference from the tables; None where there is none."""
        return capacity_page.first_difference(self.page, self.tables())


@pytest.fixture
def files() -> Capacity:
    """Read the page and its files."""
    return Capacity(
        carrier.PAGE.read_text(),
        carrier.read(carrier.HERE / "capacity.toml", lambda text: tomllib.loads(text.decode())),
        carrier.read(carrier.HERE / "scale.json", orjson.loads),
        carrier.read(carrier.HERE / "messages.json", orjson.loads),
        carrier.read(carrier.RUN, carrier.last),
    )


def test_tables_are_those_worked_out_from_the_files(files: Capacity) -> None:
    assert files.differs() is None


def test_a_changed_slope_is_reported_with_its_table(files: Capacity) -> None:
    fits = files.scale["slopes"]["this"]["hosts"]
    before = fits["decision_p99_ms"]
    fits["decision_p99_ms"] = before | {"slope": before["slope"] * 2 + 1}
    assert re.search(r"^table slopes, line \d+: expected .*, found [^\n]*$", files.differs())


def test_a_changed_point_is_reported_with_the_first_table_that_has_it(files: Capacity) -> None:
    for point in files.scale["slopes"]["this"]["hosts"]["decision_p99_ms"]["points"]:
        point[1] = point[1] * 3
    assert re.search(r"^table data-path, line \d+: [^\n]*$", files.differs())


@pytest.mark.parametrize(
    ("file", "kind", "name", "tables"),
    [
        ("messages", "figures", "list_bytes", "list-ways|discovery"),
        ("plan", "budgets", "added_ms", "budgets"),
        ("plan", "estimates", "rows", "control-part"),
    ],
    ids=["message", "budget", "estimate"],
)
def test_a_changed_message_budget_or_estimate_is_reported(
    files: Capacity, file: str, kind: str, name: str, tables: str
) -> None:
    getattr(files, file)[kind][name]["value"] *= 2
    assert re.search(rf"^table ({tables}), line \d+: ", files.differs())


def test_a_missing_figure_is_shown_as_not_measured(files: Capacity) -> None:
    for size, fits in files.scale["slopes"]["this"].items():
        for figure in fits:
            less = copy.deepcopy(files.scale)
            del less["slopes"]["this"][size][figure]
            files._replace(scale=less).tables()
    for figure in files.messages["figures"]:
        less = copy.deepcopy(files.messages)
        del less["figures"][figure]
        files._replace(messages=less).tables()
    none = {
        table.name: table
        for table in report.build_tables(files.plan, {"slopes": {}}, {"figures": {}})
    }
    unmeasured = [
        row
        for row in none["control-part"].rows
        if any(word in row[4] for word in ("messages", "scale", "run"))
    ]
    assert len(unmeasured) > 10
    assert {row[1] for row in unmeasured} == {NOT_MEASURED}


def test_every_table_has_its_markers_and_every_marker_a_table(files: Capacity) -> None:
    names = [table.name for table in files.tables()]
    assert sorted(names) == sorted(re.findall(r"<!-- table (\S+) -->", files.page))


def test_writing_fills_empty_tables_with_the_same_text(files: Capacity) -> None:
    found = files.tables()
    empty = files.page
    for table in found:
        start, end = capacity_page.table_span(empty, table.name)
        empty = empty[:start] + "\n" + empty[end:]
    assert re.search(
        "^table runs, line 1: expected .*, found nothing|found $",
        files._replace(page=empty).differs(),
    )
    assert capacity_page.write_tables(empty, found) == files.page


def test_rosters_that_the_tables_ask_for_were_measured(files: Capacity) -> None:
    sizes = {name: size["value"] for name, size in files.plan["sizes"].items()}
    for number in (
        sizes["gateways"],
        sizes["gateways"] // sizes["regions"],
        sizes["gateways"] // sizes["zones"],
    ):
        assert f"leader_change_ms_{number}" in files.messages["figures"]


# Markers that lack, come twice or the wrong way around.

TABLE = Table("one", ("a", "b"), (("1", "2"),))
FIRST, LAST = capacity_page.markers("one")


@pytest.mark.parametrize("work", [capacity_page.first_difference, capacity_page.write_tables])
@pytest.mark.parametrize(
    ("page", "message"),
    [
        ("nothing", f"page: {FIRST}: expected this marker once, found it 0 times"),
        (FIRST, f"page: {LAST}: expected this marker once, found it 0 times"),
        (f"{FIRST}{FIRST}{LAST}", f"page: {FIRST}: expected this marker once, found it 2 times"),
        (f"{LAST}{FIRST}", f"page: {LAST}: expected after {FIRST}, found before"),
    ],
    ids=["none", "no-end", "twice", "wrong-order"],
)
def test_a_wrong_marker_is_refused_in_one_line(
    page: str, message: str, work: Callable[[str, list[Table]], Any]
) -> None:
    with pytest.raises(CapacityError) as raised:
        work(page, [TABLE])
    assert str(raised.value) == message


def test_text_between_markers_is_replaced_and_text_around_stays() -> None:
    page = capacity_page.write_tables(f"before {FIRST}old{LAST} after", [TABLE])
    assert page == f"before {FIRST}\n| a | b |\n| --- | --- |\n| 1 | 2 |\n{LAST} after"
    assert capacity_page.first_difference(page, [TABLE]) is None
    assert (
        capacity_page.first_difference(page.replace("| 2", "| 3"), [TABLE])
        == "table one, line 3: expected | 1 | 2 |, found | 1 | 3 |"
    )
    assert (
        capacity_page.first_difference(page.replace("| 1 | 2 |\n", ""), [TABLE])
        == "table one, line 3: expected | 1 | 2 |, found nothing"
    )


# Figures on made-up slopes.


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
    scale = {"slopes": {"this": {"hosts": {"x": line(1.0, (1, 2), line=False)}}}}
    found = Measurements(PLAN, scale, MESSAGES).figure_at("hosts", "x", 9)
    assert found.sources == ("scale this/hosts x, by its slope (no line)",)


def test_sizes_together_add_what_each_adds_to_its_smallest_point() -> None:
    found = inputs().combined_figure("decision_p99_ms", ("hosts", "customers"))
    assert found.value == almost(13.5 + 0.01 * (400 - 100))
    assert len(found.sources) == 2


def test_arithmetic_keeps_not_measured_and_lists_sources_once() -> None:
    one = Figure(2.0, ("a",))
    none = Figure(None, ("b",))
    for found in (
        one + none,
        none - one,
        one * none,
        none / one,
        none.with_minimum(1.0),
        none.with_maximum(1.0),
    ):
        assert found.value is None
        assert set(found.sources) == ({"a", "b"} if len(found.sources) == 2 else {"b"})
    assert (one + one * 3.0) / one == Figure(4.0, ("a",))
    assert (one.with_minimum(5.0).value, one.with_maximum(1.0).value) == (5.0, 1.0)


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
    one = workload.counter_adds_per_rpc(inputs(), 0.01)
    demand = 25.0 * 8.0 * WINDOW_FILLS * LEASE_AHEAD * HEADROOM
    assert one.value == almost(1 / demand)
    assert workload.counter_adds_per_rpc(inputs(), 100.0).value == 1.0  # never more than one


def test_a_figure_of_the_whole_run_is_taken_by_its_path_and_by_process() -> None:
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


# `benchmarks/capacity.py` on files of a folder of its own.


class Ended(NamedTuple):
    """What became of a run of the script."""

    code: int
    error: str
    page: str


@pytest.fixture
def folder(tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch) -> pathlib.Path:
    """Return a folder with a copy of the page and its files, which the script works on."""
    for name in ("capacity.toml", "scale.json", "messages.json"):
        (tmp_path / name).write_bytes((carrier.HERE / name).read_bytes())
    (tmp_path / "CAPACITY.md").write_text(carrier.PAGE.read_text())
    (tmp_path / carrier.RUN.name).write_bytes(carrier.RUN.read_bytes())
    monkeypatch.setattr(carrier, "HERE", tmp_path)
    monkeypatch.setattr(carrier, "PAGE", tmp_path / "CAPACITY.md")
    monkeypatch.setattr(carrier, "RUN", tmp_path / carrier.RUN.name)
    return tmp_path


@pytest.fixture
def run(folder: pathlib.Path, capsys: pytest.CaptureFixture[str]) -> Callable[..., Ended]:
    """Return a function that runs the script in the folder."""

    def run_script(*, check: bool) -> Ended:
        code = 0
        try:
            carrier.main(check)
        except SystemExit as ended:
            code = ended.code
        return Ended(code, capsys.readouterr().err, carrier.PAGE.read_text())

    return run_script


def test_the_check_passes_as_it_stands(run: Callable[..., Ended]) -> None:
    assert run(check=True)[:2] == (0, "")


def test_a_difference_ends_with_1_and_is_not_mended_by_a_check(
    folder: pathlib.Path, run: Callable[..., Ended]
) -> None:
    page = folder / "CAPACITY.md"
    before = page.read_text()
    page.write_text(before.replace("| hosts | 13,000 |", "| hosts | 12,000 |"))
    ended = run(check=True)
    assert ended[:2] == (
        1,
        "CAPACITY.md: table sizes, line 4: expected | hosts | 13,000 |, found | hosts | 12,000 |\n",
    )
    assert "| hosts | 12,000 |" in ended.page
    assert run(check=False) == (0, "", before)


def write(name: str, text: str) -> Callable[[pathlib.Path], object]:
    """Return a change of a folder: this text in this file."""
    return lambda folder: (folder / name).write_text(text)


def without_slopes(folder: pathlib.Path) -> None:
    """Take the slopes out of the figures of the scale runs."""
    scale = orjson.loads((folder / "scale.json").read_bytes())
    del scale["slopes"]
    (folder / "scale.json").write_bytes(orjson.dumps(scale))


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (
            lambda folder: (folder / "scale.json").unlink(),
            "scale.json: expected a file that can be read",
        ),
        (write("scale.json", "{"), "scale.json: "),
        (write("messages.json", "[]"), "messages.json: expected an object"),
        (write("capacity.toml", "[sizes"), "capacity.toml: "),
        (
            write("scale-1200.txt", "words\n"),
            "scale-1200.txt: expected a line of JSON, found none",
        ),
        (without_slopes, "scale.json: slopes: expected a table, found None"),
        (write("CAPACITY.md", "none"), "page: <!-- table runs -->: expected"),
    ],
    ids=["no-file", "cut", "no-object", "no-toml", "no-run", "no-slopes", "no-markers"],
)
def test_a_bad_file_ends_with_2_and_one_line(
    folder: pathlib.Path,
    run: Callable[..., Ended],
    change: Callable[[pathlib.Path], object],
    message: str,
) -> None:
    change(folder)
    ended = run(check=True)
    assert (ended.code, ended.error.count("\n")) == (2, 1)
    assert ended.error.startswith(message)
