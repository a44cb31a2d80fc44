"""The page of capacity: its tables are those worked out from its files, between their markers."""

import copy
import re
from collections.abc import Callable
from typing import Any, NamedTuple

import orjson
import pytest

from benchmarks import capacity as capacity_script
from petrellane.testbed.capacity import page as capacity_page
from petrellane.testbed.capacity import report
from petrellane.testbed.capacity.figures import NOT_MEASURED, CapacityError
from petrellane.testbed.capacity.tables import Table

FOLDER = capacity_script.HERE

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

    def first_difference(self) -> str | None:
        """Return the page's first difference from the tables; None where there is none."""
        return capacity_page.first_difference(self.page, self.tables())


@pytest.fixture
def files() -> Capacity:
    """Read the page and its files."""
    return Capacity(
        capacity_script.PAGE.read_text(),
        capacity_script.read(FOLDER / "capacity.toml", capacity_script.parse_toml),
        capacity_script.read(FOLDER / "scale.json", orjson.loads),
        capacity_script.read(FOLDER / "messages.json", orjson.loads),
        capacity_script.read(capacity_script.RUN, capacity_script.last),
    )


def test_tables_are_those_worked_out_from_the_files(files: Capacity) -> None:
    assert files.first_difference() is None


def test_a_changed_slope_is_reported_with_its_table(files: Capacity) -> None:
    slope = files.scale["slopes"]["this"]["hosts"]["decision_p99_ms"]
    slope["slope"] = slope["slope"] * 2 + 1
    assert re.search(
        r"^table slopes, line \d+: expected .*, found [^\n]*$", files.first_difference()
    )


def test_a_changed_point_is_reported_with_the_first_table_that_has_it(files: Capacity) -> None:
    for point in files.scale["slopes"]["this"]["hosts"]["decision_p99_ms"]["points"]:
        point[1] = point[1] * 3
    assert re.search(r"^table data-path, line \d+: [^\n]*$", files.first_difference())


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
    assert re.search(rf"^table ({tables}), line \d+: ", files.first_difference())


def test_a_missing_figure_is_shown_as_not_measured(files: Capacity) -> None:
    empty_tables = report.build_tables(files.plan, {"slopes": {}}, {"figures": {}})
    (control_part,) = (table for table in empty_tables if table.name == "control-part")
    measured_rows = [
        row
        for row in control_part.rows
        if any(source in row[4] for source in ("messages", "scale", "run"))
    ]
    assert len(measured_rows) > 10
    assert {row[1] for row in measured_rows} == {NOT_MEASURED}


def test_tables_are_worked_out_without_any_slope(files: Capacity) -> None:
    for size, slopes in files.scale["slopes"]["this"].items():
        for figure in slopes:
            scale = copy.deepcopy(files.scale)
            del scale["slopes"]["this"][size][figure]
            files._replace(scale=scale).tables()


def test_tables_are_worked_out_without_any_message(files: Capacity) -> None:
    for figure in files.messages["figures"]:
        messages = copy.deepcopy(files.messages)
        del messages["figures"][figure]
        files._replace(messages=messages).tables()


def test_every_table_has_its_markers_and_every_marker_a_table(files: Capacity) -> None:
    names = [table.name for table in files.tables()]
    assert sorted(names) == sorted(re.findall(r"<!-- table (\S+) -->", files.page))


def test_writing_fills_empty_tables_with_the_same_text(files: Capacity) -> None:
    tables = files.tables()
    empty_page = files.page
    for table in tables:
        start, end = capacity_page.table_span(empty_page, table.name)
        empty_page = empty_page[:start] + "\n" + empty_page[end:]
    assert re.search(
        "^table runs, line 1: expected .*, found nothing|found $",
        files._replace(page=empty_page).first_difference(),
    )
    assert capacity_page.write_tables(empty_page, tables) == files.page


def test_rosters_that_the_tables_ask_for_were_measured(files: Capacity) -> None:
    sizes = {name: size["value"] for name, size in files.plan["sizes"].items()}
    gateways = sizes["gateways"]
    for members in (gateways, gateways // sizes["regions"], gateways // sizes["zones"]):
        assert f"leader_change_ms_{members}" in files.messages["figures"]


# Markers that are missing, come twice or in the wrong order.

TABLE = Table("made-up", ("a", "b"), (("1", "2"),))
FIRST, LAST = capacity_page.markers("made-up")


@pytest.mark.parametrize("read_page", [capacity_page.first_difference, capacity_page.write_tables])
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
    page: str, message: str, read_page: Callable[[str, list[Table]], object]
) -> None:
    with pytest.raises(CapacityError) as raised:
        read_page(page, [TABLE])
    assert str(raised.value) == message


def test_text_between_markers_is_replaced_and_text_around_stays() -> None:
    page = capacity_page.write_tables(f"before {FIRST}old{LAST} after", [TABLE])
    assert page == f"before {FIRST}\n| a | b |\n| --- | --- |\n| 1 | 2 |\n{LAST} after"
    assert capacity_page.first_difference(page, [TABLE]) is None
    assert (
        capacity_page.first_difference(page.replace("| 2", "| 3"), [TABLE])
        == "table made-up, line 3: expected | 1 | 2 |, found | 1 | 3 |"
    )
    assert (
        capacity_page.first_difference(page.replace("| 1 | 2 |\n", ""), [TABLE])
        == "table made-up, line 3: expected | 1 | 2 |, found nothing"
    )
