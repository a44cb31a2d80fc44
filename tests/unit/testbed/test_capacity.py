"""The page of capacity is what is worked out from its files; what is worked out, on made-up slopes; and how a page or a file
that will not do is told."""

import contextlib
import copy
import io
import pathlib
import re
import tempfile
import tomllib
import unittest
from unittest import mock

import orjson

from benchmarks import capacity as carrier
from petrellane.testbed import capacity
from petrellane.testbed.capacity import Book, Figure, Row


def line(slope, points, intercept=0.0, **more):
    """A slope as the scale runs tell it."""
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


def book(**more):
    return Book(PLAN, SCALE, MESSAGES | more)


class Page(unittest.TestCase):
    """The page that stands, and its files."""

    def setUp(self):
        self.files = [
            carrier.read(carrier.HERE / name, parse)
            for name, parse in (
                ("capacity.toml", lambda text: tomllib.loads(text.decode())),
                ("scale.json", orjson.loads),
                ("messages.json", orjson.loads),
                (carrier.RUN, carrier.last),
            )
        ]
        self.page = carrier.PAGE.read_text()

    def differs(self, page=None):
        return capacity.differs(page or self.page, capacity.tables(*self.files))

    def test_tables_are_those_worked_out_from_the_files(self):
        self.assertIsNone(self.differs())

    def test_a_changed_slope_is_told_by_its_table(self):
        fits = self.files[1]["slopes"]["this"]["hosts"]
        before = fits["decision_p99_ms"]
        fits["decision_p99_ms"] = before | {"slope": before["slope"] * 2 + 1}
        self.assertRegex(self.differs(), r"^table slopes, line \d+: expected .*, found [^\n]*$")

    def test_a_changed_point_is_told_by_the_first_table_that_it_is_in(self):
        for point in self.files[1]["slopes"]["this"]["hosts"]["decision_p99_ms"]["points"]:
            point[1] = point[1] * 3
        self.assertRegex(self.differs(), r"^table data-path, line \d+: [^\n]*$")

    def test_a_changed_message_budget_and_estimate_are_told(self):
        plan, scale, messages, _ = self.files
        for told, table in (
            (messages["figures"]["list_bytes"], "list-ways|discovery"),
            (plan["budgets"]["added_ms"], "budgets"),
            (plan["estimates"]["rows"], "control-part"),
        ):
            kept, told["value"] = told["value"], told["value"] * 2
            self.assertRegex(self.differs(), rf"^table ({table}), line \d+: ")
            told["value"] = kept

    def test_every_figure_that_is_gone_leaves_not_measured_and_no_failure(self):
        whole = copy.deepcopy(self.files)
        for size, fits in whole[1]["slopes"]["this"].items():
            for figure in fits:
                less = copy.deepcopy(whole[1])
                del less["slopes"]["this"][size][figure]
                capacity.tables(whole[0], less, whole[2], whole[3])
        for figure in whole[2]["figures"]:
            less = copy.deepcopy(whole[2])
            del less["figures"][figure]
            capacity.tables(whole[0], whole[1], less, whole[3])
        none = {
            table.name: table
            for table in capacity.tables(whole[0], {"slopes": {}}, {"figures": {}})
        }
        told = [
            row
            for row in none["control-part"].rows
            if any(word in row[4] for word in ("messages", "scale", "run"))
        ]
        self.assertGreater(len(told), 10)
        self.assertEqual({row[1] for row in told}, {capacity.ABSENT})

    def test_every_table_has_its_markers_and_every_marker_a_table(self):
        names = [table.name for table in capacity.tables(*self.files)]
        self.assertEqual(sorted(names), sorted(re.findall(r"<!-- table (\S+) -->", self.page)))

    def test_writing_is_told_by_nothing_and_is_the_same_twice(self):
        found = capacity.tables(*self.files)
        empty = self.page
        for table in found:
            start, end = capacity.span(empty, table.name)
            empty = empty[:start] + "\n" + empty[end:]
        self.assertRegex(
            self.differs(empty), "^table runs, line 1: expected .*, found nothing|found $"
        )
        self.assertEqual(capacity.written(empty, found), self.page)

    def test_rosters_that_the_tables_ask_for_were_measured(self):
        sizes = {name: told["value"] for name, told in self.files[0]["sizes"].items()}
        for number in (
            sizes["gateways"],
            sizes["gateways"] // sizes["regions"],
            sizes["gateways"] // sizes["zones"],
        ):
            self.assertIn(f"leader_change_ms_{number}", self.files[2]["figures"])


class Marks(unittest.TestCase):
    """Markers that lack, come twice or the wrong way around."""

    def test_each_is_told_in_one_line(self):
        table = capacity.Table("one", ("a", "b"), (("1", "2"),))
        first, last = capacity.marks("one")
        for page, said in (
            ("nothing", f"page: {first}: expected this marker once, found it 0 times"),
            (f"{first}", f"page: {last}: expected this marker once, found it 0 times"),
            (
                f"{first}{first}{last}",
                f"page: {first}: expected this marker once, found it 2 times",
            ),
            (f"{last}{first}", f"page: {last}: expected after {first}, found before"),
        ):
            for work in (capacity.differs, capacity.written):
                with self.assertRaises(capacity.BadCapacity) as raised:
                    work(page, [table])
                self.assertEqual(str(raised.exception), said)

    def test_what_is_between_is_replaced_and_what_is_around_stays(self):
        table = capacity.Table("one", ("a", "b"), (("1", "2"),))
        first, last = capacity.marks("one")
        page = capacity.written(f"before {first}old{last} after", [table])
        self.assertEqual(page, f"before {first}\n| a | b |\n| --- | --- |\n| 1 | 2 |\n{last} after")
        self.assertIsNone(capacity.differs(page, [table]))
        self.assertEqual(
            capacity.differs(page.replace("| 2", "| 3"), [table]),
            "table one, line 3: expected | 1 | 2 |, found | 1 | 3 |",
        )
        self.assertEqual(
            capacity.differs(page.replace("| 1 | 2 |\n", ""), [table]),
            "table one, line 3: expected | 1 | 2 |, found nothing",
        )


class Arithmetic(unittest.TestCase):
    """Figures on made-up slopes."""

    def test_a_point_goes_before_the_line_and_the_line_before_nothing(self):
        self.assertEqual(
            book().at("hosts", "decision_p99_ms", 400),
            Figure(0.9, ("scale this/hosts decision_p99_ms",)),
        )
        self.assertEqual(
            book().at("hosts", "decision_p99_ms", 13_000),
            Figure(13.5, ("scale this/hosts decision_p99_ms, by its slope",)),
        )
        self.assertEqual(
            book().at("hosts", "absent_ms", 400), Figure(None, ("scale this/hosts absent_ms",))
        )
        self.assertEqual(book().at("unheard", "absent_ms", 400).value, None)

    def test_what_is_no_line_says_so(self):
        scale = {"slopes": {"this": {"hosts": {"x": line(1.0, (1, 2), line=False)}}}}
        self.assertEqual(
            Book(PLAN, scale, MESSAGES).at("hosts", "x", 9).sources,
            ("scale this/hosts x, by its slope (no line)",),
        )

    def test_sizes_together_add_what_each_adds_to_its_least_point(self):
        found = book().whole("decision_p99_ms", ("hosts", "customers"))
        self.assertAlmostEqual(found.value, 13.5 + 0.01 * (400 - 100))
        self.assertEqual(len(found.sources), 2)

    def test_what_was_not_measured_stays_so_and_sources_come_along_once(self):
        one, none = Figure(2.0, ("a",)), Figure(None, ("b",))
        for found in (
            one + none,
            none - one,
            one * none,
            none / one,
            none.least(1.0),
            none.most(1.0),
        ):
            self.assertIsNone(found.value)
            self.assertEqual(set(found.sources), {"a", "b"} if len(found.sources) == 2 else {"b"})
        self.assertEqual((one + one * 3.0) / one, Figure(4.0, ("a",)))
        self.assertEqual((one.least(5.0).value, one.most(1.0).value), (5.0, 1.0))

    def test_a_verdict_has_its_factor(self):
        for value, said in (
            (1.0, "met, 50% of it"),
            (2.0, "met, 100% of it"),
            (5.0, "**missed**, 2.5 times"),
            (1e-6, "met, under 0.1% of it"),
            (None, "not measured"),
        ):
            self.assertEqual(Row("r", "w", Figure(value), "ms", "fast").verdict(book()), said)
        self.assertEqual(Row("r", "w", Figure(1.0), "ms").verdict(book()), "")

    def test_adds_an_rpc_fall_with_a_customers_demand_at_one_gateway(self):
        one = capacity.credit(
            book(), 0.01
        )  # 100 RPCs of 400 customers: 25 a second at each hundredth of a gateway
        demand = 25.0 * 8.0 * capacity.WINDOW_FILLS * capacity.LEASE_AHEAD * capacity.HEADROOM
        self.assertAlmostEqual(one.value, 1 / demand)
        self.assertEqual(capacity.credit(book(), 100.0).value, 1.0)  # never more than one

    def test_a_figure_of_the_whole_run_is_taken_by_its_path_and_by_process(self):
        told = Book(
            PLAN,
            SCALE,
            MESSAGES,
            {"roles": {"real": {"number": 4, "cpu_s": 2.0}}, "list": {"last_s": None}},
        )
        self.assertEqual(
            told.each("real", "cpu_s"),
            Figure(0.5, ("run roles real cpu_s", "run roles real number")),
        )
        self.assertEqual(told.played("list", "last_s"), Figure(None, ("run list last_s",)))
        self.assertEqual(
            (told.played("roles", "none", "x").value, book().played("list", "last_s").value),
            (None, None),
        )

    def test_changes_are_those_of_a_day(self):
        self.assertAlmostEqual(capacity.changes_each(book()).value, 0.1)

    def test_missing_slopes_are_shown_as_such(self):
        rows = capacity.slope_table(book()).rows
        self.assertEqual([row[1] for row in rows], ["decision_p99_ms", "absent_ms"])
        self.assertEqual(rows[1][3:7], (capacity.ABSENT,) * 4)

    def test_what_misses_is_told_the_worst_first_and_then_what_was_not_measured(self):
        def role(told):
            return [
                Row("r", name, Figure(value), "ms", budget)
                for name, value, budget in (
                    ("near", 2.5, "fast"),
                    ("open", None, "fast"),
                    ("far", 20.0, "fast"),
                    ("met", 2.0, "fast"),
                    ("free", 9.0, ""),
                )
            ]

        with mock.patch.object(capacity, "ROLES", (role,)):
            self.assertEqual(
                [(row[1], row[-2], row[-1]) for row in capacity.missed_table(book()).rows],
                [
                    ("far", "operators", "10"),
                    ("near", "operators", "1.25"),
                    ("open", "operators", "not measured"),
                ],
            )

    def test_values_are_told_with_three_digits(self):
        for value, text in (
            (0, "0"),
            (0.0612, "0.0612"),
            (1.0, "1"),
            (12.345, "12.3"),
            (99.96, "100"),
            (1234.5, "1,230"),
            (2_015_916, "2,020,000"),
            (None, "not measured"),
            (float("nan"), "not measured"),
        ):
            self.assertEqual(capacity.plain(value), text)
        self.assertEqual(capacity.plain(0.5, "ms"), "0.5 ms")


class Command(unittest.TestCase):
    """`benchmarks/capacity.py` on files of a folder of its own."""

    def run_on(self, change, check=True):
        """The exit code and what was said, with the files that stand after `change` of a folder's copy."""
        with tempfile.TemporaryDirectory() as folder:
            folder = pathlib.Path(folder)
            for name in ("capacity.toml", "scale.json", "messages.json"):
                (folder / name).write_bytes((carrier.HERE / name).read_bytes())
            page = folder / "CAPACITY.md"
            page.write_text(carrier.PAGE.read_text())
            (folder / carrier.RUN.name).write_bytes(carrier.RUN.read_bytes())
            change(folder)
            out, error = io.StringIO(), io.StringIO()
            places = mock.patch.multiple(
                carrier, HERE=folder, PAGE=page, RUN=folder / carrier.RUN.name
            )
            with places, contextlib.redirect_stdout(out), contextlib.redirect_stderr(error):
                try:
                    carrier.main(check)
                    code = 0
                except SystemExit as ended:
                    code = ended.code
            return code, error.getvalue(), page.read_text()

    def test_the_check_passes_as_it_stands(self):
        self.assertEqual(self.run_on(lambda folder: None)[:2], (0, ""))

    def test_what_differs_ends_with_1_and_one_line_and_is_not_mended_by_a_check(self):
        def change(folder):
            page = folder / "CAPACITY.md"
            page.write_text(page.read_text().replace("| hosts | 13,000 |", "| hosts | 12,000 |"))

        code, said, page = self.run_on(change)
        self.assertEqual(
            (code, said),
            (
                1,
                "CAPACITY.md: table sizes, line 4: expected | hosts | 13,000 |, "
                "found | hosts | 12,000 |\n",
            ),
        )
        self.assertIn("| hosts | 12,000 |", page)
        code, said, page = self.run_on(change, check=False)
        self.assertEqual((code, said, page), (0, "", carrier.PAGE.read_text()))

    def test_bad_files_end_with_2_and_one_line(self):
        def without(part):
            def change(folder):
                told = orjson.loads((folder / "scale.json").read_bytes())
                del told[part]
                (folder / "scale.json").write_bytes(orjson.dumps(told))

            return change

        def with_text(name, text):
            return lambda folder: (folder / name).write_text(text)

        for change, said in (
            (
                lambda folder: (folder / "scale.json").unlink(),
                "scale.json: expected a file that can be read",
            ),
            (with_text("scale.json", "{"), "scale.json: "),
            (with_text("messages.json", "[]"), "messages.json: expected an object"),
            (with_text("capacity.toml", "[sizes"), "capacity.toml: "),
            (
                with_text("scale-1200.txt", "words\n"),
                "scale-1200.txt: expected a line of JSON, found none",
            ),
            (without("slopes"), "scale.json: slopes: expected a table, found None"),
            (with_text("CAPACITY.md", "none"), "page: <!-- table runs -->: expected"),
        ):
            code, told, _ = self.run_on(change)
            self.assertEqual((code, told.count("\n"), told[: len(said)]), (2, 1, said))
