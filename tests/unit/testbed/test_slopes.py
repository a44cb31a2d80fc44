"""Slopes by size: lines through made-up points whose truth is known, the order of runs, and the script around them."""

import contextlib
import io
import json
import os
import random
import subprocess
import sys
import tempfile
import unittest

from benchmarks import scale
from petrellane.testbed import slopes

SCRIPT = os.path.join(scale.ROOT, "benchmarks", "scale.py")


def runs(figure, values=(50, 400, 1_600, 6_500, 13_000), number=5, noise=0.0, seed=1):
    """(value, run, figure) of a made-up truth, each run off by at most so large a share."""
    chance = random.Random(seed)
    return [
        (value, run, figure(value) * (1 + chance.uniform(-noise, noise)))
        for value in values
        for run in range(1, number + 1)
    ]


class Lines(unittest.TestCase):
    """What the fit says of points whose truth is known."""

    def test_a_line_is_found_as_it_was_made(self):
        found = slopes.fit(runs(lambda value: 0.5 + 0.01 * value))
        self.assertAlmostEqual(found.intercept, 0.5)
        self.assertAlmostEqual(found.slope, 0.01)
        self.assertAlmostEqual(found.at(9_000), 90.5)
        self.assertEqual((found.line, found.note), (True, ""))
        self.assertEqual(
            [(point.value, point.runs) for point in found.points],
            [(50, 5), (400, 5), (1_600, 5), (6_500, 5), (13_000, 5)],
        )

    def test_a_small_intercept_is_not_lost_under_a_large_point(self):
        for seed in range(20):
            found = slopes.fit(runs(lambda value: 0.5 + 0.01 * value, noise=0.05, seed=seed))
            self.assertAlmostEqual(found.intercept, 0.5, delta=0.1)
            self.assertAlmostEqual(found.slope, 0.01, delta=0.0008)

    def test_a_line_with_noise_is_a_line_and_its_spread_holds_the_truth(self):
        held = 0
        for seed in range(20):
            found = slopes.fit(runs(lambda value: 2.0 + 0.004 * value, noise=0.08, seed=seed))
            least, most = found.spread
            self.assertTrue(found.line, found.note)
            self.assertLess(least, most)
            held += least <= 0.004 <= most
        self.assertGreaterEqual(held, 17)

    def test_the_spread_is_of_the_runs_apart(self):
        rows = [(value, run, run * 0.01 * value) for value in (10, 20, 30, 40) for run in (1, 2, 3)]
        found = slopes.fit(rows)
        self.assertAlmostEqual(found.slope, 0.02)
        self.assertAlmostEqual(found.spread[0], 0.01)
        self.assertAlmostEqual(found.spread[1], 0.03)

    def test_what_grows_with_the_square_is_no_line_and_the_note_says_so(self):
        found = slopes.fit(runs(lambda value: 1e-5 * value**2, (40, 400, 1_600, 4_100), noise=0.02))
        self.assertFalse(found.line)
        self.assertRegex(
            found.note,
            r"^not a line: at \d+ found [\d.e-]+, the line has [\d.e-]+; grows as size\^2\.0\d, "
            r"between the last two points as size\^2\.0\d$",
        )

    def test_what_levels_off_is_no_line(self):
        self.assertFalse(slopes.fit(runs(lambda value: min(value, 1_600), noise=0.02)).line)

    def test_a_step_in_the_middle_is_no_line(self):
        self.assertFalse(
            slopes.fit(runs(lambda value: 1.0 if value < 1_000 else 2.0, noise=0.02)).line
        )

    def test_what_does_not_grow_is_a_line_and_flat(self):
        found = slopes.fit(runs(lambda value: 3.0, noise=0.05))
        self.assertEqual((found.line, found.note), (True, "flat"))
        self.assertEqual(slopes.fit(runs(lambda value: 0.0))[:2], (0.0, 0.0))

    def test_a_run_that_failed_is_missed_in_the_spread_alone(self):
        rows = [row for row in runs(lambda value: 1 + value) if row[:2] != (400, 2)]
        found = slopes.fit(rows)
        self.assertAlmostEqual(found.slope, 1.0)
        self.assertEqual(found.points[1].runs, 4)

    def test_three_points_are_too_few(self):
        with self.assertRaisesRegex(ValueError, "^expected 4 points or more, found 3$"):
            slopes.fit(runs(lambda value: value, (1, 2, 3)))
        with self.assertRaisesRegex(ValueError, "^expected two values"):
            slopes.straight([(1.0, 2.0), (1.0, 3.0)])

    def test_a_prediction_is_judged_by_the_median_found(self):
        off, within = slopes.judged(10.0, [11.0, 30.0, 11.9])
        self.assertAlmostEqual(off, 0.19)
        self.assertTrue(within)
        off, within = slopes.judged(10.0, [7.9])
        self.assertAlmostEqual(off, -0.21)
        self.assertFalse(within)
        self.assertEqual(slopes.judged(0.0, [0.0]), (0.0, True))
        self.assertFalse(slopes.judged(0.0, [0.1])[1])

    def test_four_digits_are_kept(self):
        self.assertEqual(
            [slopes.rounded(value) for value in (123_456.0, 0.00123456, 0.0)],
            [123_500.0, 0.001235, 0.0],
        )


class Order(unittest.TestCase):
    """Runs come interleaved, and the same from a seed."""

    def jobs(self, seed=1):
        told = scale.checked(
            scale.parser().parse_args(["--sizes", "hosts,methods", "--seed", str(seed)])
        )
        return scale.jobs_of(told, told.sizes, scale.MOST_JOBS)

    def test_the_order_is_the_seeds(self):
        self.assertEqual(self.jobs(), self.jobs())
        self.assertNotEqual(self.jobs(), self.jobs(2))
        self.assertEqual(sorted(self.jobs()), sorted(self.jobs(2)))

    def test_no_point_has_a_time_of_its_own(self):
        jobs = self.jobs()
        self.assertEqual(len(jobs), 5 * 5 + 4 * 5)
        places = {
            point: [at for at, job in enumerate(jobs) if job[1:3] == point]
            for point in {job[1:3] for job in jobs}
        }
        for point, at in places.items():
            self.assertGreater(at[-1] - at[0], len(jobs) // 4, point)


class Script(unittest.TestCase):
    """The command line, the order in which it states and runs, and the form of its file."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.out = os.path.join(folder.name, "scale.json")

    def main(self, *words, play):
        with contextlib.redirect_stdout(io.StringIO()) as said:
            code = scale.main(["--out", self.out, "--runs", "2", *words], play)
        with open(self.out) as file:
            return code, said.getvalue(), json.load(file)

    def test_bad_words_take_one_line_and_exit_code_2(self):
        for words, line in (
            (["--sizes", "hosts,colour"], "--sizes: expected all, none or some of hosts, "),
            (["--runs", "0"], "--runs: expected 1 to 50, found 0"),
            (["--runs", "many"], "argument --runs: invalid int value: 'many'"),
            (["--jobs", "9"], "--jobs: expected 1 to 3, found 9"),
            (["--points", "hosts=1,2,3"], "--points hosts: expected 4 points or more, found 3"),
            (
                ["--points", "hosts=1,2,3,none"],
                "--points hosts: expected a number above 0, found none",
            ),
            (["--points", "colour=1"], "--points: expected SIZE=... with one of hosts, "),
            (
                ["--predict", "hosts=1600"],
                "--predict hosts: expected a value that no run has, found 1600",
            ),
            (["--predict", "hosts=-1"], "--predict hosts: expected a number above 0, found -1"),
            (
                ["--sizes", "methods", "--predict", "hosts=9000"],
                "--predict: expected a size that is run, found hosts",
            ),
            (["--sizes", "none"], "--sizes none: expected --hard or --sets with it, found neither"),
            (["--seconds", "nan"], "--seconds: expected above 0 and at most 60, found nan"),
            (
                ["--base", "/nowhere"],
                "--base: expected a checkout with petrellane/decisions/controller.py, found /nowhere",
            ),
            (
                ["--out", "/nowhere/x"],
                "--out: expected a file in a folder that is there, found /nowhere/x",
            ),
            (["--colour"], "unrecognized arguments: --colour"),
        ):
            with (
                contextlib.redirect_stderr(io.StringIO()) as said,
                self.assertRaises(SystemExit) as ended,
            ):
                scale.main(words, lambda *_: self.fail("nothing may be run"))
            self.assertEqual((ended.exception.code, said.getvalue().count("\n")), (2, 1), words)
            self.assertTrue(said.getvalue().startswith("scale: " + line), said.getvalue())

    def test_a_prediction_is_written_before_it_is_run(self):
        seen = []

        def play(told, folder):
            if told["hosts"] == 9_000:
                with open(self.out) as file:
                    seen.append(json.load(file)["predictions"])
                return {"decision_p50_ms": 20.0, "cores": 1.0}
            return {
                "decision_p50_ms": 1.0 + 0.002 * told["hosts"],
                "cores": 1e-6 * told["hosts"] ** 2,
            }

        code, said, body = self.main("--sizes", "hosts", "--predict", "hosts=9000", play=play)
        stated = {
            "size": "hosts",
            "value": 9000,
            "figure": "decision_p50_ms",
            "stated": 19.0,
            "found": [],
            "off": None,
            "within": None,
        }
        self.assertEqual(seen, [[stated], [stated]])  # what is no line states nothing
        self.assertEqual(
            body["predictions"], [stated | {"found": [20.0, 20.0], "off": 0.05263, "within": True}]
        )
        self.assertLess(
            said.index("stated: hosts 9000: decision_p50_ms 19"), said.index("found:  hosts 9000")
        )
        self.assertEqual((code, len(body["runs"])), (0, 10))  # the prediction's runs are in no line

    def test_a_prediction_that_is_off_ends_with_1(self):
        code, said, body = self.main(
            "--sizes",
            "hosts",
            "--predict",
            "hosts=9000",
            play=lambda told, _: {
                "cores": 30.0 if told["hosts"] == 9_000 else 0.002 * told["hosts"]
            },
        )
        self.assertEqual(
            (code, body["predictions"][0]["off"], body["predictions"][0]["within"]),
            (1, 0.6667, False),
        )
        self.assertIn("off by 67%, beyond 20%", said)

    def test_a_run_that_fails_is_told_and_the_rest_stands(self):
        def play(told, folder):
            if told["methods"] == 400 and told["seed"] == 1_002:
                raise scale.Failed("void: the machine stood still")
            return {"settings_read_ms": 0.1 * told["methods"]}

        code, said, body = self.main("--sizes", "methods", play=play)
        self.assertEqual((code, len(body["runs"])), (1, 7))
        self.assertIn("failed: methods-400-2 (this): void: the machine stood still\n", said)
        self.assertAlmostEqual(body["slopes"]["this"]["methods"]["settings_read_ms"]["slope"], 0.1)

    def test_hard_cases_go_beside_what_the_file_has(self):
        _, _, before = self.main("--sizes", "methods", play=lambda *_: {"cores": 1.0})
        code, said, body = self.main(
            "--sizes", "none", "--hard", "--sets", play=lambda told, _: {"cores": 2.0}
        )
        self.assertEqual({key: body[key] for key in before}, before)
        self.assertEqual([row["case"] for row in body["hard"]], list(scale.CASES))
        self.assertEqual(
            (code, body["sets"][0]["figures"], len(body["sets"])), (0, {"cores": 2.0}, 1)
        )

    def test_two_sizes_end_to_end(self):
        words = [
            "--sizes",
            "hosts,methods",
            "--runs",
            "1",
            "--seconds",
            "0.5",
            "--points",
            "hosts=4,8,12,16",
            "--points",
            "methods=2,4,6,8",
            "--out",
            self.out,
            "--base",
            scale.ROOT,
        ]
        ended = subprocess.run(
            [sys.executable, SCRIPT, *words], capture_output=True, text=True, timeout=60
        )
        self.assertEqual(ended.returncode, 0, ended.stdout + ended.stderr)
        self.assertTrue(ended.stdout.endswith(f"; {self.out}\n"), ended.stdout)
        with open(self.out) as file:
            body = json.load(file)
        self.assertEqual(
            set(body),
            {
                "version",
                "commit",
                "base_commit",
                "machine",
                "load",
                "runs",
                "slopes",
                "predictions",
            },
        )
        self.assertEqual(
            (body["version"], set(body["machine"])), (1, {"cores", "memory_gb", "python"})
        )
        self.assertEqual([row["order"] for row in body["runs"]], list(range(1, 17)))
        self.assertEqual(
            {(row["id"], row["build"]) for row in body["runs"]},
            {
                (f"{name}-{value}-1", build)
                for name, values in (("hosts", (4, 8, 12, 16)), ("methods", (2, 4, 6, 8)))
                for value in values
                for build in ("this", "base")
            },
        )
        for build in ("this", "base"):
            for name in ("hosts", "methods"):
                for figure in (
                    "decision_p50_ms",
                    "decision_p99_ms",
                    "cores",
                    "list_parse_ms",
                    "list_whole_ms",
                    "list_turn_ms",
                    "list_change_ms",
                    "settings_read_ms",
                    "memory_mb",
                ):
                    row = body["slopes"][build][name][figure]
                    self.assertEqual(
                        set(row), {"unit", "intercept", "slope", "spread", "line", "note", "points"}
                    )
                    self.assertEqual([len(point) for point in row["points"]], [5] * 4)
                    self.assertEqual(
                        row["unit"], {"cores": "cores", "memory_mb": "MB"}.get(figure, "ms")
                    )
