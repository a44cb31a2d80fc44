"""The results of `scale.py`: runs, lines through them, predictions and hard cases."""

import concurrent.futures
import json
import math
import pathlib
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

from benchmarks import scale_file
from benchmarks.scale_options import BASE_BUILD, THIS_BUILD, Options, Prediction
from benchmarks.scale_runs import Job, Play, RunError, round_figures
from benchmarks.scale_sizes import ROOT, SIZES, Shape, is_fitted, unit_of
from petrellane.testbed import slopes

Row = dict[str, Any]  # one entry of the file


class FigureId(NamedTuple):
    """A figure of a build, over one size."""

    build: str
    size: str
    figure: str


Lines = dict[FigureId, slopes.Fit]


def describe_fit(figure: str, line: slopes.Fit) -> Row:
    """Return the entry of a line."""
    rounded = slopes.round_to_significant
    return {
        "unit": unit_of(figure),
        "intercept": rounded(line.intercept),
        "slope": rounded(line.slope),
        "spread": [rounded(slope) for slope in line.spread],
        "line": line.is_line,
        "note": line.note,
        "points": [[point.value, *map(rounded, point[1:4]), point.runs] for point in line.points],
    }


def compare_prediction(row: Row, runs: Iterable[Row]) -> None:
    """Put into a prediction's row what its runs showed."""
    row["found"] = [
        run["figures"][row["figure"]] for run in runs if row["figure"] in run["figures"]
    ]
    if not row["found"]:
        return
    error, row["within"] = slopes.prediction_error(row["stated"], row["found"])
    # Infinite where nothing was predicted, but something is there.
    row["off"] = slopes.round_to_significant(error) if math.isfinite(error) else 1.0


def print_comparison(row: Row) -> None:
    """Print a prediction beside what its runs showed."""
    verdict = "not run"
    if row["within"] is not None:
        side = "within" if row["within"] else "beyond"
        verdict = f"off by {row['off']:.0%}, {side} {slopes.TOLERANCE:.0%}"
    subject = f"{row['size']} {row['value']:g}: {row['figure']} {row['found']}"
    print(f"found:  {subject}: {verdict}", flush=True)


class Report:
    """What was run so far, and the content of its file; lives for one run of the command."""

    def __init__(self, options: Options, play: Play) -> None:
        """Begin a new file, or go on with the one that is there where no size is varied."""
        self.options = options
        self.play = play
        self.failures: list[str] = []
        self.body = scale_file.new_body(str(ROOT))
        if BASE_BUILD in options.builds:
            self.body["base_commit"] = scale_file.describe_commit(options.builds[BASE_BUILD])
        out = pathlib.Path(options.out)
        if not options.sizes and out.exists():
            self.body = json.loads(out.read_text())

    @property
    def has_failed(self) -> bool:
        """Whether a run failed or a prediction is off by more than its tolerance."""
        predictions = self.body["predictions"]
        return bool(self.failures) or any(row["within"] is False for row in predictions)

    def write(self) -> None:
        """Write the complete file, or leave the one before."""
        if self.options.sizes:
            self.body["load"][1] = scale_file.load_average()
        scale_file.write_body(self.options.out, self.body)

    def run(self, jobs: Sequence[Job], side_by_side: int) -> list[Row]:
        """Play runs in their order, so many at a time.

        Returns:
            A row for each run that did not fail, in order.
        """
        rows: list[Row] = []
        first = len(self.body["runs"]) + len(self.failures) + 1
        with concurrent.futures.ThreadPoolExecutor(side_by_side) as pool:
            running = {
                pool.submit(self._play_job, job, order): job
                for order, job in enumerate(jobs, first)
            }
            for future in concurrent.futures.as_completed(running):
                try:
                    rows.append(future.result())
                except RunError as error:
                    self._add_failure(f"{running[future]}: {error}")
        return sorted(rows, key=lambda row: row["order"])

    def _play_job(self, job: Job, order: int) -> Row:
        size = SIZES[job.size]
        varied = {size.key: job.value, "seed": self.options.seed * 1000 + job.run}
        shape = size.rest | self.options.overrides | varied
        figures = self.play(shape, self.options.builds[job.build])
        return {
            "id": f"{job.size}-{job.value:g}-{job.run}",
            "build": job.build,
            "size": job.size,
            "value": job.value,
            "run": job.run,
            "order": order,
            "figures": round_figures(figures),
        }

    def _add_failure(self, text: str) -> None:
        self.failures.append(text)
        print(f"failed: {text}", flush=True)

    def fit(self) -> Lines:
        """Fit lines to all runs so far, and put them into the file's content."""
        samples: defaultdict[FigureId, list[tuple[float, int, float]]] = defaultdict(list)
        for row in self.body["runs"]:
            for figure, value in row["figures"].items():
                if is_fitted(figure):
                    figure_id = FigureId(row["build"], row["size"], figure)
                    samples[figure_id].append((row["value"], row["run"], value))
        lines: Lines = {}
        for figure_id, runs in samples.items():
            if len({value for value, _, _ in runs}) < slopes.MINIMUM_POINTS:
                continue  # runs failed, which was printed
            line = slopes.fit(runs)
            lines[figure_id] = line
            sizes = self.body["slopes"].setdefault(figure_id.build, {})
            entry = describe_fit(figure_id.figure, line)
            sizes.setdefault(figure_id.size, {})[figure_id.figure] = entry
        return lines

    def predict(self, lines: Lines) -> None:
        """State what the lines give at other sizes, then run these and compare."""
        for prediction in self.options.predictions:
            rows = self._state(prediction, lines)
            if not rows:
                name, value = prediction
                self.failures.append(
                    f"prediction at {name} {value:g}: expected a figure with a line, found none"
                )
                continue
            # These runs are apart from those that lines go through.
            size = prediction.size
            jobs = [
                Job(THIS_BUILD, size, prediction.value, run)
                for run in range(1, self.options.runs_of(size) + 1)
            ]
            runs = self.run(jobs, min(self.options.jobs, SIZES[size].side_by_side))
            for row in rows:
                compare_prediction(row, runs)
                print_comparison(row)

    def _state(self, prediction: Prediction, lines: Lines) -> list[Row]:
        """Predict each figure with a line; the file has that before anything is run."""
        rows: list[Row] = [
            {
                "size": prediction.size,
                "value": prediction.value,
                "figure": figure_id.figure,
                "stated": slopes.round_to_significant(line.predict(prediction.value)),
                "found": [],
                "off": None,
                "within": None,
            }
            for figure_id, line in lines.items()
            if figure_id.build == THIS_BUILD and figure_id.size == prediction.size and line.is_line
        ]
        self.body["predictions"] += rows
        self.write()
        for row in rows:
            subject = f"{row['size']} {row['value']:g}: {row['figure']}"
            unit = unit_of(row["figure"])
            print(f"stated: {subject} {row['stated']:g} {unit}", flush=True)
        return rows

    def play_cases(self, key: str, cases: dict[str, Shape]) -> None:
        """Play cases of their own by all builds; their rows replace those under the file's key."""
        builds = self.options.builds
        jobs = [(build, case) for build in builds for case in cases]
        rows: list[Row] = []

        def play_case(build: str, case: str) -> Row:
            shape = cases[case] | self.options.overrides | {"seed": self.options.seed}
            return {
                "case": case,
                "build": build,
                "commit": scale_file.describe_commit(builds[build]),
                "figures": round_figures(self.play(shape, builds[build])),
            }

        with concurrent.futures.ThreadPoolExecutor(self.options.jobs) as pool:
            running = [
                (job, pool.submit(play_case, *job))
                for job in slopes.shuffled(jobs, self.options.seed)
            ]
            for (build, case), future in running:
                try:
                    rows.append(future.result())
                except RunError as error:
                    self._add_failure(f"{case} ({build}): {error}")
        order = list(cases)
        self.body[key] = sorted(rows, key=lambda row: (order.index(row["case"]), row["build"]))
